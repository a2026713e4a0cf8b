// What a client says of itself and of the time.
#ifndef MOUNTFLOW_PBS_CLIENT_HOST_HPP_
#define MOUNTFLOW_PBS_CLIENT_HOST_HPP_

#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::pbs_client {

[[nodiscard]] Micros WallTime();       // since the epoch
[[nodiscard]] Micros MonotonicTime();  // for time-outs
[[nodiscard]] std::string UserName();  // of the effective user; the number of one without a name
[[nodiscard]] std::string HostName();  // of this host

}  // namespace mountflow::pbs_client

#endif  // MOUNTFLOW_PBS_CLIENT_HOST_HPP_
