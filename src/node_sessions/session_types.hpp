// Options of the sessions with nodes, and what they ask of the event loop.
#ifndef MOUNTFLOW_NODE_SESSIONS_SESSION_TYPES_HPP_
#define MOUNTFLOW_NODE_SESSIONS_SESSION_TYPES_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "mountflow/scheduler.hpp"

namespace mountflow::node_sessions {

using ConnId = std::uint64_t;

// The bounds are those of one node.
struct NodeSessionOptions {
  std::string user = "mountflowd";
  std::string report_to;             // HOST:PORT of our batch port, for the nodes' reports
  std::size_t max_connections = 32;  // attempts at once, each on a connection of its own
  std::size_t max_idle = 4;          // connections kept for later attempts
  std::size_t max_waiting = 256;     // attempts that wait for a connection
  std::size_t max_controls = 1024;   // control requests without a reply
  Micros connect_timeout = 250'000;
  Micros control_timeout = 2'000'000;  // without any reply on a control connection that waits for one
};

// Open a connection. Connected or Closed is called in return.
struct OpenConn {
  ConnId conn = 0;
  std::string address;  // IP:PORT
};
struct SendBytes {
  ConnId conn = 0;
  std::string bytes;
};
// Close a connection. Nothing is called in return.
struct CloseConn {
  ConnId conn = 0;
};
using SessionAction = std::variant<OpenConn, SendBytes, CloseConn>;

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_SESSION_TYPES_HPP_
