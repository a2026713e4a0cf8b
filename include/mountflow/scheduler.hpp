// The public interface of the decision library: settings and events in, actions out.
//
// The library decides which node runs which task. It keeps five rules:
//   1. Each task gets exactly one final answer, by its deadline.
//   2. No task takes effect twice.
//   3. A draining node gets no attempts.
//   4. A node that is warming up gets at most its slow-start budget.
//   5. Tasks of one service stay spread over the failure domains.
//
// A program creates one Scheduler, passes it each event in the order in which the events happened, and
// carries out the returned actions in order. Time is an argument of each call: the library reads no clock,
// starts no thread, does no I/O and has no global state. The same settings, seed and events always give the
// same actions.
//
// Thread safety: a Scheduler may be used by one thread at a time; different objects are independent.
// Errors: invalid events (for example an unknown request, or a node that is not listed) are ignored.
// Nothing throws.
#ifndef MOUNTFLOW_SCHEDULER_HPP_
#define MOUNTFLOW_SCHEDULER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mountflow {

// A point in time or a duration, in microseconds. The caller chooses the epoch and must not change it.
using Micros = std::uint64_t;
// Identifies a launch request. Chosen by the caller, and never reused while the Scheduler exists.
using RequestId = std::uint32_t;
// Identifies a node. Chosen by the caller, and stable for as long as the node is listed.
using NodeId = std::uint32_t;

// ---- Settings ----

// States whether it is safe to run a task twice.
enum class Idempotency {
  kIdempotent,    // safe
  kWithKey,       // safe within the deduplication scope, whose nodes recognise the task's key
  kNotIdempotent  // not safe: the task must never run twice
};

// The set of nodes that share one record of the deduplication keys already seen.
enum class DeduplicationScope { kAll, kZone, kRack };

// The kind of failure domain that the tasks of one service are spread over.
enum class TopologySpread { kNone, kNode, kRack, kZone };

// Properties shared by all tasks of one class. A setting that is absent has its strictest value as default.
struct TaskClass {
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kRack;
  Micros deduplication_window = 0;   // how long nodes remember a key
  Micros start_target = 0;           // a first start within this time has its full value
  double value_per_second = 1.0;     // value of one second of service of a task of mean size
  double start_value_seconds = 0.0;  // value of a start within start_target, in seconds of service
  double late_value = 0.0;           // fraction of that value that a later start has
  TopologySpread topology_spread = TopologySpread::kNone;
  int max_per_domain = 0;                 // maximum tasks of one service in one failure domain; 0: unlimited
  int node_kind = -1;                     // required kind, as an index in Settings::node_kinds; -1: any
  int priority = 0;                       // higher is more important
  double full_service_utilisation = 1.0;  // CPU utilisation up to which the class is served in full
};

// The size of all nodes of one kind.
struct NodeKind {
  double cores = 1.0;
  double memory = 1.0;  // in the deployment's unit of memory
};

