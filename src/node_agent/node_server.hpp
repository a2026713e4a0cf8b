// The node's side of the batch protocol, without I/O. It consumes the bytes of the daemons' connections,
// produces replies, and stores end reports until they are acknowledged.
#ifndef MOUNTFLOW_NODE_AGENT_NODE_SERVER_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_SERVER_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node_agent/end_reports.hpp"
#include "node_agent/node_emulator.hpp"
#include "node_agent/pbs_session.hpp"
#include "node_agent/submitted_task.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_agent {

// Units and limits of a NodeServer.
struct NodeServerOptions {
  double memory_unit = 1073741824;         // bytes in one unit of memory
  Micros process_started = 0;              // wall time of the start of this process of the node
  std::size_t max_script_bytes = 1 << 20;  // larger submissions are rejected
  std::size_t max_reports = 100'000;       // for each daemon; the oldest is dropped beyond this
  std::size_t max_sessions = 4096;         // further sessions are marked as closing
};

// Serves the batch protocol for one node, which it owns. Not thread-safe.
class NodeServer {
 public:
  using SessionId = std::uint64_t;
  NodeServer(std::unique_ptr<NodeEmulator> node, NodeServerOptions options);

  // Opens a session. Beyond `max_sessions`, it is marked as closing and its bytes are ignored.
  void Open(SessionId id);
  // Handles the requests in the bytes that a session received.
  void Receive(Micros now, SessionId id, std::string_view bytes);
  // Closes a session and abandons its submission if that is not committed: a connection that is lost before
  // the commit leaves no task.
  void Close(Micros now, SessionId id);
  void Tick(Micros now) { node_->Tick(now); }
  [[nodiscard]] Micros NextTimer() const { return node_->NextTimer(); }
  // Turns the node's outputs into replies, reports and process orders. Must be called after any of the
  // functions above and after changes to the node.
  void Dispatch(Micros now);

  // Returns the unsent bytes of a session, or null if there is no such session. The caller removes the bytes
  // that it sends.
  [[nodiscard]] std::string* OutputOf(SessionId id);
  // Reports whether the connection must be closed after its output is sent.
  [[nodiscard]] bool WantsClose(SessionId id) const;
  // Takes and clears the list of sessions that have new output.
  [[nodiscard]] std::vector<SessionId> TakeConnectionsWithOutput();

  // A request to start or signal the process of a task.
  struct ProcessOrder {
    std::string attempt;
    std::string signal;  // empty: start the process
  };
  [[nodiscard]] std::vector<ProcessOrder> TakeProcessOrders() { return std::exchange(process_orders_, {}); }
  // Returns the task of an attempt that is awaiting a decision or accepted, or null.
  [[nodiscard]] const SubmittedTask* FindTask(const std::string& attempt) const;

  [[nodiscard]] EndReports& reports() { return reports_; }
  [[nodiscard]] const EndReports& reports() const { return reports_; }
  [[nodiscard]] NodeEmulator& node() { return *node_; }
  [[nodiscard]] const NodeEmulator& node() const { return *node_; }
  // Makes commits of tasks of this queue fail. With an empty name, none fails.
  void SetFailingQueue(std::string queue) { failing_queue_ = std::move(queue); }
  // Takes and clears the description of an overload failure. Returns nullopt if there is none.
  [[nodiscard]] std::optional<std::string> TakeOverloadFailure() {
    return std::exchange(overload_failure_, std::nullopt);
  }

 private:
  using Request = pbs_protocol::Request;
  void HandleRequests(Micros now, SessionId id, PbsSession* session);
  // The handlers below answer the request, or mark the session as awaiting the node's answer.
  void Handle(Micros now, SessionId id, PbsSession* session, Request* request);
  void HandleQueueJob(SessionId id, PbsSession* session, Request* request);
  void HandleJobScript(SessionId id, PbsSession* session, const Request& request);
  void HandleReadyToCommit(Micros now, SessionId id, PbsSession* session, const Request& request);
  void HandleCommit(Micros now, SessionId id, PbsSession* session, const Request& request);
  void HandleDeleteJob(Micros now, SessionId id, PbsSession* session, const Request& request);
  void HandleSignalJob(Micros now, SessionId id, PbsSession* session, const Request& request);
  void HandleSelectJobs(SessionId id, PbsSession* session, const Request& request);
  void HandleStatusJob(Micros now, SessionId id, PbsSession* session, const Request& request);
  void HandleStatusServer(Micros now, SessionId id, PbsSession* session);
  [[nodiscard]] pbs_protocol::Reply UnknownAttemptReply(const Request& request) const;
  void ListTasks(Micros now, SessionId id, PbsSession* session, const Request& request);

  void HandleOutput(Micros now, const AttemptDecision& decision);
  void HandleOutput(Micros now, const CommitAcknowledged& acknowledged);
  void HandleOutput(Micros now, const RunTask& run);
  void HandleOutput(Micros now, const SignalTask& signal);
  void HandleOutput(Micros now, const TaskEnded& ended);
  void HandleOutput(Micros now, const OverloadFailure& failure);

  void Reply(SessionId id, PbsSession* session, const pbs_protocol::Reply& reply);
  void EndSubmission(PbsSession* session);
  // Takes and clears the session that awaits the node's answer about the attempt. Null if there is none.
  [[nodiscard]] std::pair<SessionId, PbsSession*> TakeAwaiting(const std::string& attempt);

  std::unique_ptr<NodeEmulator> node_;
  const NodeServerOptions options_;
  std::map<SessionId, PbsSession> sessions_;
  std::map<std::string, SessionId> awaiting_;   // attempt to the session that awaits an answer
  std::map<std::string, SubmittedTask> tasks_;  // awaiting a decision or accepted, until they end
  EndReports reports_;
  std::set<SessionId> sessions_with_output_;
  std::vector<ProcessOrder> process_orders_;
  std::optional<std::string> overload_failure_;
  std::string failing_queue_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_SERVER_HPP_
