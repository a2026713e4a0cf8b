#include "node_sessions/session_connections.hpp"

#include <limits>

namespace mountflow::node_sessions {

ConnId SessionConnections::Open(NodeId node, ConnectionKind kind, const std::string& address,
                                Micros deadline) {
  const ConnId id = ++last_id_;
  SessionConnection& connection = connections_[id];
  connection.node = node;
  connection.kind = kind;
  SetDeadline(id, connection, deadline);
  actions_.emplace_back(OpenConn{id, address});
  return id;
}

SessionConnection* SessionConnections::Find(ConnId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

void SessionConnections::Send(ConnId id, std::string bytes) {
  SessionConnection& connection = connections_.at(id);
  if (!connection.open) {
    connection.unsent += bytes;
    return;
  }
  actions_.emplace_back(SendBytes{id, std::move(bytes)});
}

void SessionConnections::SetDeadline(ConnId id, Micros deadline) {
  SetDeadline(id, connections_.at(id), deadline);
}

void SessionConnections::SetDeadline(ConnId id, SessionConnection& connection, Micros deadline) {
  if (connection.deadline != kNoDeadline) deadlines_.erase({connection.deadline, id});
  connection.deadline = deadline;
  if (deadline != kNoDeadline) deadlines_.insert({deadline, id});
}

void SessionConnections::SetOpen(ConnId id, Micros deadline) {
  SessionConnection& connection = connections_.at(id);
  connection.open = true;
  SetDeadline(id, connection, deadline);
  if (!connection.unsent.empty()) actions_.emplace_back(SendBytes{id, std::exchange(connection.unsent, {})});
}

void SessionConnections::Close(ConnId id) {
  if (Find(id) == nullptr) return;
  Remove(id);
  actions_.emplace_back(CloseConn{id});
}

void SessionConnections::Remove(ConnId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  SetDeadline(id, found->second, kNoDeadline);
  connections_.erase(found);
}

std::vector<ConnId> SessionConnections::OfNode(NodeId node) const {
  std::vector<ConnId> ids;
  for (const auto& [id, connection] : connections_) {
    if (connection.node == node) ids.push_back(id);
  }
  return ids;
}

Micros SessionConnections::NextDeadline() const {
  return deadlines_.empty() ? std::numeric_limits<Micros>::max() : deadlines_.begin()->first;
}

std::optional<ConnId> SessionConnections::FindExpired(Micros now) const {
  if (deadlines_.empty() || deadlines_.begin()->first > now) return std::nullopt;
  return deadlines_.begin()->second;
}

}  // namespace mountflow::node_sessions
