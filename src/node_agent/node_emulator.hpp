// A node that decides on attempts, and starts, runs and ends their tasks. It does no I/O and reads no clock:
// the caller passes the current time, calls Tick() when NextTimer() is due, and carries out the outputs
// returned by TakeOutputs(). Tasks are either emulated, and end by themselves, or real processes, which the
// caller runs.
//
// States of an attempt and their transitions:
//   - kQueued to kInDecision: one attempt at a time is in decision.
//   - kInDecision to kReserved: the task fits, possibly after preemption. Otherwise it is rejected.
//   - kReserved to kCommitted: by Commit(), at the commit deadline at the latest.
//   - kCommitted to kStarting: at most NodeConfig::max_concurrent_starts tasks start at a time.
//   - kStarting to kRunning: after the start time.
//   - any state to removed: the end is reported if the attempt was committed.
//
// An attempt has a tombstone, and can never be accepted, if it ended, was stopped, or was queried before it
// was committed.
//
// Not thread-safe.
#ifndef MOUNTFLOW_NODE_AGENT_NODE_EMULATOR_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_EMULATOR_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "node_agent/admission_queue.hpp"
#include "node_agent/idempotency_key_store.hpp"
#include "node_agent/node_capacity.hpp"
#include "node_agent/node_config.hpp"
#include "node_agent/node_messages.hpp"
#include "node_agent/program_cache.hpp"
#include "node_agent/resource_use.hpp"
#include "node_agent/tombstones.hpp"
#include "node_agent/warm_up.hpp"

namespace mountflow::node_agent {

// Decides on attempts and runs the tasks of one node, without I/O.
class NodeEmulator {
 public:
  // `keys` is the store of the node's rack; if null, the node uses a store of its own. If `started` is 0, the
  // node is warm from the beginning.
  NodeEmulator(NodeConfig config, std::shared_ptr<IdempotencyKeyStore> keys, Micros now, Micros started);

  // Requests a decision on an attempt. Exactly one AttemptDecision follows, unless the attempt is abandoned
  // or stopped first.
  void RequestAdmission(Micros now, TaskSpec spec);
  // Commits a reserved attempt. Returns true if it is committed; CommitAcknowledged follows, now or later.
  // Returns false if the attempt has no reservation, if its commit deadline has passed, or if the node drains
  // or failed.
  [[nodiscard]] bool Commit(Micros now, const std::string& attempt);
  // Removes an attempt whose client disconnected. Does nothing if the attempt is committed.
  void Abandon(Micros now, const std::string& attempt);
  // Stops an attempt, which can never be accepted afterwards. Returns true if it was committed; TaskEnded
  // follows then.
  bool Stop(Micros now, const std::string& attempt);
  // Sends a signal to a task. Returns false if the task is not running.
  [[nodiscard]] bool Signal(Micros now, const std::string& attempt, const std::string& signal);
  // Reports whether the attempt is committed and has not ended. If it returns false, the attempt can never be
  // accepted afterwards.
  [[nodiscard]] bool Query(Micros now, const std::string& attempt);
  // Starts or stops draining. A draining node rejects new and waiting attempts and, if
  // NodeConfig::drain_ends_tasks is set, ends its committed tasks.
  void SetDraining(Micros now, bool draining);
  // Makes decisions and starts take `factor` times as long.
  void SetSlowdown(double factor) { slowdown_ = factor; }
  // Handles the exit of a task's process. Only for tasks that are real processes.
  void HandleExit(Micros now, const std::string& attempt, int status);
  // Handles all timers that are due at `now`.
  void Tick(Micros now);
  // Returns when Tick() is due; the maximum value if no timer is set.
  [[nodiscard]] Micros NextTimer() const;
  // Takes and clears the outputs, in order.
  [[nodiscard]] std::vector<NodeOutput> TakeOutputs() { return std::exchange(outputs_, {}); }

