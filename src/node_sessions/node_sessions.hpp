// The daemon's side of its connections to nodes, sans-I/O: takes the core's
// messages for nodes, speaks the PBS batch protocol, hands the core what the
// nodes say. The shell only opens, writes and closes connections.
//
// An attempt travels as a server hands a job to its execution host: QueueJob,
// JobScript and RdytoCommit in one go, then, when the core says so, Commit. Each
// attempt has a connection of its own while that lasts (replies come in order,
// so a slow yes would hold up others); connections are kept for the next one.
// A further connection a node carries everything else: stop, query, signal,
// status, keys, probes.
//
// Bounds, for each node: `most_connections` attempts at once, `most_waiting`
// more in line (beyond: told as broken before the commit, so never run),
// `most_controls` control requests without a reply (beyond: each is told as
// failed), replies of pbs_protocol::kMostReply bytes.
#ifndef MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_
#define MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "job_manager/job_manager.hpp"
#include "job_manager/messages.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/attribute_mapping.hpp"

namespace mountflow::node_sessions {

using ConnId = std::uint64_t;

struct LinkOptions {
  std::string user = "mountflowd";
  std::string report_to;  // host:port of our batch port, for the nodes' reports
  std::size_t most_connections = 32;
  std::size_t most_idle = 4;
  std::size_t most_waiting = 256;
  std::size_t most_controls = 1024;
  Micros connect_timeout = 250'000;
  Micros control_timeout = 2'000'000;  // without any reply on a control connection that waits for one
};

// What the shell is to do.
struct OpenConn {
  ConnId conn = 0;
  std::string address;
};
struct SendBytes {
  ConnId conn = 0;
  std::string bytes;
};
struct CloseConn {
  ConnId conn = 0;
};
using LinkAction = std::variant<OpenConn, SendBytes, CloseConn>;

class NodeLinks {
 public:
  NodeLinks(const job_manager::JobManager* core, pbs_server::Vocabulary words, LinkOptions options);

  // From the core.
  void Take(Micros now, const job_manager::Output& output);
  // From the shell. After Closed or ConnectFailed the number is not used again.
  void Connected(Micros now, ConnId conn);
  void Received(Micros now, ConnId conn, std::string_view bytes);
  void Closed(Micros now, ConnId conn);  // also when connecting failed
  void Tick(Micros now);
  Micros NextTimer() const;

  // To the shell, and to the core: take and clear.
  std::vector<LinkAction>& actions() { return actions_; }
  std::vector<job_manager::NodeMessage>& messages() { return messages_; }
  std::size_t connections() const { return conns_.size(); }
  void SetReportTo(std::string address) { options_.report_to = std::move(address); }

 private:
  enum class Step : std::uint8_t { kIdle, kAsking, kReady, kGoing };
  struct Control {  // a control request whose reply is awaited
    job_manager::Output asked;
    Micros sent = 0;
  };
  struct Conn {
    NodeId node = 0;
    bool control = false;
    bool open = false;
    std::string input;
    std::size_t needs = 1;
    Micros deadline = 0;  // 0: none
    std::string unsent;   // until it is open
    // Of an attempt:
    Step step = Step::kIdle;
    job_manager::AttemptId attempt;
    unsigned replies = 0;  // still awaited of the ask
    bool refused = false;
    pbs_protocol::Reply refusal;
    // Of the control connection:
    std::deque<Control> awaited;
  };
  struct Node {
    std::string address;
    ConnId control = 0;
    std::vector<ConnId> idle;
    std::size_t busy = 0;
    std::deque<job_manager::AttemptId> waiting;
  };

  ConnId OpenTo(Micros now, NodeId id, Node& node, bool control);
  Node* NodeFor(NodeId id);
  void Ask(Micros now, const job_manager::PrepareAttempt& ask);
  void Start(Micros now, NodeId id, Node& node, const job_manager::AttemptId& attempt);
  void Send(ConnId id, Conn& conn, std::string bytes);
  void Drop(ConnId id);  // closes it from our side
  void Free(Micros now, ConnId id, Conn& conn);
  void Next(Micros now, NodeId id);
  void OnReply(Micros now, ConnId id, Conn& conn, pbs_protocol::Reply reply);
  void OnControlReply(Micros now, Conn& conn, const pbs_protocol::Reply& reply);
  void ControlRequest(Micros now, NodeId node, const job_manager::Output& asked);
  void FailControl(const job_manager::Output& asked, NodeId node);
  void Break(Micros now, ConnId id);
  job_manager::NodeReconciled ReadSync(NodeId node, const pbs_protocol::Reply& reply) const;
  void SetDeadline(ConnId id, Conn& conn, Micros deadline);

  const job_manager::JobManager* core_;
  pbs_server::Vocabulary words_;
  LinkOptions options_;
  ConnId next_conn_ = 0;
  std::map<ConnId, Conn> conns_;
  std::map<NodeId, Node> nodes_;
  std::map<std::pair<std::uint64_t, std::uint32_t>, ConnId> of_attempt_;
  std::set<std::pair<Micros, ConnId>> deadlines_;
  std::vector<LinkAction> actions_;
  std::vector<job_manager::NodeMessage> messages_;
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_NODE_SESSIONS_HPP_
