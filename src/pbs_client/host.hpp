// Clocks, and the names of the current user and host.
#ifndef MOUNTFLOW_PBS_CLIENT_HOST_HPP_
#define MOUNTFLOW_PBS_CLIENT_HOST_HPP_

#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::pbs_client {

// Returns the time since the epoch, in microseconds.
[[nodiscard]] Micros WallTime();
// Returns the time, in microseconds, of a clock that never goes backwards. Use it for timeouts.
[[nodiscard]] Micros MonotonicTime();
// Returns the name of the effective user, or the user id as text if the user has no name.
[[nodiscard]] std::string UserName();
[[nodiscard]] std::string HostName();

}  // namespace mountflow::pbs_client

#endif  // MOUNTFLOW_PBS_CLIENT_HOST_HPP_
