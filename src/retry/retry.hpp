// Retry decisions: whether, and when, a job sends another launch request after one that started no task, or
// after its running task was lost.
//
// The decisions are deterministic: the code does no I/O, reads no clock and starts no thread, and the caller
// supplies the random draw. The scheduler takes no part in them: a retry is a new launch request to the
// scheduler, and each launch request has its own final answer.
#ifndef MOUNTFLOW_RETRY_RETRY_HPP_
#define MOUNTFLOW_RETRY_RETRY_HPP_

#include <cstdint>
#include <string_view>

#include "mountflow/scheduler.hpp"

namespace mountflow::retry {

// Limits and waits of retries. All times are in microseconds.
struct RetryPolicy {
  unsigned max_retries = 8;            // consecutive retries without a task start in between; 0: none
  Micros initial_backoff = 1'000'000;  // after a rejection or failure; doubled with each consecutive retry
  Micros max_backoff = 30'000'000;     // upper bound of the doubled backoff
  // Backoff after a running task was lost. It is short because the fault concerned one node, not the cluster.
  Micros lost_task_backoff = 200'000;
  double jitter = 0.25;  // each wait is extended at random by up to this share of itself
  // Minimum wait if an attempt may have run and a second run could do harm.
  Micros reconciliation_wait = 3'000'000;
};

// How a launch request ended.
enum class RequestResult {
  kRejected,  // no attempt ran, so a retry is harmless
  kFailed,    // an attempt may have run
  kLost       // the task ran and was then evicted, terminated, migrated, or lost with its node
};

// A launch request that ended without a running task, or whose running task was lost.
struct RequestEnded {
  RequestResult result = RequestResult::kRejected;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  bool rerunnable = false;          // the client allows retries
  bool unresolved_attempt = false;  // an attempt may still run or be accepted
  Micros retry_after = 0;           // minimum wait that the rejection requested
  Micros now = 0;
  Micros deadline = 0;       // time at which the client stops waiting
  double random_draw = 0.0;  // in [0, 1)
};

// The decision about a launch request that ended.
enum class RetryAction {
  kRetry,  // retry at the time `at`
  // Retry at the time `at` or later, once every earlier attempt is known not to run.
  kRetryAfterReconciliation,
  kGiveUp  // do not retry: the last result is final
};

// Why a launch request is not retried.
enum class GiveUpReason { kNone, kNotRerunnable, kMayHaveRun, kRetriesExhausted, kDeadline };

// Returns the text that clients read; it is also part of stored job comments. Empty for kNone.
[[nodiscard]] std::string_view Describe(GiveUpReason reason);

// A decision, with the time of the retry or the reason against it.
struct RetryDecision {
  RetryAction action = RetryAction::kGiveUp;
  Micros at = 0;                              // time of the retry; 0 for kGiveUp
  GiveUpReason reason = GiveUpReason::kNone;  // kNone unless the action is kGiveUp
};

// Decides about the retries of one job and counts them. Not thread-safe.
class RetryState {
 public:
  // Decides whether to retry a launch request that ended; called once for each. Counts the retry if it is
  // granted.
  [[nodiscard]] RetryDecision Decide(const RetryPolicy& policy, const RequestEnded& ended);
  // Resets the retry count and the backoff. Called when the job's task started.
  void TaskStarted() { retries_in_row_ = 0; }
  [[nodiscard]] unsigned retries_in_row() const { return retries_in_row_; }

 private:
  // Returns the backoff before jitter; it depends on the result and the number of consecutive retries.
  [[nodiscard]] Micros Backoff(const RetryPolicy& policy, RequestResult result) const;

  std::uint16_t retries_in_row_ = 0;
};

}  // namespace mountflow::retry

#endif  // MOUNTFLOW_RETRY_RETRY_HPP_
