// The events that the programs log. Each has a name that operators search for. The table in event_table.hpp
// contains its level, its fields, its meaning and the action for the engineer on call. Renaming an event
// affects everybody who searches the logs, so it must be mentioned in the changelog.
#ifndef MOUNTFLOW_LOGGING_LOG_EVENT_HPP_
#define MOUNTFLOW_LOGGING_LOG_EVENT_HPP_

#include <string_view>

namespace mountflow::logging {

// Log events, in the order of the event table. Each event has one level, wherever it is written.
enum class LogEvent {
  // ---- mountflowd: the program ----

  // Written once, when all ports are open, the state is restored and the daemon accepts requests.
  kStarted,
  // Written once, at the end of a graceful shutdown. `jobs` is the number of jobs without a running task.
  kStopped,

  // ---- mountflowd: jobs ----

  // A submission was accepted and has been assigned its number.
  kSubmitted,
  // A job has its final answer, which never changes.
  kAnswered,
  // A job has ended and is stored in the history.
  kComplete,
  // A user or the operator deleted a job. Its running task, if any, is being stopped.
  kDeleted,
  // Written at startup, when the jobs of the state directory are loaded.
  kRestored,

  // ---- mountflowd: attempts and running tasks ----

  // A node rejected an attempt before its task began. The scheduler may try another node.
  kAttemptRejected,
  // A cancelled attempt is no longer tracked, because too many such attempts wait for confirmation by their
  // nodes. Its task may still run.
  kAttemptAbandoned,
  // A running task is lost because its node was removed, restarted or does not know the task.
  kLost,
  // A running task that its node reported after a restart of the daemon is tracked again.
  kAdopted,
  // A node reports a task that cannot be adopted. The task continues to run there.
  kTaskNotAdopted,
  // The scheduler did not migrate a running task because its job may not be run again.
  kMigrationSkipped,

  // ---- mountflowd: nodes, the node list and the group of daemons ----

  // A node is no longer in the node list, or the list marks it as removed.
  kNodeRemoved,
  // A node of the node list is ignored, for the reason in the text.
  kNodeSkipped,
  // The registry cannot be read, or one of its entries is invalid.
  kNodeList,
  // Written at startup: the node list of the previous run was loaded from its file.
  kNodeListCacheLoaded,
  // Written at startup: there is no node list of a previous run, or its file cannot be used.
  kNodeListCacheNotLoaded,
  // The node list could not be written to its file.
  kNodeListCacheNotSaved,
  // The number of daemons in the group, or the index of this daemon in it, changed.
  kGroupChanged,
  // The group changed, and this daemon does not know its index in it at present. It sends nothing to nodes
  // that are warming up.
  kGroupIndexUnknown,
  // This daemon's registry entry cannot be written or renewed, or those of other daemons cannot be read.
  kGroupRegistry,
  // The keys for the registry expire soon or cannot be loaded.
  kTlsKeys,

  // ---- mountflowd: requests, durable state ----

  // A client sent a malformed request or one that it is not permitted to make.
  kRequestError,
  // Opening the state directory found and repaired the inconsistencies that a crash left.
  kStorageRecovery,
  // Commits to disk fail, or succeed again after a failure.
  kStorageCommit,
  // The resource usage of an attempt could not be added to the ledger.
  kUsageNotCounted,
  // A ledger record is inconsistent with the records applied before it.
  kUsageNotApplied,

  // ---- both programs ----

  // A message of the scheduler library itself.
  kScheduler,

  // ---- mountflowd --platform ----

  // Written once, when the port is open.
  kPlatformStarted,
  // The program closed the connection of a client.
  kClientConnectionClosed,
  // A launch request was rejected because it is malformed.
  kUnreadableRequest,
  // A notification about a task will not be delivered.
  kNotificationDropped,
  // The program closed the connection to a node.
  kNodeConnectionClosed,
  // Running tasks of a node count as lost.
  kNodeTasksLost,
  // A poll of the change log failed. It is retried after a short delay.
  kNodeListPollFailed,
  // After SIGHUP, the program follows the change log at the configured address, even if it is unchanged.
  kConfigReloaded,
  // After SIGHUP, the configuration is invalid and the previous one stays in effect.
  kConfigReloadFailed,
  // After SIGTERM or SIGINT, health checks fail, but requests are still answered.
  kShutdownStarted,
  // All pending requests are answered and the program exits.
  kShutdownFinished,
};

// The number of events.
inline constexpr unsigned kLogEventCount = static_cast<unsigned>(LogEvent::kShutdownFinished) + 1;

// Names of fields. The values of `text` and `reason` are prose for operators.
inline constexpr std::string_view kEventField = "event";
inline constexpr std::string_view kJobField = "job";          // job id as shown to clients: NUMBER.SERVER
inline constexpr std::string_view kAttemptField = "attempt";  // JOB/NUMBER
inline constexpr std::string_view kNodeField = "node";        // node name in the node list
inline constexpr std::string_view kTextField = "text";
inline constexpr std::string_view kReasonField = "reason";
inline constexpr std::string_view kAnswerField = "answer";  // the final answer as sent to clients
inline constexpr std::string_view kUserField = "user";
inline constexpr std::string_view kServerField = "server";  // the daemon's name
inline constexpr std::string_view kBatchPortField = "batch_port";
inline constexpr std::string_view kHttpPortField = "http_port";
inline constexpr std::string_view kJobsField = "jobs";
inline constexpr std::string_view kCompleteJobsField = "complete_jobs";
inline constexpr std::string_view kNodesField = "nodes";
inline constexpr std::string_view kTasksField = "tasks";
inline constexpr std::string_view kAgeField = "age_ms";
inline constexpr std::string_view kGroupSizeField = "group_size";
inline constexpr std::string_view kGroupIndexField = "group_index";  // -1: unknown
inline constexpr std::string_view kAddressField = "address";         // HOST:PORT
inline constexpr std::string_view kFileField = "file";
inline constexpr std::string_view kLastEventField = "last_event";  // number of the last event read

}  // namespace mountflow::logging

#endif  // MOUNTFLOW_LOGGING_LOG_EVENT_HPP_
