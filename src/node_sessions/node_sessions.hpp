// The daemon's side of its connections to nodes. Does no I/O: takes the job manager's outputs for nodes,
// speaks the PBS batch protocol, and gives the job manager what the nodes reply. The caller only opens,
// writes and closes connections.
//
// An attempt travels as a server hands a job to its execution host: QueueJob, JobScript and ReadyToCommit at
// once, then, when the job manager says so, Commit. Each attempt has a connection of its own while that
// lasts; a further connection a node carries everything else: stop, query, signal, status, keys, health
// checks.
//
// Bounds, for each node: `max_connections` attempts at once, `max_waiting` more that wait (beyond: reported
// as broken before the commit, so never run), `max_controls` control requests without a reply (beyond: each
// is reported as failed), replies of pbs_protocol::kMaxReplyBytes bytes.
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

// Single-threaded. `job_manager` must outlive it.
class NodeSessions {
 public:
  NodeSessions(const job_manager::JobManager* job_manager, pbs_server::Vocabulary vocabulary,
               NodeSessionOptions options);
  NodeSessions(const NodeSessions&) = delete;
  NodeSessions& operator=(const NodeSessions&) = delete;

  // Takes an output of the job manager; those that are not for nodes are ignored.
  void Deliver(Micros now, const job_manager::Output& output);

  // Events of the connections. After Closed an id is not used again; further events of it are ignored.
  void Connected(Micros now, ConnId id);
  void Received(Micros now, ConnId id, std::string_view bytes);
  void Closed(Micros now, ConnId id);  // also when connecting failed

  // Closes the connections whose time is up; due at NextTimer, the largest value meaning never.
  void Tick(Micros now);
  [[nodiscard]] Micros NextTimer() const { return context_.connections.NextDeadline(); }

  // What to do with the connections, and what to tell the job manager, in order: take and clear.
  [[nodiscard]] std::vector<SessionAction>& actions() { return context_.connections.actions(); }
  [[nodiscard]] std::vector<job_manager::NodeMessage>& messages() { return context_.messages; }
  [[nodiscard]] std::size_t connections() const { return context_.connections.size(); }
  // HOST:PORT that nodes report the ends of attempts to.
  void SetReportTo(std::string address) { context_.options.report_to = std::move(address); }

 private:
  struct OutputVisitor;

  // Where the node listens; null when it was never listed. When it has changed, idle connections to the old
  // address are closed.
  [[nodiscard]] const std::string* AddressOf(NodeId node);
  void Submit(Micros now, const job_manager::PrepareAttempt& request);
  void SendControl(Micros now, NodeId node, const ControlRequest& request);
  void ForgetNode(NodeId node);
  [[nodiscard]] bool AwaitsReply(ConnId id, const SessionConnection& connection) const;
  // The connection is gone, whoever ended it.
  void OnConnectionGone(Micros now, ConnId id);
  void CloseBroken(Micros now, ConnId id);

  SessionContext context_;
  AttemptSessions attempts_;
  ControlSessions controls_;
  std::map<NodeId, std::string> addresses_;  // of nodes that were listed when last queried
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_
