// The control connections: one a node, for everything but the start of attempts.
#ifndef MOUNTFLOW_NODE_SESSIONS_CONTROL_SESSIONS_HPP_
#define MOUNTFLOW_NODE_SESSIONS_CONTROL_SESSIONS_HPP_

#include <deque>
#include <map>
#include <string>

#include "job_manager/messages.hpp"
#include "node_sessions/control_exchange.hpp"
#include "node_sessions/session_context.hpp"

namespace mountflow::node_sessions {

// A request beyond max_controls is reported as failed. Without any reply for control_timeout the connection
// is closed.
class ControlSessions {
 public:
  explicit ControlSessions(SessionContext* context) : context_(context) {}

  // `address` is the node's.
  void Send(Micros now, NodeId node, const std::string& address, const ControlRequest& request);
  // For a node whose address is not known.
  void ReportFailure(NodeId node, const ControlRequest& request);

  // The address of the node has changed: closes the connection unless replies are awaited.
  void CloseIfIdle(NodeId node);
  // The connection is closed by the caller.
  void ForgetNode(NodeId node) { nodes_.erase(node); }

  [[nodiscard]] bool AwaitsReply(NodeId node) const;
  void OnReply(Micros now, ConnId id, NodeId node, const pbs_protocol::Reply& reply);
  // The connection is gone, whoever ended it.
  void OnClosed(NodeId node);

 private:
  struct Node {
    ConnId connection = 0;  // 0: none
    std::deque<PendingControl> pending;
  };

  SessionContext* context_;
  std::map<NodeId, Node> nodes_;
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_CONTROL_SESSIONS_HPP_
