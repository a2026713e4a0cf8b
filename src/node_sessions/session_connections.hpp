// The connections to nodes, as far as attempts and control requests share them: state, deadlines and actions.
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

enum class ConnectionKind : std::uint8_t { kAttempt, kControl };

struct SessionConnection {
  NodeId node = 0;
  ConnectionKind kind = ConnectionKind::kAttempt;
  bool open = false;  // established
  Micros deadline = kNoDeadline;
  std::string unsent;  // until it is open
  ReplyReader reader;
};

// Does no I/O: collects actions. Ids are never used again.
class SessionConnections {
 public:
  // The deadline is that of connecting.
  ConnId Open(NodeId node, ConnectionKind kind, const std::string& address, Micros deadline);
  // Null when it is gone. Valid until the connection is closed or removed.
  [[nodiscard]] SessionConnection* Find(ConnId id);
  // The connection must exist.
  void Send(ConnId id, std::string bytes);
  void SetDeadline(ConnId id, Micros deadline);
  // The connection is established: what waited is sent, and the deadline replaced.
  void SetOpen(ConnId id, Micros deadline);
  // Closes the connection from our side. Does nothing when it is gone.
  void Close(ConnId id);
  // Forgets a connection that is closed already.
  void Remove(ConnId id);

  // In the order they were opened.
  [[nodiscard]] std::vector<ConnId> OfNode(NodeId node) const;
  [[nodiscard]] Micros NextDeadline() const;  // the largest value when there is none
  [[nodiscard]] std::optional<ConnId> FindExpired(Micros now) const;
  [[nodiscard]] std::size_t size() const { return connections_.size(); }
  // In order; whoever carries them out clears them.
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
