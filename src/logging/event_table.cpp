#include "logging/event_table.hpp"

#include <algorithm>

namespace mountflow::logging {
namespace {

constexpr EventTable kEvents = {{
    {LogEvent::kStarted,
     "started",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kServerField, kBatchPortField, kHttpPortField},
     "the daemon serves on these ports",
     "nothing"},
    {LogEvent::kStopped,
     "stopped",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobsField, kTextField},
     "end of a graceful shutdown; so many jobs were not placed, and the text says whether they are stored",
     "without storage: tell their users to submit again"},
    {LogEvent::kSubmitted,
     "submitted",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobField},
     "a submission was accepted",
     "nothing"},
    {LogEvent::kAnswered,
     "answered",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobField, kNodeField, kAnswerField, kTextField},
     "the job has its final answer; the text has the reason",
     "nothing; by reason see docs/operating.md, \"What is seen, what to do\""},
    {LogEvent::kComplete,
     "complete",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobField, kNodeField, kTextField},
     "the job has ended; the text has its comment",
     "nothing"},
    {LogEvent::kDeleted,
     "deleted",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobField, kUserField},
     "a user or the operator deleted the job",
     "nothing"},
    {LogEvent::kRestored,
     "restored",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobsField, kCompleteJobsField},
     "so many unfinished and complete jobs were loaded from the state directory",
     "nothing"},
    {LogEvent::kAttemptRejected,
     "attempt_rejected",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobField, kAttemptField, kNodeField, kTextField},
     "a node rejected an attempt, with its own reason",
     "many \"no cores\": the nodes are full, add some; \"too many offers wait\": a node hangs"},
    {LogEvent::kAttemptAbandoned,
     "attempt_abandoned",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kJobField, kAttemptField, kTextField},
     "more cancelled attempts wait for their nodes than `limits.unsettled`; the oldest is forgotten",
     "nodes do not answer: look at the network"},
    {LogEvent::kLost,
     "lost",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kJobField, kAttemptField, kNodeField, kTextField},
     "a running task is gone; the text says how",
     "with `node_removed` for many nodes: a rack or zone is down"},
    {LogEvent::kAdopted,
     "adopted",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kJobField, kAttemptField, kNodeField, kTextField},
     "a task was found running after a restart of this daemon",
     "nothing"},
    {LogEvent::kTaskNotAdopted,
     "task_not_adopted",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kAttemptField, kNodeField, kTextField},
     "a task of a queue that is no longer configured, or more tasks than `limits.jobs`",
     "stop it at the node"},
    {LogEvent::kMigrationSkipped,
     "migration_skipped",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kJobField, kNodeField, kTextField},
     "a running task should leave its node, and its job may not be run again",
     "nothing; before the node stops, tell the job's user"},
    {LogEvent::kNodeRemoved,
     "node_removed",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kNodeField},
     "the node list says that the node is gone, or has it no more",
     "if that is not planned, look at the node; it warms up when it is back"},
    {LogEvent::kNodeSkipped,
     "node_skipped",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kNodeField, kTextField},
     "the number made from its name is that of another node, or there are more nodes than `limits.nodes`",
     "rename one of the two; raise `limits.nodes`"},
    {LogEvent::kNodeList,
     "node_list",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "the node list cannot be read, or an entry cannot be used; the last list that was read stays in use",
     "mend the registry or the entry"},
    {LogEvent::kNodeListCacheLoaded,
     "node_list_cache_loaded",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kNodesField, kAgeField},
     "the node list of the last run was loaded from its file, for use until the registry answers",
     "nothing"},
    {LogEvent::kNodeListCacheNotLoaded,
     "node_list_cache_not_loaded",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "there is no node list of an earlier run, or its file cannot be used",
     "at a first start nothing; else look at the file"},
    {LogEvent::kNodeListCacheNotSaved,
     "node_list_cache_not_saved",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "the file of the node list cannot be written; after a restart the daemon knows older nodes or none",
     "look at the disk and at the permissions of the directory"},
    {LogEvent::kGroupChanged,
     "group_changed",
     LogProgram::kDaemon,
     LogLevel::kInfo,
     {kGroupSizeField, kGroupIndexField, kTextField},
     "the number of daemons, or the index of this one, changed",
     "nothing; nodes that warm up get nothing for some 15 s"},
    {LogEvent::kGroupIndexUnknown,
     "group_index_unknown",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kGroupSizeField, kGroupIndexField, kTextField},
     "this daemon does not know its index at present, and sends nothing to nodes that warm up",
     "if it lasts, mend the registry"},
    {LogEvent::kGroupRegistry,
     "group_registry",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "this daemon's entry in the registry cannot be written or renewed, or those of other daemons cannot be "
     "read",
     "mend the registry"},
    {LogEvent::kTlsKeys,
     "tls_keys",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "the keys for the registry expire soon or cannot be loaded; those loaded before stay in use",
     "renew the files; they are loaded without a restart"},
    {LogEvent::kRequestError,
     "request_error",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "a client sent malformed input or a wrong user; the text names the client",
     "look at that client"},
    {LogEvent::kStorageRecovery,
     "storage_recovery",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "opening the state directory found and mended what a crash left",
     "after a crash nothing; else look at the disk"},
    {LogEvent::kStorageCommit,
     "storage_commit",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "commits to disk fail, or work again",
     "look at the disk; see docs/storage.md"},
    {LogEvent::kUsageNotCounted,
     "usage_not_counted",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "the use of an attempt is not in the ledger; the text says why",
     "correct it in the ledger; see docs/billing.md"},
    {LogEvent::kUsageNotApplied,
     "usage_not_applied",
     LogProgram::kDaemon,
     LogLevel::kWarning,
     {kTextField},
     "a record of the ledger does not fit what is in its book",
     "report it as an error of this software"},
    {LogEvent::kScheduler,
     "scheduler",
     LogProgram::kBoth,
     LogLevel::kWarning,
     {kTextField},
     "a line of the scheduler: the first table of this page",
     "see there"},
    {LogEvent::kPlatformStarted,
     "platform_started",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kServerField, kAddressField},
     "the scheduler serves on this address",
     "nothing"},
    {LogEvent::kClientConnectionClosed,
     "client_connection_closed",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kReasonField},
     "what the client sent cannot be read, does not end, or uses an id in use",
     "tell the client"},
    {LogEvent::kUnreadableRequest,
     "unreadable_request",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kReasonField},
     "a launch request was rejected with cause 47, because it cannot be read",
     "tell the client"},
    {LogEvent::kNotificationDropped,
     "notification_dropped",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kReasonField},
     "over 4,096 wait for a connection of their client, or it did not connect in 8 s",
     "look at the clients"},
    {LogEvent::kNodeConnectionClosed,
     "node_connection_closed",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kAddressField, kReasonField},
     "the node sent what cannot be read, did not answer a health check, did not read an attempt that was "
     "cancelled meanwhile, has restarted, or another node has its address",
     "look at the node if it goes on"},
    {LogEvent::kNodeTasksLost,
     "node_tasks_lost",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kNodeField, kTasksField, kReasonField},
     "so many running tasks ended with the node's process; their clients are notified",
     "look at the node if it goes on"},
    {LogEvent::kNodeListPollFailed,
     "node_list_poll_failed",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kAddressField, kLastEventField, kReasonField},
     "the poll of the change log broke off, got no reply in time, or an event was missing; it is repeated",
     "nothing, unless it goes on"},
    {LogEvent::kConfigReloaded,
     "config_reloaded",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kAddressField},
     "SIGHUP; the change log at that address is followed from now on",
     "nothing"},
    {LogEvent::kConfigReloadFailed,
     "config_reload_failed",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {kFileField, kReasonField},
     "SIGHUP with a file that cannot be used; the configuration stays as it was",
     "mend the file, SIGHUP again"},
    {LogEvent::kShutdownStarted,
     "shutdown_started",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {},
     "SIGTERM or SIGINT: health checks fail from now on, and requests that come are still answered",
     "nothing"},
    {LogEvent::kShutdownFinished,
     "shutdown_finished",
     LogProgram::kPlatform,
     LogLevel::kInfo,
     {},
     "all that was due is answered; exit status 0",
     "nothing"},
}};

