// The messages between the job manager and its caller. Plain data types.
//
// The caller carries out the outputs in order. The comment on each request to a node names the messages that
// answer it. Messages from nodes may arrive late, twice or never.
#ifndef MOUNTFLOW_JOB_MANAGER_MESSAGES_HPP_
#define MOUNTFLOW_JOB_MANAGER_MESSAGES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "job_manager/job.hpp"
#include "logging/log_record.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

// ---- Outputs to nodes ----

// Submits the job to the node, up to and including "ready to commit". Answered by AttemptPrepared,
// AttemptRejected or AttemptDisconnected.
struct PrepareAttempt {
  AttemptId attempt;
  NodeId node = 0;
};
// Commits a prepared attempt, so that the node starts it. Answered by AttemptCommitted, AttemptRejected or
// AttemptDisconnected.
struct CommitAttempt {
  AttemptId attempt;
  NodeId node = 0;
};
// Makes the node discard an attempt for which no commit was sent. Not answered.
struct AbandonAttempt {
  AttemptId attempt;
  NodeId node = 0;
};
// Stops an attempt. Answered by StopAnswered or StopFailed.
struct StopAttempt {
  AttemptId attempt;
  NodeId node = 0;
};
// Sends a signal to a running attempt. Not answered.
struct SignalAttempt {
  AttemptId attempt;
  NodeId node = 0;
  std::string signal;
};
// Queries whether the node has the attempt. If it does not, this process of the node never accepts it later.
// Answered by QueryAnswered or QueryFailed.
struct QueryAttempt {
  AttemptId attempt;
  NodeId node = 0;
};
// Requests the list of the attempts that the node holds. Answered by NodeReconciled or ReconcileFailed.
struct ReconcileNode {
  NodeId node = 0;
};
// Queries whether the node holds an attempt with this key of this user. Answered by FindKeyAnswered.
struct FindKey {
  NodeId node = 0;
  std::uint64_t job = 0;  // job of this daemon that the search is for
  std::string user;
  std::string key;
};
// Checks the health of a node. Answered by NodeHealthChecked.
struct CheckNodeHealth {
  NodeId node = 0;
};
// The node was removed. The caller may close its connections and discard all state of the node. Not answered.
struct ForgetNode {
  NodeId node = 0;
};

// ---- Other outputs ----

// The job has its final answer.
struct JobAnswered {
  std::uint64_t job = 0;
};
// The job is complete.
struct JobCompleted {
  std::uint64_t job = 0;
};
// Reads the node list, possibly again. Answered by a NodeListEvent.
struct ReadNodeList {
  bool follow = true;  // also watch the list from then on
};
// A log entry. `event` determines its level.
struct LogEntry {
  logging::LogEvent event = logging::LogEvent::kStarted;
  std::uint64_t job = 0;      // 0: none
  std::uint32_t attempt = 0;  // 0: none
  std::string node{};         // empty: none
  std::string text{};
  std::vector<logging::LogField> fields{};  // further fields of the event
};
// The capacity that an attempt of this daemon used at a node, whether or not the attempt was successful.
// `started` and `ended` are wall times by the node's clock.
struct ResourceUsage {
  AttemptId attempt;
  NodeId node = 0;
  unsigned task_class = 0;
  unsigned tenant = 0;
  double cores = 0.0;
  double memory = 0.0;
  Micros started = 0;
  Micros ended = 0;
};

using Output = std::variant<ResourceUsage, PrepareAttempt, CommitAttempt, AbandonAttempt, StopAttempt,
                            SignalAttempt, QueryAttempt, ReconcileNode, FindKey, CheckNodeHealth, ForgetNode,
                            JobAnswered, JobCompleted, ReadNodeList, LogEntry>;

// ---- Inputs from nodes ----

