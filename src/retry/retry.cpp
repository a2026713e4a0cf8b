#include "retry/retry.hpp"

#include <algorithm>

namespace mountflow::retry {
namespace {

RetryDecision GiveUp(GiveUpReason reason) { return {RetryAction::kGiveUp, 0, reason}; }

// Reports whether a retry could do harm because an earlier attempt may still run.
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
  // A task that is not idempotent and may have run must never start again, even if its client allows retries.
  // A retry is safe only if it is certain that no attempt ran; a lost task has run.
  if (ended.idempotency == Idempotency::kNotIdempotent && ended.result != RequestResult::kRejected) {
    return GiveUp(GiveUpReason::kMayHaveRun);
  }
  if (retries_in_row_ >= policy.max_retries) return GiveUp(GiveUpReason::kRetriesExhausted);

  const bool reconcile = NeedsReconciliation(ended);
  Micros wait = std::max(Backoff(policy, ended.result), ended.retry_after);
  if (reconcile) wait = std::max(wait, policy.reconciliation_wait);
  // Jitter keeps clients that were rejected at the same time from retrying at the same time.
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
