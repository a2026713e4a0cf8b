// The daemon's side of its connections to nodes. Encodes the job manager's requests to nodes in the PBS batch
// protocol and converts the replies to messages for the job manager. Does no I/O: the caller opens, writes
// and closes the connections.
//
// An attempt is sent to a node in the same way as a PBS server sends a job to an execution host: QueueJob,
// JobScript and ReadyToCommit in one go, then Commit when the job manager requests it. Each attempt has its
// own connection during this exchange. One more connection for each node, the control connection, carries all
// other requests: stop, query, signal, status, key searches and health checks.
//
// Bounds for each node:
//   - `max_connections` concurrent attempts;
//   - `max_waiting` further attempts that wait; attempts beyond that are reported as disconnected before the
//     commit, so they never run;
//   - `max_controls` control requests without a reply; requests beyond that are reported as failed;
//   - pbs_protocol::kMaxReplyBytes bytes in a reply.
#ifndef MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_
#define MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "job_manager/job_manager.hpp"
#include "job_manager/messages.hpp"
#include "node_sessions/attempt_sessions.hpp"
#include "node_sessions/control_sessions.hpp"
#include "node_sessions/session_context.hpp"
#include "node_sessions/session_types.hpp"
#include "pbs_server/vocabulary.hpp"

namespace mountflow::node_sessions {

// All connections to nodes. Not thread-safe. `job_manager` must outlive this object.
class NodeSessions {
 public:
  NodeSessions(const job_manager::JobManager* job_manager, pbs_server::Vocabulary vocabulary,
               NodeSessionOptions options);
  NodeSessions(const NodeSessions&) = delete;
  NodeSessions& operator=(const NodeSessions&) = delete;

  // Handles an output of the job manager. Ignores outputs that are not for nodes.
  void Deliver(Micros now, const job_manager::Output& output);

  // Handle the events of connections. An id is not reused after Closed; further events with it are ignored.
  void Connected(Micros now, ConnId id);
  void Received(Micros now, ConnId id, std::string_view bytes);
  void Closed(Micros now, ConnId id);  // also called when a connection attempt failed

  // Closes the connections whose deadline has passed. Must be called at the time that NextTimer returns; the
  // largest value means never.
  void Tick(Micros now);
  [[nodiscard]] Micros NextTimer() const { return context_.connections.NextDeadline(); }

  // Return the actions for the connections and the messages for the job manager, each in order. The caller
  // handles them and clears the lists.
  [[nodiscard]] std::vector<SessionAction>& actions() { return context_.connections.actions(); }
  [[nodiscard]] std::vector<job_manager::NodeMessage>& messages() { return context_.messages; }
  [[nodiscard]] std::size_t connections() const { return context_.connections.size(); }
  // Sets the address (HOST:PORT) to which nodes report the ends of attempts.
  void SetReportTo(std::string address) { context_.options.report_to = std::move(address); }

 private:
  struct OutputVisitor;

  // Returns the address of the node, or null if it is not known. Closes idle connections to the old
  // address if the address has changed.
  [[nodiscard]] const std::string* AddressOf(NodeId node);
  void Submit(Micros now, const job_manager::PrepareAttempt& request);
  void SendControl(Micros now, NodeId node, const ControlRequest& request);
  void ForgetNode(NodeId node);
  [[nodiscard]] bool AwaitsReply(ConnId id, const SessionConnection& connection) const;
  // Removes a connection that is closed, whichever side closed it, and reports its requests as failed.
  void OnConnectionClosed(Micros now, ConnId id);
  // Closes a connection after a timeout or an invalid reply.
  void CloseBroken(Micros now, ConnId id);

  SessionContext context_;
  AttemptSessions attempts_;
  ControlSessions controls_;
  std::map<NodeId, std::string> addresses_;  // last known address of each node that was listed
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_
