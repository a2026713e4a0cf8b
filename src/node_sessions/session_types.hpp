// Options of the node sessions, and the actions that they request from the event loop.
#ifndef MOUNTFLOW_NODE_SESSIONS_SESSION_TYPES_HPP_
#define MOUNTFLOW_NODE_SESSIONS_SESSION_TYPES_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "mountflow/scheduler.hpp"

namespace mountflow::node_sessions {

// Identifies a connection to a node. Ids are never reused.
using ConnId = std::uint64_t;

// Options of the node sessions. All bounds apply to each node separately.
struct NodeSessionOptions {
  std::string user = "mountflowd";
  std::string report_to;             // HOST:PORT of the daemon's batch port, to which nodes report
  std::size_t max_connections = 32;  // concurrent attempts, each on its own connection
  std::size_t max_idle = 4;          // idle connections that are reused for later attempts
  std::size_t max_waiting = 256;     // attempts that wait for a connection
  std::size_t max_controls = 1024;   // control requests without a reply
  Micros connect_timeout = 250'000;
  Micros control_timeout = 2'000'000;  // longest time without a reply on a control connection that awaits one
};

// Opens a connection. The event loop then calls NodeSessions::Connected or NodeSessions::Closed.
struct OpenConn {
  ConnId conn = 0;
  std::string address;  // IP:PORT
};
// Writes bytes to an established connection.
struct SendBytes {
  ConnId conn = 0;
  std::string bytes;
};
// Closes a connection. The event loop makes no call in return.
struct CloseConn {
  ConnId conn = 0;
};
// An action that the event loop carries out.
using SessionAction = std::variant<OpenConn, SendBytes, CloseConn>;

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_SESSION_TYPES_HPP_
