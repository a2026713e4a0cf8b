// The replies of the fake registries to their clients.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REPLY_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REPLY_HPP_

#include <cstdint>
#include <limits>
#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::registry_standin {

// Identifies a client's connection. The caller of a registry chooses the values.
using ConnectionId = std::uint64_t;

// The value that NextTimer() returns if no timer is pending.
inline constexpr Micros kNoTimer = std::numeric_limits<Micros>::max();

// Bytes for one connection: a whole HTTP reply, or a part of a stream.
struct Reply {
  ConnectionId connection = 0;
  std::string bytes;
  bool close_after = false;  // close the connection once these bytes are sent
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REPLY_HPP_