  [[nodiscard]] std::vector<std::string> CommittedAttempts() const;  // ordered by name
  // Returns the task of an attempt, or null if the node does not have it. The pointer is valid until the next
  // call that changes the node.
  [[nodiscard]] const TaskSpec* FindSpec(const std::string& attempt) const;
  // Returns the committed attempt on this node that holds the key, or null.
  [[nodiscard]] const std::string* FindKeyHolder(const std::string& key) const;
  // Returns a load report that is at most NodeConfig::load_report_period old.
  [[nodiscard]] LoadReport ReportLoad(Micros now);
  [[nodiscard]] double free_cores() const { return capacity_.free_cores(); }
  [[nodiscard]] double free_memory() const { return capacity_.free_memory(); }
  [[nodiscard]] Micros started() const { return started_; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] bool failed_by_overload() const { return failed_by_overload_; }
  [[nodiscard]] std::size_t running_tasks() const { return programs_.running_tasks(); }
  [[nodiscard]] const NodeConfig& config() const { return config_; }

 private:
  enum class State { kQueued, kInDecision, kReserved, kCommitted, kStarting, kRunning };
  struct Task {
    TaskSpec spec;
    State state = State::kQueued;
    bool is_stopping = false;  // a signal was sent to its process
    Micros running_since = 0;
    Micros state_ends_at = 0;    // end of the decision or start in progress
    Micros ends_at = 0;          // end of a running task; 0: when its process exits
    ResourceUse use;             // set once it runs
    std::uint64_t sequence = 0;  // increases with each attempt

    [[nodiscard]] bool IsCommitted() const { return state >= State::kCommitted; }
    [[nodiscard]] bool IsRunning() const { return state == State::kRunning; }
  };
  using Tasks = std::map<std::string, Task>;

  void AdvanceTo(Micros now);
  void Reject(const std::string& attempt, RejectionReason reason, std::string text);
  // Returns the reason and text of an immediate rejection. The text is null if the attempt is not rejected
  // immediately.
  [[nodiscard]] std::pair<RejectionReason, const char*> FindImmediateRejection(
      const std::string& attempt) const;
  void AdmitNext();
  void Decide(const std::string& attempt, Task* task);
  void Accept(const std::string& attempt, Task* task);
  bool Preempt(const TaskSpec& spec);
  void StartCommitted();
  void RunStarted(const std::string& attempt);
  void EndDueTask(const std::string& attempt, Task* task);
  void EndTask(const std::string& attempt, TaskEnd end, int status, const std::string& text);
  void Remove(const std::string& attempt);
  void RemoveForGood(const std::string& attempt);
  void HandleTimer(Micros due_at, const std::string& attempt);
  void CheckMemory();
  void EvictTasks();
  void ScheduleMemoryCheck();
  void Schedule(Micros when, const std::string& attempt) { timers_.emplace(when, attempt); }

  const NodeConfig config_;
  const std::shared_ptr<IdempotencyKeyStore> keys_;
  Micros now_;
  const Micros started_;
  bool draining_ = false;
  bool failed_by_overload_ = false;
  double slowdown_ = 1.0;
  WarmUp warm_up_;
  AdmissionQueue admission_queue_;
  NodeCapacity capacity_;
  ProgramCache programs_;
  ResourceUseSampler use_sampler_;
  Tombstones tombstones_;
  Tasks tasks_;
  std::uint64_t last_sequence_ = 0;
  std::deque<std::string> start_queue_;  // committed attempts; some may have ended since
  unsigned starting_tasks_ = 0;
  // Timers, ordered by time and then by insertion. A timer is not removed when its task ends or changes
  // state; it fires without effect. An empty name denotes the memory check.
  std::multimap<Micros, std::string> timers_;
  bool memory_check_scheduled_ = false;
  LoadReport load_;
  Micros load_reported_at_ = 0;  // 0: never
  std::vector<NodeOutput> outputs_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_EMULATOR_HPP_
