// Connects the scheduler to the client and node protocols. No other code calls the scheduler. The dispatcher
// translates each message of a client or node into scheduler events, and carries out the scheduler's actions
// in the same turn and in order. It makes no scheduling decisions: the requests that it rejects itself are
// those that cannot be parsed or that exceed a limit of the request table.
//
// Invariants:
//   - Each attempt has exactly one outcome.
//   - Each request gets one final answer, unless its client cancelled it.
//   - The client of a running task is notified of its end once, unless the client itself ended it. A client
//     that names a task as running after its end is notified of the end again.
//
// Not thread-safe; the caller passes the time, which must not go backwards. Memory is bounded by the limits
// of RequestTable, EndedTasks and NodeDirectory, and by the number of timers that the scheduler sets.
#ifndef MOUNTFLOW_PLATFORM_DISPATCHER_HPP_
#define MOUNTFLOW_PLATFORM_DISPATCHER_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/client_codec.hpp"
#include "platform/client_notifications.hpp"
#include "platform/ended_tasks.hpp"
#include "platform/node_connections.hpp"
#include "platform/node_directory.hpp"
#include "platform/node_watch.hpp"
#include "platform/request_table.hpp"
#include "platform/timer_queue.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

// A task that is being terminated counts as ended after this time if its node has confirmed the termination
// and does not report the end. An unconfirmed termination is looked at again after the same time.
inline constexpr Micros kTerminationTimeout = 2'000'000;

// The result of handling a launch message. A running task for which the request table has no
// capacity gets no answer, although its result is kSubmitted.
enum class SubmitResult {
  kSubmitted,       // the final answer was queued, or will follow
  kAlreadyRunning,  // the task already runs on the node that the message names: no answer follows
  kDuplicateUid     // another request has this uid; the message had no effect
};

// Owns the scheduler, the request table, the node directory and the timers. Not thread-safe.
class Dispatcher {
 public:
  // `connections` must outlive the dispatcher. `seed` seeds the scheduler.
  Dispatcher(const settings::WireSettings& wire, std::uint64_t seed, NodeConnections* connections,
             std::size_t max_description_bytes = kDefaultMaxDescriptionBytes);

  // Must be called once, before any message or node list is passed in. Merges `cached_changes` in order into
  // one cached node list, with which the scheduler starts.
  void Start(Micros now, const std::vector<NodeListEvent>& cached_changes);
  // Applies a snapshot or delta of the node list.
  void ApplyNodeList(Micros now, const NodeListEvent& change);
  // Handles a launch message that was received on `conn` from `host`.
  [[nodiscard]] SubmitResult Submit(Micros now, ConnId conn, ClientHost host, const ClientMessage& message);
  // Cancels a request, or terminates its running task, on behalf of the client. An unknown uid is ignored.
  void Cancel(Micros now, RequestUid uid);
  // Cancels the unanswered requests of a closed connection, because no client waits for their answers.
  void OnClientDisconnected(Micros now, ConnId conn);
  // Handles the events of the node connections. Must be called after each call of a NodeConnections method.
  void HandleNodeEvents(Micros now);
  // Handles the timers of the scheduler and of requests that are due.
  void Tick(Micros now);
  // Returns the time at which Tick() must be called next; kNever: no timer is set.
  [[nodiscard]] Micros NextDue() const;
  // Fails every request that has no final answer yet.
  void FailUnanswered(Micros now);

  // Sets the function that reports whether the client of a connection has closed it. It must also report a
  // close that was not read from the socket yet.
  void SetClientHasLeft(std::function<bool(ConnId)> client_has_left) {
    client_has_left_ = std::move(client_has_left);
  }
  // Sets the function that receives the time and text of each event and action, as one line each.
  void SetTrace(std::function<void(Micros, const std::string&)> trace) { trace_ = std::move(trace); }

  // Returns and clears the queued messages for clients.
  [[nodiscard]] std::vector<ClientNotification> TakeNotifications() { return notifications_.Take(); }
  // Returns and clears the log records. Records beyond a limit between two calls are dropped.
  [[nodiscard]] std::vector<logging::LogRecord> TakeLogRecords();

  [[nodiscard]] const RequestTable& requests() const { return requests_; }
  [[nodiscard]] std::size_t scheduler_timers() const { return scheduler_timers_.size(); }
  // Returns the time of the latest launch message for a task that was not already running.
  [[nodiscard]] Micros last_submitted_at() const { return last_submitted_at_; }

 private:
  // How an attempt, or the running task that it started, ended.
  struct AttemptOutcome {
    AttemptResult result = AttemptResult::kCompleted;
    bool request_closed = false;
    RejectionReason reason = RejectionReason::kUnspecified;
    LoadReport report{};
  };

  void UpdateNodes(Micros now, const NodeListEvent& change, NodeListKind kind);
  void OnNodeListed(const NodeEntry& entry, const std::string& address);

  void MoveToConnection(Request& request, ConnId conn, ClientHost host);
  SubmitResult Recover(Task task, const std::string& node_name, RequestUid uid, ConnId conn, ClientHost host);
  SubmitResult SubmitNew(Task task, const ClientMessage& message, ConnId conn, ClientHost host);
  void EndAttempt(Request& request, const AttemptOutcome& outcome);
  void RemoveRequest(Request& request);
  void SetTimer(Request& request, Micros at);
  void Answer(Request& request, ClientMessage message);
  void NotifyClient(const Request& request, ClientMessageKind kind, int cause);
  void Terminate(Request& request);

  void HandleNodeEvent(const NodeConnectionEvent& event);
  void OnUnknownTask(const NodeConnectionEvent& event);
  void EndLostTasks(NodeId node, Micros known_before, std::string_view reason);
  void OnStarted(Request& request, const NodeConnectionEvent& event);
  void OnEnded(Request& request, const NodeMessage& message);
  void OnProgress(const Request& request, const NodeMessage& message);
  void OnTimer(Request& request);
  void OnTerminationTimeout(Request& request);

  // Passes the pending events to the scheduler and carries out its actions. Returns at once if called while
  // it already runs, because the outer call handles the new events. Defined in dispatcher_actions.cpp, like
  // TraceTurn() and Execute().
  void RunScheduler();
  void TraceTurn(const Event& event, const std::vector<Action>& actions);
  void Execute(const StartAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const RejectTask& action);
  void Execute(const FailTask& action);
  void Execute(const MigrateTask& action);
  void Execute(const mountflow::SetTimer& action);
  void Execute(const LogLine& action);
  // These actions need no work: NodeConnections sends health checks itself, and the daemon always watches the
  // node list.
  void Execute(const StartHealthCheck&) {}
  void Execute(const WatchNodes&) {}
  void Execute(const ListNodes&) {}
  void AddLogRecord(logging::LogRecord record);

  settings::WireSettings wire_;
  NodeConnections* connections_;
  Scheduler scheduler_;
  Micros now_ = 0;
  Micros last_submitted_at_ = 0;
  RequestTable requests_;
  NodeDirectory nodes_;
  EndedTasks ended_tasks_;
  TimerQueue<RequestId> request_timers_;
  TimerQueue<std::uint64_t> scheduler_timers_;
  std::deque<Event> pending_events_;
  bool scheduler_runs_ = false;
  ClientNotifications notifications_;
  std::vector<logging::LogRecord> log_records_;
  std::function<bool(ConnId)> client_has_left_;
  std::function<void(Micros, const std::string&)> trace_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_DISPATCHER_HPP_
