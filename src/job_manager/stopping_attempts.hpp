// The attempts that are being stopped. Stop requests are sent to the node of each until it answers.
//
// Bound: the caller removes the oldest attempt when its limit is exceeded.
//
// Used by JobManager only; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_STOPPING_ATTEMPTS_HPP_
#define MOUNTFLOW_JOB_MANAGER_STOPPING_ATTEMPTS_HPP_

#include <algorithm>
#include <map>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

class StoppingAttempts {
 public:
  // Adds an attempt. If it was added before, `now` replaces the earlier time.
  void Add(const AttemptId& attempt, Micros now) { since_[attempt] = now; }
  void Remove(const AttemptId& attempt) { since_.erase(attempt); }
  std::size_t size() const { return since_.size(); }
  // Returns the attempt with the earliest time, and the one with the lowest id among equal times. There must
  // be at least one attempt.
  AttemptId Oldest() const {
    const auto earlier = [](const auto& a, const auto& b) { return a.second < b.second; };
    return std::min_element(since_.begin(), since_.end(), earlier)->first;
  }

 private:
  std::map<AttemptId, Micros> since_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_STOPPING_ATTEMPTS_HPP_