// Configuration of a deployment, fixed for the lifetime of a Scheduler. A setting that is absent has its
// neutral value as default. The scheduler does not optimise the prices and values; the one that it reads at
// all is cross_zone_price.
struct Settings {
  std::vector<TaskClass> classes;
  std::vector<NodeKind> node_kinds;
  int group_size = 0;   // number of schedulers that share the nodes; 0: unknown
  int self_index = -1;  // index of this scheduler in that group, from 0; -1: unknown
  int own_zone = 0;
  bool list_on_request = false;         // node lists arrive only after WatchNodes
  bool list_has_free_capacity = false;  // node list entries contain free cores and memory
  bool started_means_running = true;    // TaskStarted means that the task runs, not only that it was accepted
  bool reports_requested_capacity = false;  // free capacity in load reports counts requests, not actual use
  bool may_check_health = false;
  bool may_cancel = false;
  bool may_duplicate_attempts = false;
  bool nodes_preempt = false;      // nodes preempt tasks of lower priority for those of higher priority
  unsigned max_attempts = 1;       // maximum attempts per request
  double mean_cores = 1.0;         // mean cores that a task requests
  double mean_memory = 1.0;        // mean memory that a task requests
  double overcommit_cores = 1.0;   // a node accepts requests for up to this multiple of its cores
  double overcommit_memory = 1.0;  // a node accepts requests for up to this multiple of its memory
  Micros client_wait = 0;          // how long clients wait before a retry where an attempt may have run
  Micros answer_slack = 0;         // tolerance for a final answer after its deadline
  Micros ask_within = 0;
  Micros drain_grace_period = 0;
  double slow_start_initial_pace = 1.0;  // fraction of its full pace at which a new node begins
  Micros slow_start_duration = 0;        // time after its start at which a node has warmed up
  double overload_multiple = 1.0;        // a warming node fails above this multiple of what it can start
  Micros slow_start_window = 0;          // length of the sliding window of slow_start_budget
  double slow_start_budget = 0.0;        // attempts per window that every warming node can handle
  double rejection_price = 0.0;
  double cross_zone_price = 0.0;
  double migration_price = 0.0;
  double eviction_weight = 1.0;
  double health_check_price = 0.0;
};

// ---- Events ----

enum class NodeState { kGone, kReady, kDraining };

// One node as the node list describes it.
struct NodeEntry {
  NodeId node = 0;
  unsigned rack = 0;
  unsigned zone = 0;
  unsigned kind = 0;      // index in Settings::node_kinds
  Micros started_at = 0;  // start of this incarnation; 0: long ago
  NodeState state = NodeState::kReady;
  double free_cores = 0.0;   // cores that no task requested when the list was made
  double free_memory = 0.0;  // the same for memory
};

// The load of a node as the node itself reports it. Fields that it does not report are empty.
struct LoadReport {
  std::optional<double> free_cores;
  std::optional<double> free_memory;
  std::optional<double> queued;
  std::optional<double> utilisation;  // fraction of its cores in use, 0 to 1
};

enum class NodeListKind {
  kDelta,       // only entries that changed
  kSnapshot,    // the complete list
  kCached,      // the complete list from a cache, of unknown age
  kUnavailable  // reading the list failed
};
// The node list, or the changed part of it. Nodes are identified by id: the caller maps ids to names and
// addresses.
struct NodeListUpdate {
  NodeListKind kind = NodeListKind::kDelta;
  std::vector<NodeEntry> nodes;
};

