#include "retry/retry.hpp"

#include <algorithm>

namespace mountflow::retry {
namespace {

RetryDecision GiveUp(GiveUpReason reason) { return {RetryAction::kGiveUp, 0, reason}; }

// Whether a second run could do harm while an earlier attempt may still run.
bool NeedsReconciliation(const RequestEnded& ended) {
  if (ended.idempotency == Idempotency::kIdempotent) return false;
  return ended.unresolved_attempt || ended.result == RequestResult::kFailed;
}

}  // namespace

std::string_view Describe(GiveUpReason reason) {
  switch (reason) {
    case GiveUpReason::kNone:
      return "";
    case GiveUpReason::kNotRerunnable:
      return "not rerunnable";
    case GiveUpReason::kMayHaveRun:
      return "it may have run, and its class must not run twice";
    case GiveUpReason::kRetriesExhausted:
      return "no repeats left";
    case GiveUpReason::kDeadline:
      return "the owner's time is over";
  }
  return "";
}

RetryDecision RetryState::Decide(const RetryPolicy& policy, const RequestEnded& ended) {
  if (!ended.rerunnable) return GiveUp(GiveUpReason::kNotRerunnable);
  // Danger: a task that is not idempotent and may have run must never start again, whatever its client
  // allows. Only the certainty that no attempt ran could permit it, and a lost task is proof of the contrary.
  if (ended.idempotency == Idempotency::kNotIdempotent && ended.result != RequestResult::kRejected) {
    return GiveUp(GiveUpReason::kMayHaveRun);
  }
  if (retries_in_row_ >= policy.max_retries) return GiveUp(GiveUpReason::kRetriesExhausted);

  const bool reconcile = NeedsReconciliation(ended);
  Micros wait = std::max(Backoff(policy, ended.result), ended.retry_after);
  if (reconcile) wait = std::max(wait, policy.reconciliation_wait);
  // Clients that were rejected together must not come back together.
  wait += static_cast<Micros>(static_cast<double>(wait) * policy.jitter * ended.random_draw);
  if (ended.now + wait >= ended.deadline) return GiveUp(GiveUpReason::kDeadline);

  ++retries_in_row_;
  const RetryAction action = reconcile ? RetryAction::kRetryAfterReconciliation : RetryAction::kRetry;
  return {action, ended.now + wait, GiveUpReason::kNone};
}

Micros RetryState::Backoff(const RetryPolicy& policy, RequestResult result) const {
  if (result == RequestResult::kLost && retries_in_row_ == 0) return policy.lost_task_backoff;
  Micros backoff = policy.initial_backoff;
  for (unsigned i = 0; i < retries_in_row_ && backoff < policy.max_backoff; ++i) backoff *= 2;
  return std::min(backoff, policy.max_backoff);
}

}  // namespace mountflow::retry
