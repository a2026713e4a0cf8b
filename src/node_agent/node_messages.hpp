// The tasks that a node runs, and the messages that it emits.
#ifndef MOUNTFLOW_NODE_AGENT_NODE_MESSAGES_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_MESSAGES_HPP_

#include <cstddef>
#include <string>
#include <variant>

#include "mountflow/scheduler.hpp"

namespace mountflow::node_agent {

// Exit statuses of tasks that a signal ended: 256 plus the signal's number.
inline constexpr int kExitStatusSignalBase = 256;
inline constexpr int kExitStatusKilled = kExitStatusSignalBase + 9;       // SIGKILL
inline constexpr int kExitStatusTerminated = kExitStatusSignalBase + 15;  // SIGTERM
inline constexpr int kExitStatusPreempted = kExitStatusTerminated;
inline constexpr int kExitStatusEvicted = kExitStatusTerminated;
inline constexpr int kExitStatusDrained = kExitStatusTerminated;
inline constexpr int kExitStatusWalltimeExceeded = kExitStatusTerminated;

// Texts of rejections and task ends. They are sent to daemons and scripts match them, so they must not
// change.
namespace text {
inline constexpr char kFailedByOverload[] = "fallen over";
inline constexpr char kDraining[] = "draining";
inline constexpr char kSeenBefore[] = "given up or asked before";
inline constexpr char kTooManyTasks[] = "as many tasks as it holds";
inline constexpr char kAdmissionQueueFull[] = "too many offers wait";
inline constexpr char kKeyInUse[] = "a copy of this key stands in the rack";
inline constexpr char kNoCores[] = "no cores";
inline constexpr char kNoMemory[] = "no memory";
inline constexpr char kPreempted[] = "pushed out for a task of higher priority";
inline constexpr char kDrained[] = "sent away: the node drains";
inline constexpr char kEvicted[] = "evicted: the node ran out of memory";
inline constexpr char kStopped[] = "stopped";
inline constexpr char kWalltimeExceeded[] = "walltime exceeded";
inline constexpr char kEndedBySignal[] = "ended by signal ";  // followed by the signal's name
}  // namespace text

// The parameters of one attempt's task. Times are in microseconds, memory in units of the configuration.
struct TaskSpec {
  std::string attempt;  // unique name
  std::string service;
  std::string idempotency_key;  // empty: none
  double cores = 1.0, memory = 1.0;
  int priority = 0;
  Micros commit_deadline = 0;  // later commits are rejected; 0: no deadline
  Micros duration = 0;         // of an emulated task; 0: the node's default
  Micros walltime = 0;         // 0: unlimited
};

// The ways in which a task ends.
enum class TaskEnd { kExited, kKilled, kEvicted, kPreempted, kDrained };

// The node's decision on an attempt.
struct AttemptDecision {
  std::string attempt;
  bool accepted = false;
  RejectionReason reason = RejectionReason::kUnspecified;
  std::string text;
};
// The acknowledgement of a commit.
struct CommitAcknowledged {
  std::string attempt;
};
// A request to start the task's process now. Only for tasks that are real processes.
struct RunTask {
  std::string attempt;
};
// A request to send a signal to the task's process. Only for tasks that are real processes.
struct SignalTask {
  std::string attempt;
  std::string signal;
};
// A committed task has ended.
struct TaskEnded {
  std::string attempt;
  TaskEnd end = TaskEnd::kExited;
  int status = 0;
  std::string text;
};
// The node received more attempts than it can handle while warming up, and has failed.
struct OverloadFailure {
  std::size_t attempts = 0;   // received within the window
  double max_attempts = 0.0;  // allowed within the window
};
using NodeOutput =
    std::variant<AttemptDecision, CommitAcknowledged, RunTask, SignalTask, TaskEnded, OverloadFailure>;

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_MESSAGES_HPP_