constexpr bool IsInOrder(const EventTable& events) {
  for (std::size_t i = 0; i < events.size(); ++i) {
    if (static_cast<std::size_t>(events[i].event) != i) return false;
  }
  return true;
}
static_assert(IsInOrder(kEvents), "the rows have the order of LogEvent");

std::string FieldsCell(const EventInfo& info) {
  std::string cell;
  for (const std::string_view field : info.fields) {
    if (field.empty()) break;
    if (!cell.empty()) cell += ", ";
    cell += '`';
    cell += field;
    cell += '`';
  }
  return cell.empty() ? "none" : cell;
}

}  // namespace

const EventTable& AllEvents() { return kEvents; }

const EventInfo& InfoOf(LogEvent event) { return kEvents.at(static_cast<std::size_t>(event)); }

std::string_view Name(LogEvent event) { return InfoOf(event).name; }

std::string_view Name(LogProgram program) {
  switch (program) {
    case LogProgram::kDaemon:
      return "mountflowd";
    case LogProgram::kPlatform:
      return "mountflowd --platform";
    case LogProgram::kBoth:
      break;
  }
  return "both";
}

std::string_view Name(LogLevel level) { return level == LogLevel::kInfo ? "info" : "warning"; }

bool HasField(LogEvent event, std::string_view field) {
  const auto& fields = InfoOf(event).fields;
  return !field.empty() && std::find(fields.begin(), fields.end(), field) != fields.end();
}

std::string EventTableMarkdown() {
  std::string table =
      "| event | program | level | fields | meaning | do |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const EventInfo& info : kEvents) {
    table += "| `" + std::string(info.name) + "` | " + std::string(Name(info.program)) + " | " +
             std::string(Name(info.level)) + " | " + FieldsCell(info) + " | " + std::string(info.meaning) +
             " | " + std::string(info.action) + " |\n";
  }
  return table;
}

}  // namespace mountflow::logging
