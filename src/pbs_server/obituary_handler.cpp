#include "pbs_server/obituary_handler.hpp"

#include <algorithm>
#include <string_view>

#include "pbs_server/attribute_values.hpp"

namespace mountflow::pbs_server {
namespace {

using job_manager::EndReason;
using pbs_protocol::Code;
using pbs_protocol::ValueOf;

constexpr std::int64_t kMaxExitStatus = 1'000'000;  // limit of the absolute value

struct EndReasonName {
  std::string_view name;
  EndReason reason;
};

// End reasons as spelled in the protocol.
constexpr EndReasonName kEndReasonNames[] = {
    {"exited", EndReason::kExited},     {"killed", EndReason::kKilled},
    {"evicted", EndReason::kEvicted},   {"pushed_out", EndReason::kPreempted},
    {"sent_away", EndReason::kDrained}, {"error", EndReason::kError},
    {"lost", EndReason::kLost},
};

// Reads the fields of an obituary into `finished`, except for the name of the attempt.
void ReadReport(const pbs_protocol::Request& request, job_manager::AttemptFinished* finished) {
  const std::string_view reason = ValueOf(request.attributes, "end_reason");
  for (const EndReasonName& row : kEndReasonNames) {
    if (row.name == reason) finished->reason = row.reason;
  }
  finished->exit_status = static_cast<int>(std::clamp(request.status, -kMaxExitStatus, kMaxExitStatus));
  finished->text = ValueOf(request.attributes, "comment");
  const auto started = ParseCount(ValueOf(request.attributes, "start"));
  const auto ended = ParseCount(ValueOf(request.attributes, "end"));
  if (started && ended) {
    finished->started = *started;
    finished->ended = *ended;
  }
  finished->report = ParseLoad(ValueOf(request.attributes, "load"));
}

}  // namespace

OutgoingReply HandleJobObituary(const RequestContext& context, const pbs_protocol::Request& request) {
  if (!context.peer.user.empty() && !context.peer.local) {
    context.request_errors.Add(context.now, "a user sent a node's report", context.peer.address,
                               "user " + context.peer.user + " sent a node's report");
    return {MakeReply(Code::kPermission)};
  }
  job_manager::JobManager& job_manager = context.job_manager;
  job_manager::AttemptFinished finished;
  std::string server;
  if (!job_manager::JobManager::ParseAttemptName(request.id, &finished.attempt, &server)) {
    return {MakeReply(Code::kUnknownJob, "expected an attempt's name")};
  }
  if (server != job_manager.options().server) return {MakeReply(Code::kUnknownJob)};
  ReadReport(request, &finished);
  const bool known = job_manager.Find(finished.attempt.job) != nullptr;
  job_manager.HandleNodeMessage(context.now, finished);
  return {MakeReply(known ? Code::kNone : Code::kUnknownJob)};
}

}  // namespace mountflow::pbs_server
