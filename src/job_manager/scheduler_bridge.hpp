// The only component that calls mountflow::Scheduler. It queues events, passes them to the scheduler, passes
// the resulting actions to its caller, and measures the time spent in the scheduler. It also assigns request
// numbers, which wrap around and are reused.
//
// The scheduler is never called recursively: events that are queued while actions are carried out wait until
// the current event is complete. The size of the queue is bounded by the attempts of the open requests.
//
// Used by JobManager only; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_SCHEDULER_BRIDGE_HPP_
#define MOUNTFLOW_JOB_MANAGER_SCHEDULER_BRIDGE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

class SchedulerBridge {
 public:
  using ActionHandler = std::function<void(const Action&)>;
  using Clock = std::function<std::uint64_t()>;  // nanoseconds

  SchedulerBridge(const Settings& settings, std::uint64_t seed) : scheduler_(settings, seed) {}

  void QueueEvent(Event event) { events_.push_back(std::move(event)); }
  // Handles all queued events, including those that `carry_out` queues, and calls `carry_out` for each
  // action. Does nothing when called from `carry_out`.
  void Run(Micros now, const ActionHandler& carry_out);

  // Opens a request for the job, and returns a number that no other open request has.
  RequestId OpenRequest(std::uint64_t job);
  void CloseRequest(RequestId request) { jobs_of_requests_.erase(request); }
  // Returns the job of an open request, and nullopt if the request is closed.
  std::optional<std::uint64_t> JobOf(RequestId request) const;

  // Sets the clock. No time is measured before.
  void SetClock(Clock clock_ns) { clock_ns_ = std::move(clock_ns); }
  // Returns the total time spent in the scheduler, in nanoseconds.
  std::uint64_t elapsed_ns() const { return elapsed_ns_; }

 private:
  Scheduler scheduler_;
  std::deque<Event> events_;
  std::vector<Action> actions_;  // actions of the current event; a member so that its memory is reused
  bool running_ = false;
  RequestId last_request_ = 0;
  std::unordered_map<RequestId, std::uint64_t> jobs_of_requests_;  // open requests only
  Clock clock_ns_;
  std::uint64_t elapsed_ns_ = 0;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_SCHEDULER_BRIDGE_HPP_
