#include "pbs_server/submission_handlers.hpp"

#include <algorithm>
#include <utility>

#include "pbs_server/attribute_mapping.hpp"
#include "pbs_server/attribute_values.hpp"

namespace mountflow::pbs_server {
namespace {

using job_manager::CommandResult;
using pbs_protocol::Choice;
using pbs_protocol::Code;

constexpr Micros kMillisecond = 1000;

bool IsInProgress(const RequestContext& context, const std::string& id) {
  return context.submission && (id.empty() || id == context.submission->id);
}

// Checks a job id that the client sent with QueueJob. The client may send the id of an earlier submission
// whose result it does not know. Returns the reply that rejects the submission, or nothing if it may
// continue.
std::optional<pbs_protocol::Reply> CheckRepeatedId(const job_manager::JobManager& job_manager,
                                                   std::uint64_t number) {
  if (number == 0) return MakeReply(Code::kUnknownJob);
  if (job_manager.Find(number) != nullptr) return MakeReply(Code::kExists, job_manager.JobId(number));
  if (!job_manager.WasIssued(number)) {
    return MakeReply(Code::kBadValue, "job id: expected one that was given out");
  }
  return std::nullopt;
}

}  // namespace

OutgoingReply QueueJob(const RequestContext& context, const pbs_protocol::Request& request) {
  job_manager::JobManager& job_manager = context.job_manager;
  if (context.submission) {
    return {MakeReply(Code::kTooMany, "a submission is in progress on this connection")};
  }
  if (!job_manager.rejection_of_new_jobs().empty()) {
    return {MakeReply(ReplyCodeOf(CommandResult::kFull), job_manager.rejection_of_new_jobs()), true};
  }
  PendingSubmission submission;
  submission.spec.user = context.user;
  const AttributeResult decoded =
      DecodeSubmission(request.attributes, request.destination, context.options.vocabulary, &submission.spec);
  if (!decoded) return {MakeReply(ReplyCodeOf(decoded.error().code), Describe(decoded.error()))};
  if (!request.id.empty()) {
    submission.number = job_manager.ParseJobId(request.id);
    if (auto rejection = CheckRepeatedId(job_manager, submission.number)) return {*std::move(rejection)};
  } else {
    const std::uint64_t same_key = job_manager.FindJobByKey(context.user, submission.spec.key);
    if (same_key != 0) return {MakeReply(Code::kExists, job_manager.JobId(same_key))};
    submission.number = job_manager.NewJobNumber();
  }
  submission.id = job_manager.JobId(submission.number);
  context.submission = std::move(submission);
  return {MakeReply(Choice::kQueued, context.submission->id), true};
}

OutgoingReply AddJobScript(const RequestContext& context, const pbs_protocol::Request& request) {
  if (!IsInProgress(context, request.id)) return {MakeReply(Code::kUnknownJob)};
  std::string& script = context.submission->spec.script;
  const std::size_t max_bytes = context.options.max_script_bytes;
  if (script.size() + request.script.size() > max_bytes) {
    context.submission.reset();
    return {MakeReply(Code::kBadValue, "script: expected at most " + std::to_string(max_bytes) + " bytes")};
  }
  script += request.script;
  return {MakeReply(Code::kNone), true};
}

OutgoingReply PrepareCommit(const RequestContext& context, const pbs_protocol::Request& request) {
  if (!IsInProgress(context, request.id)) return {MakeReply(Code::kUnknownJob)};
  return {MakeReply(Choice::kReady, context.submission->id), true};
}

OutgoingReply CommitJob(const RequestContext& context, const pbs_protocol::Request& request) {
  job_manager::JobManager& job_manager = context.job_manager;
  if (!IsInProgress(context, request.id)) {
    const std::uint64_t number = job_manager.ParseJobId(request.id);
    const bool known = number != 0 && job_manager.Find(number) != nullptr;
    return {MakeReply(known ? Code::kExists : Code::kUnknownJob)};
  }
  PendingSubmission submission = *std::exchange(context.submission, std::nullopt);
  const job_manager::SubmitResult result =
      job_manager.Submit(context.now, submission.number, std::move(submission.spec));
  switch (result.command_result) {
    case CommandResult::kOk:
      return {MakeReply(Choice::kCommitted, submission.id)};
    case CommandResult::kExists:
      return {MakeReply(Code::kExists, job_manager.JobId(result.job))};
    case CommandResult::kFull:
    case CommandResult::kStopping:
      return {MakeReply(ReplyCodeOf(result.command_result), result.reason), true};
    default:
      return {MakeReply(ReplyCodeOf(result.command_result), result.reason)};
  }
}

Micros ClientDeadline(const pbs_protocol::Request& request, Micros arrived_at,
                      const job_manager::JobManager& job_manager, const PbsServerOptions& options) {
  const std::vector<std::string>& queues = options.vocabulary.queues;
  const std::string& queue =
      request.destination.empty() ? options.vocabulary.default_queue : request.destination;
  const auto index =
      static_cast<std::size_t>(std::find(queues.begin(), queues.end(), queue) - queues.begin());
  Micros client_wait = index < queues.size() ? job_manager.options().hard_limits[index] : options.max_wait;
  const auto stated_wait = ParseDuration(pbs_protocol::ValueOf(request.attributes, "owner_time"));
  if (stated_wait.value_or(0) != 0) client_wait = *stated_wait;
  const Micros wait_ends = arrived_at + client_wait;
  const auto stated_deadline = ParseCount(pbs_protocol::ValueOf(request.attributes, "owner_deadline"));
  const bool has_deadline = stated_deadline.value_or(0) != 0;
  return has_deadline ? std::min<Micros>(wait_ends, *stated_deadline) : wait_ends;
}

OutgoingReply AdmissionRejection(const admission::AdmissionDecision& decision) {
  pbs_protocol::Reply reply =
      MakeReply(ReplyCodeOf(CommandResult::kFull), std::string(admission::Describe(decision.result)));
  if (decision.retry_after != 0) {
    reply.auxiliary = static_cast<std::int64_t>((decision.retry_after + kMillisecond - 1) / kMillisecond);
    reply.text += "; ask again in " + std::to_string(reply.auxiliary) + " ms";
  }
  return {std::move(reply), true};
}

}  // namespace mountflow::pbs_server
