// The attempts that are being started on all nodes. Each has its own connection until its start is complete,
// because replies arrive in order and a slow reply would delay those behind it. Idle connections are reused
// for later attempts.
#ifndef MOUNTFLOW_NODE_SESSIONS_ATTEMPT_SESSIONS_HPP_
#define MOUNTFLOW_NODE_SESSIONS_ATTEMPT_SESSIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "job_manager/messages.hpp"
#include "node_sessions/attempt_exchange.hpp"
#include "node_sessions/session_context.hpp"

namespace mountflow::node_sessions {

// Starts attempts on nodes. If a node already has max_connections attempts, a further attempt waits. If
// max_waiting attempts wait, a further one is not sent, so it never runs, and is reported as
// AttemptDisconnected. Not thread-safe.
class AttemptSessions {
 public:
  // `context` must outlive this object.
  explicit AttemptSessions(SessionContext* context) : context_(context) {}

  // Submits an attempt to the node at `address`.
  void Submit(Micros now, const job_manager::PrepareAttempt& request, const std::string& address);
  // Sends the commit of a prepared attempt. Reports AttemptDisconnected if the attempt has no connection any
  // more.
  void Commit(const job_manager::CommitAttempt& request);
  // Abandons an attempt whose commit was not sent: it no longer waits, or its connection is closed. A node
  // discards a job whose connection closes before the commit.
  void Abandon(Micros now, const job_manager::AbandonAttempt& request);
  // Sets the deadline of the attempt's connection. Called when the attempt is being stopped, because the
  // reply to its commit may never arrive.
  void SetReplyDeadline(const job_manager::AttemptId& attempt, Micros deadline);

  // Closes the idle connections to a node whose address has changed; later connections use `new_address`.
  void CloseIdle(NodeId node, const std::string& new_address);
  // Removes a node and its waiting attempts. The caller closes the connections to the node and calls
  // ForgetConnection for each.
  void ForgetNode(NodeId node) { nodes_.erase(node); }
  // Removes an attempt connection and its attempt without a message. Does nothing for other connections.
  void ForgetConnection(ConnId id);

  // Reports whether the attempt connection awaits a reply. The connection must exist.
  [[nodiscard]] bool AwaitsReply(ConnId id) const { return exchanges_.at(id).AwaitsReply(); }
  // Handles a reply on an attempt connection, which must await one.
  void OnReply(Micros now, ConnId id, pbs_protocol::Reply reply);
  // Handles the end of a connection to `node`, which either side may have closed.
  void OnClosed(Micros now, ConnId id, NodeId node);

 private:
  using AttemptKey = std::pair<std::uint64_t, std::uint32_t>;  // job, attempt number
  struct Node {
    std::string address;
    std::vector<ConnId> idle;  // the most recently used connection is last
    std::size_t busy = 0;      // number of connections with an attempt
    std::deque<job_manager::AttemptId> waiting;
  };

  static AttemptKey KeyOf(const job_manager::AttemptId& attempt) { return {attempt.job, attempt.number}; }
  // Reports the attempt to the job manager as disconnected before its commit was sent.
  void ReportNotSent(const job_manager::AttemptId& attempt);
  void Start(Micros now, NodeId node_id, Node& node, const job_manager::AttemptId& attempt);
  // Returns an idle connection to the node, or opens a new one.
  [[nodiscard]] ConnId TakeConnection(Micros now, NodeId node_id, Node& node);
  // Marks the connection of a finished attempt as idle, or closes it if the node has enough idle connections.
  void Release(Micros now, ConnId id, const job_manager::AttemptId& attempt);
  // Starts waiting attempts while the node has fewer than max_connections attempts.
  void StartWaiting(Micros now, NodeId node_id);

  SessionContext* context_;
  std::map<NodeId, Node> nodes_;
  std::map<ConnId, AttemptExchange> exchanges_;  // state of each attempt connection
  std::map<AttemptKey, ConnId> connection_of_attempt_;
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_ATTEMPT_SESSIONS_HPP_
