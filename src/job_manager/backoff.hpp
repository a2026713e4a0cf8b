// Delays that double with each failure in a row.
#ifndef MOUNTFLOW_JOB_MANAGER_BACKOFF_HPP_
#define MOUNTFLOW_JOB_MANAGER_BACKOFF_HPP_

#include <algorithm>

#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

inline constexpr unsigned kMaxBackoffDoublings = 4;

// The delay after as many failures before this one.
inline Micros BackoffDelay(Micros first_delay, unsigned earlier_failures) {
  return first_delay << std::min(earlier_failures, kMaxBackoffDoublings);
}

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_BACKOFF_HPP_
