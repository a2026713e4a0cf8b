// What the core and its shell say to each other: values only.
#ifndef MOUNTFLOW_JOB_MANAGER_MESSAGES_HPP_
#define MOUNTFLOW_JOB_MANAGER_MESSAGES_HPP_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "job_manager/job.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

// An attempt's name is JOBNUMBER.SERVER/ATTEMPT; unique over restarts.
struct AttemptId {
  std::uint64_t job = 0;
  std::uint32_t number = 0;
  bool operator==(const AttemptId&) const = default;
};

// ---- Out: to nodes ----

struct PrepareAttempt {  // submit the job up to and including "ready to commit"
  AttemptId attempt;
  NodeId node = 0;
};
struct CommitAttempt {
  AttemptId attempt;
  NodeId node = 0;
};
struct AbandonAttempt {  // before any commit; the node forgets it, no reply comes
  AttemptId attempt;
  NodeId node = 0;
};
struct StopAttempt {  // answered by Stopped, or by Unreachable with `stopping`
  AttemptId attempt;
  NodeId node = 0;
};
struct SignalAttempt {  // no answer comes back to the core
  AttemptId attempt;
  NodeId node = 0;
  std::string signal;
};
struct QueryAttempt {  // answered by Found; an attempt that is not found can never be accepted later
  AttemptId attempt;
  NodeId node = 0;
};
struct ReconcileNode {  // answered by Synced
  NodeId node = 0;
};
struct FindKey {  // answered by KeyFound from this node
  NodeId node = 0;
  std::uint64_t job = 0;  // who asks
  std::string key;
};
struct CheckNodeHealth {
  NodeId node = 0;
};

struct ForgetNode {  // gone for good: connections and all else about it may go
  NodeId node = 0;
};

// ---- Out: others ----

struct JobAnswered {  // the job's one answer is there
  std::uint64_t job = 0;
};
struct JobCompleted {  // the job is complete
  std::uint64_t job = 0;
};
struct ReadNodeList {  // (re)read the node list; answered by a view or ListFailed
  bool follow = true;
};
enum class LogLevel { kInfo, kWarn };
struct LogEntry {
  LogLevel level = LogLevel::kInfo;
  std::string event;
  std::uint64_t job = 0;      // 0: none
  std::uint32_t attempt = 0;  // 0: none
  std::string node;           // empty: none
  std::string text;
};

struct ResourceUsage {  // an attempt of ours held room at a node, whatever became of it
  AttemptId attempt;
  NodeId node = 0;
  unsigned task_class = 0, tenant = 0;
  double cores = 0.0, memory = 0.0;
  Micros started = 0, ended = 0;
};

using Output = std::variant<ResourceUsage, PrepareAttempt, CommitAttempt, AbandonAttempt, StopAttempt,
                            SignalAttempt, QueryAttempt, ReconcileNode, FindKey, CheckNodeHealth, ForgetNode,
                            JobAnswered, JobCompleted, ReadNodeList, LogEntry>;

// ---- In: from nodes ----

struct AttemptPrepared {  // the node holds room and waits for the commit
  AttemptId attempt;
};
struct AttemptRejected {
  AttemptId attempt;
  RejectionReason cause = RejectionReason::kUnspecified;
  std::string reason;  // the node's own words
  LoadReport report;
  bool error = false;  // it answered the commit with an error: it may have run
};
struct AttemptCommitted {
  AttemptId attempt;
};
// The way to the node failed while the attempt was out. `sent`: the commit went out before.
struct AttemptDisconnected {
  AttemptId attempt;
  bool sent = false;
};
struct StopAnswered {
  AttemptId attempt;
  bool known = false;  // the node had it; its end is reported by AttemptEnded
};
struct StopFailed {
  AttemptId attempt;
};
struct QueryAnswered {
  AttemptId attempt;
  bool found = false;
};
struct QueryFailed {
  AttemptId attempt;
};
struct ReportedAttempt {  // one entry of a node's own list
  AttemptId attempt;
  JobSpec spec;
  bool ended = false;  // its end is on the way
};
struct NodeReconciled {
  NodeId node = 0;
  Micros started = 0;  // the node's start
  std::vector<ReportedAttempt> held;
};
struct ReconcileFailed {
  NodeId node = 0;
};
struct FindKeyAnswered {
  NodeId node = 0;
  std::uint64_t job = 0;  // who asked
  bool reached = false;   // the node answered
  bool found = false;
  AttemptId attempt;   // where it runs: possibly another daemon's
  std::string server;  // that daemon's name
  std::string key;
};
enum class EndReason { kExited, kKilled, kEvicted, kPreempted, kDrained, kError, kLost };
struct AttemptFinished {
  AttemptId attempt;
  EndReason reason = EndReason::kExited;
  int exit_status = 0;
  std::string text;
  LoadReport report;
  Micros started = 0, ended = 0;  // wall time by the node's clock; 0: not told
};
struct NodeHealthChecked {
  NodeId node = 0;
  bool answered = false;
  Micros elapsed = 0;
  LoadReport report;
};

using NodeMessage = std::variant<AttemptPrepared, AttemptRejected, AttemptCommitted, AttemptDisconnected,
                                 StopAnswered, StopFailed, QueryAnswered, QueryFailed, NodeReconciled,
                                 ReconcileFailed, FindKeyAnswered, AttemptFinished, NodeHealthChecked>;

// ---- In: the node list ----

struct ListedNode {
  std::string name;
  std::string address;  // host:port of its batch port
  std::string rack;
  std::string room;
  std::string kind;
  Micros started = 0;  // wall time; 0: long ago
  NodeState state = NodeState::kReady;
  double free_cores = 0.0;
  double free_memory = 0.0;
};
struct NodeListView {
  NodeListKind kind = NodeListKind::kSnapshot;
  std::vector<ListedNode> nodes;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_MESSAGES_HPP_
