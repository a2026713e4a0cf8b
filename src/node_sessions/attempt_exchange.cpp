#include "node_sessions/attempt_exchange.hpp"

#include <algorithm>
#include <utility>

#include "pbs_server/attribute_mapping.hpp"
#include "pbs_server/attribute_values.hpp"

namespace mountflow::node_sessions {
namespace {

using pbs_protocol::RequestType;

constexpr std::size_t kScriptPieceBytes = 64 << 10;  // most bytes of a script in one JobScript request
constexpr std::int64_t kLargestRejectionReason = static_cast<std::int64_t>(RejectionReason::kDrained);

pbs_protocol::Request MakeRequest(RequestType type, const SessionContext& context, const std::string& name) {
  pbs_protocol::Request request;
  request.type = type;
  request.user = context.options.user;
  request.id = name;
  return request;
}

const job_manager::Attempt* FindAttempt(const job_manager::Job& job, std::uint32_t number) {
  const job_manager::Attempt* result = nullptr;
  for (const job_manager::Attempt& attempt : job.attempts) {
    if (attempt.number == number) result = &attempt;
  }
  return result;
}

pbs_protocol::Request MakeQueueJob(const SessionContext& context, const job_manager::JobSpec& spec,
                                   const std::string& name, const job_manager::Attempt& attempt) {
  const auto& job_manager_options = context.job_manager->options();
  pbs_protocol::Request request = MakeRequest(RequestType::kQueueJob, context, name);
  request.destination = spec.queue;
  request.attributes = pbs_server::EncodeForNode(spec, context.vocabulary);
  const auto add = [&request](const char* key, std::string value) {
    request.attributes.push_back({key, "", std::move(value), pbs_protocol::Op::kSet});
  };
  add("until", std::to_string(attempt.deadline));  // the node rejects a commit after this time
  add("report_to", context.options.report_to);
  add("server", job_manager_options.server);
  add("class_priority", std::to_string(job_manager_options.settings.classes[spec.task_class].priority));
  return request;
}

// Appends the requests that carry the script and returns their number. An empty script is sent as one empty
// piece.
unsigned EncodeScript(const SessionContext& context, const std::string& script, const std::string& name,
                      std::string* bytes) {
  unsigned pieces = 0;
  std::size_t offset = 0;
  do {
    pbs_protocol::Request piece = MakeRequest(RequestType::kJobScript, context, name);
    piece.sequence = pieces;
    piece.script = script.substr(offset, kScriptPieceBytes);
    offset += piece.script.size();
    pbs_protocol::Encode(piece, bytes);
    ++pieces;
  } while (offset < script.size());
  return pieces;
}

// Converts an error reply of a node to a rejection. Its text has the form "text\tx0=.. x1=..", where the part
// after the tab is the load report of the node.
job_manager::AttemptRejected ReadRejection(const job_manager::AttemptId& attempt,
                                           const pbs_protocol::Reply& reply) {
  job_manager::AttemptRejected rejection;
  rejection.attempt = attempt;
  rejection.cause =
      static_cast<RejectionReason>(std::clamp<std::int64_t>(reply.auxiliary, 0, kLargestRejectionReason));
  const std::size_t tab = reply.text.find('\t');
  rejection.reason = reply.text.substr(0, tab);
  if (tab != std::string::npos) {
    rejection.report = pbs_server::ParseLoad(reply.text.substr(tab + 1));
  }
  if (rejection.reason.empty()) rejection.reason = pbs_protocol::Describe(reply.code);
  return rejection;
}

}  // namespace

std::optional<Submission> EncodeSubmission(const SessionContext& context,
                                           const job_manager::AttemptId& attempt_id) {
  const job_manager::Job* job = context.job_manager->Find(attempt_id.job);
  if (job == nullptr) return std::nullopt;
  const job_manager::Attempt* attempt = FindAttempt(*job, attempt_id.number);
  if (attempt == nullptr) return std::nullopt;
  const std::string name = context.job_manager->AttemptName(attempt_id);
  Submission submission;
  pbs_protocol::Encode(MakeQueueJob(context, *job->spec, name, *attempt), &submission.bytes);
  const unsigned pieces = EncodeScript(context, job->spec->script, name, &submission.bytes);
  pbs_protocol::Encode(MakeRequest(RequestType::kReadyToCommit, context, name), &submission.bytes);
  submission.requests = 1 + pieces + 1;
  return submission;
}

std::string EncodeCommit(const SessionContext& context, const job_manager::AttemptId& attempt) {
  std::string bytes;
  pbs_protocol::Encode(MakeRequest(RequestType::kCommit, context, context.job_manager->AttemptName(attempt)),
                       &bytes);
  return bytes;
}

void AttemptExchange::Begin(const job_manager::AttemptId& attempt, unsigned replies) {
  step_ = AttemptStep::kSubmitting;
  attempt_ = attempt;
  awaited_replies_ = replies;
  first_error_.reset();
}

bool AttemptExchange::AwaitsReply() const {
  return awaited_replies_ > 0 || step_ == AttemptStep::kCommitting;
}

std::optional<job_manager::NodeMessage> AttemptExchange::OnReply(pbs_protocol::Reply reply) {
  const bool is_error = reply.code != pbs_protocol::Code::kNone;
  if (step_ == AttemptStep::kCommitting) {
    step_ = AttemptStep::kIdle;
    if (is_error) return ReadRejection(attempt_, reply);
    return job_manager::AttemptCommitted{attempt_};
  }
  if (is_error && !first_error_) first_error_ = std::move(reply);
  if (--awaited_replies_ > 0) return std::nullopt;
  if (first_error_) {
    step_ = AttemptStep::kIdle;
    return ReadRejection(attempt_, *first_error_);
  }
  step_ = AttemptStep::kReady;
  return job_manager::AttemptPrepared{attempt_};
}

}  // namespace mountflow::node_sessions
