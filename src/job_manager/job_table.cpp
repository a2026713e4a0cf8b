#include "job_manager/job_table.hpp"

#include <algorithm>

namespace mountflow::job_manager {

JobTable::JobTable(JobTableLimits limits, std::uint64_t last_number)
    : limits_(limits), last_number_(last_number) {}

void JobTable::ReserveNumbersUpTo(std::uint64_t number) { last_number_ = std::max(last_number_, number); }

Job* JobTable::Find(std::uint64_t number) {
  const auto it = jobs_.find(number);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Job* JobTable::Find(std::uint64_t number) const {
  const auto it = jobs_.find(number);
  return it == jobs_.end() ? nullptr : &it->second;
}

Job& JobTable::FindOrCreate(std::uint64_t number) {
  Job& job = jobs_[number];
  job.number = number;
  return job;
}

std::size_t& JobTable::CountOf(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return counts_.queued;
    case JobState::kHeld:
      return counts_.held;
    case JobState::kWaiting:
      return counts_.waiting;
    case JobState::kRunning:
      return counts_.running;
    case JobState::kExiting:
      return counts_.exiting;
    case JobState::kComplete:
      break;
  }
  return counts_.complete;
}

void JobTable::Count(const Job& job) {
  ++CountOf(job.state);
  if (job.IsComplete()) return;
  ++live_;
  script_bytes_ += job.spec->script.size();
}

void JobTable::SetState(Job* job, JobState state) {
  --CountOf(job->state);
  ++CountOf(state);
  job->state = state;
}

void JobTable::Retire(Job* job) {
  --live_;
  script_bytes_ -= job->spec->script.size();
  job->spec->script = {};
  job->spec->script.shrink_to_fit();
  history_.push_back(job->number);
}

std::uint64_t JobTable::PopOldestComplete() {
  const std::uint64_t oldest = history_.front();
  history_.pop_front();
  return oldest;
}

void JobTable::Forget(std::uint64_t number) {
  --counts_.complete;
  jobs_.erase(number);
}

void JobTable::DiscardIf(const std::function<bool(std::uint64_t)>& unwanted) {
  std::erase_if(jobs_, [&unwanted](const auto& entry) { return unwanted(entry.first); });
}

}  // namespace mountflow::job_manager
