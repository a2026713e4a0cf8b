// The timers of the job manager, ordered by time. Timers with equal times are ordered as they were added.
//
// A timer cannot be cancelled. Instead, its handler checks that the timer still applies, by a generation
// number or by the state of the object that it refers to. The size of the queue is bounded by a few entries
// for each job, attempt, node and scheduler timer.
//
// The timer queue of platform/ is a different one: it removes a timer that no longer applies, and orders
// equal times by id. Here the same timer may be added twice, and a heap is sufficient because no timer is
// cancelled.
//
// Used by JobManager only; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_TIMER_QUEUE_HPP_
#define MOUNTFLOW_JOB_MANAGER_TIMER_QUEUE_HPP_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

#include "job_manager/job.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

// A timer that the scheduler set by SetTimer.
struct SchedulerTimer {
  std::uint64_t token = 0;
};
// The deadline of an attempt has passed.
struct AttemptDeadline {
  AttemptId attempt;
};
// A waiting job may be requested, or the wait of its client has ended.
struct JobWakeup {
  std::uint64_t job = 0;
  std::uint32_t generation = 0;  // Job::timer_generation
};
// The next stop request, or the next query, for an attempt is due.
struct StopOrQueryRetry {
  AttemptId attempt;
};
// A failed reconciliation is retried.
struct ReconcileRetry {
  NodeId node = 0;
};
// A node that left the list is forgotten, and its attempts are considered ended.
struct NodeRemoval {
  NodeId node = 0;
  std::uint32_t generation = 0;  // NodeRecord::removal_generation
};
// Complete jobs older than the retention time are forgotten.
struct HistoryExpiry {};
// The next round of a key search is due.
struct KeySearchRound {
  std::uint64_t job = 0;
  std::uint32_t generation = 0;  // Job::timer_generation
};

using Timer = std::variant<SchedulerTimer, AttemptDeadline, JobWakeup, StopOrQueryRetry, ReconcileRetry,
                           NodeRemoval, HistoryExpiry, KeySearchRound>;

class TimerQueue {
 public:
  void Add(Micros at, const Timer& timer);
  // Returns the time of the earliest timer, or the largest value of Micros if there is none.
  Micros NextDue() const;
  // Removes and returns the earliest timer if its time is at most `now`, and returns nullopt otherwise.
  std::optional<Timer> PopDue(Micros now);

 private:
  struct Entry {
    Micros at = 0;
    std::uint64_t order = 0;  // sequence number, in the order of Add calls
    Timer timer;
    bool operator>(const Entry& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;
  std::uint64_t added_ = 0;  // number of timers added so far
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_TIMER_QUEUE_HPP_
