#include "job_manager/scheduler_bridge.hpp"

#include <utility>

namespace mountflow::job_manager {

void SchedulerBridge::Run(Micros now, const ActionHandler& carry_out) {
  if (running_) return;
  running_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    const std::uint64_t before = clock_ns_ ? clock_ns_() : 0;
    scheduler_.Handle(now, event, &actions_);
    if (clock_ns_) elapsed_ns_ += clock_ns_() - before;
    for (const Action& action : actions_) carry_out(action);
  }
  running_ = false;
}

RequestId SchedulerBridge::OpenRequest(std::uint64_t job) {
  do {
    ++last_request_;
  } while (last_request_ == 0 || jobs_of_requests_.count(last_request_) > 0);
  jobs_of_requests_[last_request_] = job;
  return last_request_;
}

std::optional<std::uint64_t> SchedulerBridge::JobOf(RequestId request) const {
  const auto it = jobs_of_requests_.find(request);
  if (it == jobs_of_requests_.end()) return std::nullopt;
  return it->second;
}

}  // namespace mountflow::job_manager