// The node has reserved capacity for the attempt and waits for the commit.
struct AttemptPrepared {
  AttemptId attempt;
};
// The node rejected the attempt, before or after the commit.
struct AttemptRejected {
  AttemptId attempt;
  RejectionReason cause = RejectionReason::kUnspecified;
  std::string reason;  // text from the node
  LoadReport report;
  bool error = false;  // the node answered with an error; the attempt may have run if it was committed
};
// The node has accepted the attempt.
struct AttemptCommitted {
  AttemptId attempt;
};
// The connection failed while the attempt was in flight.
struct AttemptDisconnected {
  AttemptId attempt;
  bool sent = false;  // the commit was sent before the failure
};
// The node's answer to StopAttempt.
struct StopAnswered {
  AttemptId attempt;
  bool known = false;  // the node has the attempt; AttemptFinished reports its end
  // When the process that answered was started, by the node's clock; no value: it did not say. Only the
  // process that got an attempt can show by "not known" that the attempt never ran.
  std::optional<Micros> process_started{};
};
// The node could not be reached, or did not answer StopAttempt.
struct StopFailed {
  AttemptId attempt;
};
// The node's answer to QueryAttempt.
struct QueryAnswered {
  AttemptId attempt;
  bool found = false;                       // the node has the attempt
  std::optional<Micros> process_started{};  // as in StopAnswered
};
// The node could not be reached, or did not answer QueryAttempt.
struct QueryFailed {
  AttemptId attempt;
};
// One entry of the list of attempts that a node reports.
struct ReportedAttempt {
  AttemptId attempt;
  JobSpec spec;
  bool ended = false;  // the attempt has ended; its AttemptFinished message follows
};
// The node's answer to ReconcileNode.
struct NodeReconciled {
  NodeId node = 0;
  Micros started = 0;  // when the node's current incarnation started; 0: it needs no warm-up
  std::vector<ReportedAttempt> held;
  std::optional<Micros> process_started{};  // as in StopAnswered
};
// The node could not be reached, or did not answer ReconcileNode.
struct ReconcileFailed {
  NodeId node = 0;
};
// The node's answer to FindKey, or the failure to get one.
struct FindKeyAnswered {
  NodeId node = 0;
  std::uint64_t job = 0;  // job of this daemon that the search is for
  bool reached = false;   // the node answered; false: no answer
  bool found = false;
  AttemptId attempt;   // attempt with the key, possibly of another daemon
  std::string server;  // name of the daemon that the attempt belongs to
  std::string key;
};
// Why an attempt ended.
enum class EndReason { kExited, kKilled, kEvicted, kPreempted, kDrained, kError, kLost };
// The node reports the end of an attempt that it had accepted.
struct AttemptFinished {
  AttemptId attempt;
  EndReason reason = EndReason::kExited;
  int exit_status = 0;
  std::string text;
  LoadReport report;
  Micros started = 0;  // wall time by the node's clock; 0: not known
  Micros ended = 0;
};
// The result of CheckNodeHealth.
struct NodeHealthChecked {
  NodeId node = 0;
  bool answered = false;
  Micros elapsed = 0;  // time until the answer, in microseconds
  LoadReport report;
};

using NodeMessage = std::variant<AttemptPrepared, AttemptRejected, AttemptCommitted, AttemptDisconnected,
                                 StopAnswered, StopFailed, QueryAnswered, QueryFailed, NodeReconciled,
                                 ReconcileFailed, FindKeyAnswered, AttemptFinished, NodeHealthChecked>;

// ---- The node list ----

// One node as the node list describes it.
struct ListedNode {
  std::string name;
  std::string address;  // host:port of its batch port
  std::string rack;
  std::string room;  // name of the node's zone; the node list calls this field "room"
  std::string kind;
  Micros started = 0;  // wall time of the node's start; 0: long ago
  NodeState state = NodeState::kReady;
  double free_cores = 0.0;
  double free_memory = 0.0;
};
// An event of the node list, as the registry client reports it, with the names and addresses of the nodes.
// The counterpart for the platform's protocol is platform::NodeListEvent. Both are converted to the
// scheduler's NodeListUpdate, which identifies nodes by number only.
struct NodeListEvent {
  NodeListKind kind = NodeListKind::kSnapshot;
  std::vector<ListedNode> nodes;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_MESSAGES_HPP_