// The task of one launch request.
struct Task {
  RequestId request = 0;
  unsigned task_class = 0;  // index in Settings::classes
  unsigned tenant = 0;
  Micros deadline = 0;        // time by which the final answer is due
  std::uint64_t key = 0;      // deduplication key
  std::uint64_t service = 0;  // the service that the task belongs to
  double cores = 0.0;
  double memory = 0.0;
};
// A client submitted a launch request.
struct TaskSubmitted {
  Task task;
};
// A task that is already running on `node`; this scheduler manages it from now on.
struct TaskRecovered {
  Task task;
  NodeId node = 0;
};
// The node accepted or started the task, depending on Settings::started_means_running.
struct TaskStarted {
  RequestId request = 0;
  unsigned attempt = 0;
  NodeId node = 0;
  Micros elapsed = 0;
};
enum class ProgressKind { kRunning = 1, kCoresUsed = 2, kMemoryUsed = 3, kServed = 4, kPressure = 5 };
// A running or accepted task reported progress.
struct TaskProgress {
  RequestId request = 0;
  unsigned attempt = 0;
  NodeId node = 0;
  ProgressKind kind = ProgressKind::kRunning;
  double value = 0.0;
};
enum class AttemptResult {
  kCompleted,    // the task ran to its end
  kError,        // the node returned an error; the task may have run
  kRejected,     // the node rejected the attempt; the task never ran
  kTimedOut,     // the node did not reply; the task may have run
  kUnreachable,  // the node could not be reached; the task never ran
  kLost,         // the task was evicted, preempted or drained, or its node failed
  kCancelled,    // the attempt was cancelled; the task may have run even without a TaskStarted
  kNotSent       // the attempt was never sent; the task never ran
};
// The reason why a node rejected or ended an attempt. The values are those of the simulator's protocol.
enum class RejectionReason {
  kUnspecified = 0,
  kNoCores = 1,
  kNoMemory = 2,
  kQueueFull = 3,
  kNotAccepting = 4,
  kEvicted = 5,
  kPreempted = 6,
  kDrained = 7
};
// An attempt ended. The caller sends exactly one for each StartAttempt.
struct AttemptEnded {
  RequestId request = 0;
  unsigned attempt = 0;
  NodeId node = 0;
  Micros elapsed = 0;
  bool request_closed = false;  // the request already has its final answer, or this event is it
  AttemptResult result = AttemptResult::kCompleted;
  RejectionReason reason = RejectionReason::kUnspecified;
  LoadReport report;
};
// The client no longer wants the task.
struct TaskCancelled {
  RequestId request = 0;
};
// The timer of a SetTimer action fired.
struct TimerFired {
  std::uint64_t token = 0;  // token of that SetTimer
};
// The result of a StartHealthCheck action.
struct HealthCheckResult {
  NodeId node = 0;
  bool answered = false;
  Micros elapsed = 0;
  LoadReport report;
};
// The current size of the group of schedulers that share the nodes, and the index of this scheduler in it. An
// index outside 0 to size - 1 means that the membership is uncertain. Settings::group_size and self_index
// apply until the first of these events.
struct MembershipChange {
  int size = 0;
  int index = -1;
  Micros valid_until = ~Micros{0};  // certain until this time, unless another event arrives first
  bool undisturbed = false;         // no member joined or left since the membership was last certain
};
using Event = std::variant<NodeListUpdate, TaskSubmitted, TaskRecovered, TaskStarted, TaskProgress,
                           AttemptEnded, TaskCancelled, TimerFired, HealthCheckResult, MembershipChange>;

// ---- Actions ----

// Sends the task to `node`. The attempts of a request are numbered from 0 in the order of these actions.
struct StartAttempt {
  RequestId request = 0;
  unsigned attempt = 0;
  NodeId node = 0;
  Micros deadline = 0;  // time at which the caller must end the attempt as timed out
};
// Asks the node to cancel an attempt in flight. An AttemptEnded must still follow.
struct CancelAttempt {
  RequestId request = 0;
  unsigned attempt = 0;
};
// Final answer of a request that the client may safely retry.
struct RejectTask {
  RequestId request = 0;
  Micros retry_after = 0;  // how long the client should wait; 0: not specified
};
// Final answer of a request whose task may have run.
struct FailTask {
  RequestId request = 0;
};
// Stops a running task, so that its client submits it again.
struct MigrateTask {
  RequestId request = 0;
};
// Requests a TimerFired with `token` at time `at`.
struct SetTimer {
  Micros at = 0;
  std::uint64_t token = 0;
};
// Requests a health check of the node; its result arrives as a HealthCheckResult.
struct StartHealthCheck {
  NodeId node = 0;
};
struct WatchNodes {};  // subscribes to changes of the node list
struct ListNodes {};   // reads the complete node list once
// Writes one line to the caller's log.
struct LogLine {
  std::string text;
};
using Action = std::variant<StartAttempt, CancelAttempt, RejectTask, FailTask, MigrateTask, SetTimer,
                            StartHealthCheck, WatchNodes, ListNodes, LogLine>;

// Decides which node runs each task, as one of a group of schedulers that share the nodes.
class Scheduler {
 public:
  // All random draws are derived from `seed`.
  Scheduler(const Settings& settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Processes one event that happened at `now`, and appends the actions that the caller must carry out to
  // `actions`, which must not be null. `now` should not decrease between calls; if it does, the latest time
  // so far is used instead.
  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_HPP_
