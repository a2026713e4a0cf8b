// Admission control for new submissions: sheds load that could not be answered before its deadline.
//
// The decisions are deterministic: the code does no I/O, reads no clock and starts no thread, and equal
// events give equal decisions.
//
// A submission enters the admission queue when its bytes arrive. It leaves the queue when the daemon has
// finished the more urgent work of an event loop iteration (answers, task ends, commits, draining). A
// submission is rejected at once if
//   - its client's deadline has passed or can no longer be met,
//   - its wait so far plus its expected wait exceeds `max_wait_share` of the client's time, or `max_wait`,
//   - `max_queue_length` submissions are queued, or
//   - the oldest unconfirmed write to storage is older than that limit on the wait.
//
// The expected wait is the number of jobs ahead times the cost of a job. The cost of a job is the time that
// the event loop worked, divided by the number of final answers that it produced (utilisation law). The
// expected wait is 0 unless the loop works almost without idle time, so jobs that merely wait for slow nodes
// cause no rejections. Each rejected client gets a different Retry-After, one job cost apart, so that the
// clients do not all retry at the same time.
#ifndef MOUNTFLOW_ADMISSION_ADMISSION_HPP_
#define MOUNTFLOW_ADMISSION_ADMISSION_HPP_

#include <cstddef>
#include <string_view>

#include "mountflow/scheduler.hpp"

namespace mountflow::admission {

// Limits of the admission queue and parameters of the estimates.
struct AdmissionOptions {
  double max_wait_share = 0.25;           // longest wait, as a share of the time from arrival to deadline
  Micros max_wait = 500'000;              // longest wait, whatever the deadline
  std::size_t max_queue_length = 16'384;  // queued submissions; further ones are rejected
  Micros iteration_budget = 2'000;        // time for admitting submissions in one event loop iteration
  Micros initial_cost_per_job = 200;      // estimate used until the first measurement
  Micros max_retry_after = 30'000'000;    // longest Retry-After that is sent
};

// A submission and the load of the daemon at the time of the decision.
struct SubmissionState {
  Micros now = 0;
  Micros arrived_at = 0;            // time at which the bytes of the submission arrived
  Micros deadline = 0;              // time at which the client stops waiting
  std::size_t queued_ahead = 0;     // submissions ahead of this one in the admission queue
  std::size_t unanswered_jobs = 0;  // admitted jobs without a final answer
};

// Whether a submission is admitted, or the reason for its rejection.
enum class AdmissionResult {
  kAdmitted,
  kDeadlinePassed,       // the deadline passed before the request was read
  kDeadlineUnreachable,  // the expected wait ends at or after the deadline
  kQueueFull,
  kStorageBacklog,  // the oldest unconfirmed write to storage is too old
  kOverloaded,      // the wait would exceed its limit
};

// Returns the text of the reply to the client; empty for kAdmitted.
[[nodiscard]] std::string_view Describe(AdmissionResult result);

// The result for a submission, and the Retry-After of a rejection.
struct AdmissionDecision {
  AdmissionResult result = AdmissionResult::kAdmitted;
  Micros retry_after = 0;  // of a rejection, in microseconds; 0: no retry slot before the deadline

  [[nodiscard]] bool admitted() const { return result == AdmissionResult::kAdmitted; }
};

// Decides which submissions are admitted. Not thread-safe: used only by the event loop's thread.
class AdmissionController {
 public:
  explicit AdmissionController(const AdmissionOptions& options);

  // Records that the event loop worked from `began_at` to `ended_at`, and that it was idle between the
  // previous iteration and `began_at`.
  void RecordLoopIteration(Micros began_at, Micros ended_at);
  // Records that a job got its final answer.
  void RecordAnswer() { ++answers_in_window_; }
  // Sets the age of the oldest write that storage has not confirmed; 0 if there is no such write.
  void SetStorageBacklogAge(Micros age) { storage_backlog_age_ = age; }

  // Decides whether to admit a submission. Called when the submission arrives, and again (with `queued_ahead`
  // 0) when it reaches the head of the queue. Each rejection reserves a slot in the retry schedule, except
  // one for a deadline that has already passed.
  [[nodiscard]] AdmissionDecision Decide(const SubmissionState& submission);
  // Returns the number of queued submissions that may be admitted in one event loop iteration; at least 1.
  [[nodiscard]] std::size_t MaxAdmissionsPerIteration() const;

  [[nodiscard]] double cost_per_job() const { return cost_per_job_; }  // event loop time, in microseconds
  [[nodiscard]] double busy_share() const { return busy_share_; }      // moving average over about 100 ms
  // Reports whether the event loop works almost without idle time.
  [[nodiscard]] bool saturated() const;

 private:
  void UpdateBusyShare(Micros period, Micros worked);
  void UpdateCostPerJob();
  AdmissionDecision Reject(const SubmissionState& submission, AdmissionResult result, Micros drained_in);

  AdmissionOptions options_;
  double cost_per_job_;
  double busy_share_ = 0.0;
  Micros last_iteration_ended_at_ = 0;  // 0: no iteration has been recorded
  Micros window_began_at_ = 0;          // start of the current measurement of the cost
  Micros worked_in_window_ = 0;
  std::size_t answers_in_window_ = 0;
  Micros next_retry_at_ = 0;  // latest time to retry that was sent to a rejected client
  Micros storage_backlog_age_ = 0;
};

}  // namespace mountflow::admission

#endif  // MOUNTFLOW_ADMISSION_ADMISSION_HPP_
