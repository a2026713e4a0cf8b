// The attempts at all nodes: each has a connection of its own while its start lasts, since replies come in
// order and a slow one would hold up others. Connections are kept for later attempts.
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

// An attempt beyond max_connections waits; one beyond max_waiting is reported as Broken and not sent, so it
// never runs.
class AttemptSessions {
 public:
  explicit AttemptSessions(SessionContext* context) : context_(context) {}

  // `address` is the node's.
  void Submit(Micros now, const job_manager::PrepareAttempt& request, const std::string& address);
  void Commit(const job_manager::CommitAttempt& request);
  // Before the commit: a connection that is lost then leaves no job at the node.
  void Abandon(Micros now, const job_manager::AbandonAttempt& request);
  // The attempt is being stopped: the reply to its commit may never come, and its connection is not kept for
  // it for ever.
  void LimitWait(const job_manager::AttemptId& attempt, Micros deadline);

  // The address of the node has changed: connections to the old one are of no use.
  void CloseIdle(NodeId node, const std::string& new_address);
  // The connections are closed by the caller, which calls ForgetConnection for each.
  void ForgetNode(NodeId node) { nodes_.erase(node); }
  void ForgetConnection(ConnId id);

  [[nodiscard]] bool AwaitsReply(ConnId id) const { return exchanges_.at(id).AwaitsReply(); }
  void OnReply(Micros now, ConnId id, pbs_protocol::Reply reply);
  // The connection to `node` is gone, whoever ended it.
  void OnClosed(Micros now, ConnId id, NodeId node);

 private:
  using AttemptKey = std::pair<std::uint64_t, std::uint32_t>;  // job, attempt number
  struct Node {
    std::string address;
    std::vector<ConnId> idle;  // the last used at the end
    std::size_t busy = 0;      // connections with an attempt
    std::deque<job_manager::AttemptId> waiting;
  };

  static AttemptKey KeyOf(const job_manager::AttemptId& attempt) { return {attempt.job, attempt.number}; }
  void ReportNotSent(const job_manager::AttemptId& attempt);
  void Start(Micros now, NodeId node_id, Node& node, const job_manager::AttemptId& attempt);
  [[nodiscard]] ConnId TakeConnection(Micros now, NodeId node_id, Node& node);
  // The connection has no attempt any more: it is kept or closed.
  void Release(Micros now, ConnId id, const job_manager::AttemptId& attempt);
  void StartWaiting(Micros now, NodeId node_id);

  SessionContext* context_;
  std::map<NodeId, Node> nodes_;
  std::map<ConnId, AttemptExchange> exchanges_;  // of each attempt connection
  std::map<AttemptKey, ConnId> connection_of_attempt_;
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_ATTEMPT_SESSIONS_HPP_
