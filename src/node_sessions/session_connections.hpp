// The state, deadlines and pending actions of the connections to nodes. Attempt sessions and control sessions
// both use them.
#ifndef MOUNTFLOW_NODE_SESSIONS_SESSION_CONNECTIONS_HPP_
#define MOUNTFLOW_NODE_SESSIONS_SESSION_CONNECTIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "node_sessions/reply_reader.hpp"
#include "node_sessions/session_types.hpp"

namespace mountflow::node_sessions {

inline constexpr Micros kNoDeadline = 0;

// Whether a connection carries the start of attempts or control requests.
enum class ConnectionKind : std::uint8_t { kAttempt, kControl };

// The state of one connection to a node.
struct SessionConnection {
  NodeId node = 0;
  ConnectionKind kind = ConnectionKind::kAttempt;
  bool open = false;              // whether the connection is established
  Micros deadline = kNoDeadline;  // time at which the connection is closed
  std::string unsent;             // bytes to send as soon as the connection is established
  ReplyReader reader;
};

// All connections to nodes. Does no I/O: it collects actions for the event loop. Connection ids are never
// reused.
class SessionConnections {
 public:
  // Opens a connection to `address` (IP:PORT), which must be established before `deadline`, and returns its
  // id.
  ConnId Open(NodeId node, ConnectionKind kind, const std::string& address, Micros deadline);
  // Returns the connection, or null if it no longer exists. The pointer is valid until the connection is
  // closed or removed.
  [[nodiscard]] SessionConnection* Find(ConnId id);
  // Sends bytes as soon as the connection is established. The connection must exist.
  void Send(ConnId id, std::string bytes);
  // Replaces the deadline; kNoDeadline removes it. The connection must exist.
  void SetDeadline(ConnId id, Micros deadline);
  // Marks the connection as established, sends its unsent bytes and replaces its deadline.
  void SetOpen(ConnId id, Micros deadline);
  // Closes and removes the connection. Does nothing if it no longer exists.
  void Close(ConnId id);
  // Removes a connection that is already closed. Does nothing if it no longer exists.
  void Remove(ConnId id);

  // Returns the connections to a node, in the order in which they were opened.
  [[nodiscard]] std::vector<ConnId> OfNode(NodeId node) const;
  // Returns the earliest deadline, or the largest value if there is none.
  [[nodiscard]] Micros NextDeadline() const;
  // Returns the connection with the earliest deadline, if that is `now` or earlier.
  [[nodiscard]] std::optional<ConnId> FindExpired(Micros now) const;
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  // Returns the actions to carry out, in order. The caller clears them after carrying them out.
  [[nodiscard]] std::vector<SessionAction>& actions() { return actions_; }

 private:
  void SetDeadline(ConnId id, SessionConnection& connection, Micros deadline);

  ConnId last_id_ = 0;
  std::map<ConnId, SessionConnection> connections_;
  std::set<std::pair<Micros, ConnId>> deadlines_;
  std::vector<SessionAction> actions_;
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_SESSION_CONNECTIONS_HPP_
