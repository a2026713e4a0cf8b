// The control connections: one for each node, for all requests except those that start attempts.
#ifndef MOUNTFLOW_NODE_SESSIONS_CONTROL_SESSIONS_HPP_
#define MOUNTFLOW_NODE_SESSIONS_CONTROL_SESSIONS_HPP_

#include <deque>
#include <map>
#include <string>

#include "job_manager/messages.hpp"
#include "node_sessions/control_exchange.hpp"
#include "node_sessions/session_context.hpp"

namespace mountflow::node_sessions {

// Sends control requests to nodes. A request beyond max_controls pending ones is reported as failed. A
// connection that awaits replies and gets none for control_timeout is closed. Not thread-safe.
class ControlSessions {
 public:
  // `context` must outlive this object.
  explicit ControlSessions(SessionContext* context) : context_(context) {}

  // Sends a request to the node at `address`; opens a connection if there is none.
  void Send(Micros now, NodeId node, const std::string& address, const ControlRequest& request);
  // Reports a request as failed, for example because the address of the node is not known.
  void ReportFailure(NodeId node, const ControlRequest& request);

  // Closes the connection to a node whose address has changed, unless replies are awaited.
  void CloseIfIdle(NodeId node);
  // Removes a node and its pending requests without messages. The caller closes the connection.
  void ForgetNode(NodeId node) { nodes_.erase(node); }

  [[nodiscard]] bool AwaitsReply(NodeId node) const;
  // Handles a reply on the control connection of `node`, which must await one.
  void OnReply(Micros now, ConnId id, NodeId node, const pbs_protocol::Reply& reply);
  // Handles the end of the control connection, which either side may have closed: reports all pending
  // requests as failed.
  void OnClosed(NodeId node);

 private:
  struct Node {
    ConnId connection = 0;  // 0: no connection
    std::deque<PendingControl> pending;
  };

  SessionContext* context_;
  std::map<NodeId, Node> nodes_;
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_CONTROL_SESSIONS_HPP_
