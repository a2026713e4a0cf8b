// Exponential backoff: a delay that doubles with each consecutive failure, up to a limit.
#ifndef MOUNTFLOW_JOB_MANAGER_BACKOFF_HPP_
#define MOUNTFLOW_JOB_MANAGER_BACKOFF_HPP_

#include <algorithm>

#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

inline constexpr unsigned kMaxBackoffDoublings = 4;

// Returns the delay before the next retry, given the number of consecutive failures before the latest one.
inline Micros BackoffDelay(Micros first_delay, unsigned earlier_failures) {
  return first_delay << std::min(earlier_failures, kMaxBackoffDoublings);
}

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_BACKOFF_HPP_
