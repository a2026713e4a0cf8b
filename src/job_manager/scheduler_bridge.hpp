// The only part that talks to mountflow::Scheduler: it queues events, runs them through the scheduler, hands
// the actions to its caller, and measures the time that the scheduler takes. It also gives out the numbers of
// requests, which are short and come round again.
//
// The scheduler is never entered twice: events that arise while actions are carried out wait their turn. The
// queue is bounded by the attempts of the open requests.
//
// Called by JobManager alone; not safe to share between threads.
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
  // Runs all queued events, and those that `carry_out` queues. Does nothing within a run.
  void Run(Micros now, const ActionHandler& carry_out);

  // Gives out a number that no open request has.
  RequestId OpenRequest(std::uint64_t job);
  void CloseRequest(RequestId request) { jobs_of_requests_.erase(request); }
  // None once the request is closed.
  std::optional<std::uint64_t> JobOf(RequestId request) const;

  // Time is only measured once a clock is set.
  void SetClock(Clock clock_ns) { clock_ns_ = std::move(clock_ns); }
  std::uint64_t elapsed_ns() const { return elapsed_ns_; }

 private:
  Scheduler scheduler_;
  std::deque<Event> events_;
  std::vector<Action> actions_;  // of the event at hand; a member to keep its memory
  bool running_ = false;
  RequestId last_request_ = 0;
  std::unordered_map<RequestId, std::uint64_t> jobs_of_requests_;  // the open ones
  Clock clock_ns_;
  std::uint64_t elapsed_ns_ = 0;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_SCHEDULER_BRIDGE_HPP_
