#include "node_sessions/control_sessions.hpp"

#include <optional>
#include <utility>

namespace mountflow::node_sessions {

void ControlSessions::ReportFailure(NodeId node, const ControlRequest& request) {
  std::optional<job_manager::NodeMessage> failure = ControlFailure(node, request);
  if (failure) context_->messages.push_back(std::move(*failure));
}

void ControlSessions::Send(Micros now, NodeId node_id, const std::string& address,
                           const ControlRequest& request) {
  SessionConnections& connections = context_->connections;
  Node& node = nodes_[node_id];
  if (node.connection == 0) {
    const Micros deadline = now + context_->options.connect_timeout;
    node.connection = connections.Open(node_id, ConnectionKind::kControl, address, deadline);
  }
  if (node.pending.size() >= context_->options.max_controls) {
    ReportFailure(node_id, request);
    return;
  }
  node.pending.push_back({request, now});
  const SessionConnection& connection = *connections.Find(node.connection);
  if (connection.open && connection.deadline == kNoDeadline) {
    connections.SetDeadline(node.connection, now + context_->options.control_timeout);
  }
  connections.Send(node.connection, EncodeControl(*context_, request));
}

bool ControlSessions::AwaitsReply(NodeId node_id) const {
  const auto found = nodes_.find(node_id);
  return found != nodes_.end() && !found->second.pending.empty();
}

void ControlSessions::OnReply(Micros now, ConnId id, NodeId node_id, const pbs_protocol::Reply& reply) {
  std::deque<PendingControl>& pending = nodes_.at(node_id).pending;
  const PendingControl answered = std::move(pending.front());
  pending.pop_front();
  std::optional<job_manager::NodeMessage> message =
      ReadControlReply(*context_, now, node_id, answered, reply);
  if (message) context_->messages.push_back(std::move(*message));
  const Micros deadline = pending.empty() ? kNoDeadline : now + context_->options.control_timeout;
  context_->connections.SetDeadline(id, deadline);
}

// A closed control connection may mean that the node failed, so ReconcileFailed is reported even if no
// reconciliation was pending: the job manager must read the node's list of attempts again.
void ControlSessions::OnClosed(NodeId node_id) {
  Node& node = nodes_[node_id];
  node.connection = 0;
  bool reconcile_failed = false;
  for (const PendingControl& pending : std::exchange(node.pending, {})) {
    reconcile_failed |= std::holds_alternative<job_manager::ReconcileNode>(pending.request);
    ReportFailure(node_id, pending.request);
  }
  if (!reconcile_failed) context_->messages.emplace_back(job_manager::ReconcileFailed{node_id});
}

void ControlSessions::CloseIfIdle(NodeId node_id) {
  const auto found = nodes_.find(node_id);
  if (found == nodes_.end() || found->second.connection == 0 || !found->second.pending.empty()) return;
  context_->connections.Close(std::exchange(found->second.connection, 0));
}

}  // namespace mountflow::node_sessions
