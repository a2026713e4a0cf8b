#include "scheduler/attempt_rules.hpp"

namespace mountflow {

bool AttemptRules::MayRetry(const RequestRecord& request, Micros now) const {
  return now < request.task.deadline && request.attempts_made < settings_.max_attempts;
}

bool AttemptRules::MayStart(const RequestRecord& request, Micros now) const {
  return !request.answered && !request.in_flight && !request.started && MayRetry(request, now);
}

bool AttemptRules::MayCancelForRetry(const RequestRecord& request) const {
  return settings_.may_cancel && request.attempts_made < settings_.max_attempts &&
         settings_.classes[request.task.task_class].idempotency != Idempotency::kNotIdempotent;
}

// An attempt that timed out may have run, and a cancelled attempt may have been accepted before its
// cancellation.
bool AttemptRules::NeverRan(AttemptResult result) {
  return result == AttemptResult::kRejected || result == AttemptResult::kUnreachable ||
         result == AttemptResult::kNotSent;
}

Action AttemptRules::FinalAnswer(const RequestRecord& request) const {
  const TaskClass& task_class = settings_.classes[request.task.task_class];
  const bool every_node_discards_repeats = task_class.idempotency == Idempotency::kWithKey &&
                                           task_class.deduplication_scope == DeduplicationScope::kAll;
  if (!request.first_effect.may_have_run || task_class.idempotency == Idempotency::kIdempotent ||
      every_node_discards_repeats) {
    return RejectTask{request.task.request, 0};
  }
  return FailTask{request.task.request};
}

}  // namespace mountflow
