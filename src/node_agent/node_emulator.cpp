#include "node_agent/node_emulator.hpp"

#include <algorithm>
#include <limits>
#include <optional>

#include "node_agent/preemption.hpp"

namespace mountflow::node_agent {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

bool IsKillSignal(const std::string& signal) {
  return signal == "SIGKILL" || signal == "KILL" || signal == "9";
}

bool IsTerminationSignal(const std::string& signal) {
  return signal == "SIGTERM" || signal == "TERM" || signal == "15";
}

}  // namespace

NodeEmulator::NodeEmulator(NodeConfig config, std::shared_ptr<IdempotencyKeyStore> keys, Micros now,
                           Micros started)
    : config_(std::move(config)),
      keys_(keys ? std::move(keys) : std::make_shared<IdempotencyKeyStore>()),
      now_(now),
      started_(started),
      warm_up_(config_, started),
      admission_queue_(config_.admission_queue_size),
      capacity_(config_),
      programs_(config_.program_cache_size),
      use_sampler_(config_),
      tombstones_(config_.max_tombstones) {}

// Advances the node's time. The time never goes back, even if the caller's clock does.
void NodeEmulator::AdvanceTo(Micros now) { now_ = std::max(now_, now); }

Micros NodeEmulator::NextTimer() const { return timers_.empty() ? kNever : timers_.begin()->first; }

// ---- Admission ----

void NodeEmulator::Reject(const std::string& attempt, RejectionReason reason, std::string text) {
  outputs_.emplace_back(AttemptDecision{attempt, false, reason, std::move(text)});
}

void NodeEmulator::RequestAdmission(Micros now, TaskSpec spec) {
  AdvanceTo(now);
  const std::string attempt = spec.attempt;
  if (!failed_by_overload_) {
    if (const std::optional<OverloadFailure> failure = warm_up_.RecordAttempt(now_)) {
      failed_by_overload_ = true;
      outputs_.emplace_back(*failure);
    }
  }
  if (const auto [reason, text] = FindImmediateRejection(attempt); text != nullptr) {
    return Reject(attempt, reason, text);
  }
  Task task;
  task.spec = std::move(spec);
  task.sequence = ++last_sequence_;
  tasks_.emplace(attempt, std::move(task));
  admission_queue_.Add(attempt);
  AdmitNext();
}

std::pair<RejectionReason, const char*> NodeEmulator::FindImmediateRejection(
    const std::string& attempt) const {
  if (failed_by_overload_) return {RejectionReason::kNotAccepting, text::kFailedByOverload};
  if (draining_) return {RejectionReason::kNotAccepting, text::kDraining};
  if (tombstones_.Contains(attempt) || tasks_.count(attempt) > 0) {
    return {RejectionReason::kNotAccepting, text::kSeenBefore};
  }
  if (tasks_.size() >= config_.max_tasks) return {RejectionReason::kQueueFull, text::kTooManyTasks};
  if (admission_queue_.IsFull()) return {RejectionReason::kQueueFull, text::kAdmissionQueueFull};
  return {RejectionReason::kUnspecified, nullptr};
}

// Takes the next waiting attempt into decision, unless an attempt is in decision already.
void NodeEmulator::AdmitNext() {
  while (!admission_queue_.IsDeciding() && admission_queue_.TakeNext()) {
    const std::string attempt = admission_queue_.in_decision();
    const auto found = tasks_.find(attempt);
    if (found == tasks_.end() || found->second.state != State::kQueued) {
      admission_queue_.EndDecision();
      continue;
    }
    Task& task = found->second;
    task.state = State::kInDecision;
    task.state_ends_at = now_ + static_cast<Micros>(static_cast<double>(config_.admission_time) * slowdown_);
    Schedule(task.state_ends_at, attempt);
  }
}

void NodeEmulator::Decide(const std::string& attempt, Task* task) {
  admission_queue_.EndDecision();
  const TaskSpec spec = task->spec;
  if (!spec.idempotency_key.empty() && keys_->FindHolder(spec.idempotency_key) != nullptr) {
    Remove(attempt);
    Reject(attempt, RejectionReason::kNotAccepting, text::kKeyInUse);
  } else if (const auto shortage = capacity_.FindShortage(spec); !shortage || Preempt(spec)) {
    Accept(attempt, task);
  } else {
    std::string description = capacity_.DescribeShortage(*shortage, spec);
    Remove(attempt);
    Reject(attempt, *shortage, std::move(description));
  }
  AdmitNext();
}

void NodeEmulator::Accept(const std::string& attempt, Task* task) {
  task->state = State::kReserved;
  capacity_.Reserve(task->spec);
  if (!task->spec.idempotency_key.empty()) keys_->Acquire(task->spec.idempotency_key, attempt);
  outputs_.emplace_back(AttemptDecision{attempt, true, RejectionReason::kUnspecified, ""});
  // Without a timeout, a reservation that is never committed would hold its capacity forever.
  Schedule(std::max(task->spec.commit_deadline, now_) + 1, attempt);
}

// Ends tasks of lower priority so that the task fits. Returns whether it fits now.
bool NodeEmulator::Preempt(const TaskSpec& spec) {
  if (!config_.preempts) return false;
  std::vector<PreemptionCandidate> candidates;
  for (const auto& [attempt, task] : tasks_) {
    if (!task.IsCommitted() || task.is_stopping) continue;
    candidates.push_back({attempt, task.sequence, task.spec});
  }
  for (const std::string& attempt : SelectPreempted(std::move(candidates), spec, capacity_)) {
    EndTask(attempt, TaskEnd::kPreempted, kExitStatusPreempted, text::kPreempted);
  }
  return !capacity_.FindShortage(spec);
}

// ---- Commits and cancellations ----

bool NodeEmulator::Commit(Micros now, const std::string& attempt) {
  AdvanceTo(now);
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end() || found->second.state != State::kReserved) return false;
  Task& task = found->second;
  // A commit may have been buffered until after its client's deadline.
  const bool too_late = task.spec.commit_deadline != 0 && now_ > task.spec.commit_deadline;
  if (too_late || failed_by_overload_ || draining_) {
    RemoveForGood(attempt);
    return false;
  }
  task.state = State::kCommitted;
  start_queue_.push_back(attempt);
  if (!config_.acknowledges_when_running) outputs_.emplace_back(CommitAcknowledged{attempt});
  StartCommitted();
  return true;
}

void NodeEmulator::Abandon(Micros now, const std::string& attempt) {
  AdvanceTo(now);
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end() || found->second.IsCommitted()) return;
  Remove(attempt);
  AdmitNext();
}

bool NodeEmulator::Query(Micros now, const std::string& attempt) {
  AdvanceTo(now);
  const auto found = tasks_.find(attempt);
  if (found != tasks_.end() && found->second.IsCommitted()) return true;
  Abandon(now, attempt);
  tombstones_.AddTombstone(attempt);
  return false;
}

bool NodeEmulator::Stop(Micros now, const std::string& attempt) {
  AdvanceTo(now);
  tombstones_.AddTombstone(attempt);
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end()) return false;
  Task& task = found->second;
  if (!task.IsCommitted()) {
    Abandon(now, attempt);
    return false;
  }
  if (config_.executes_tasks && task.IsRunning()) {
    if (!task.is_stopping) outputs_.emplace_back(SignalTask{attempt, "SIGTERM"});
    task.is_stopping = true;
    return true;
  }
  EndTask(attempt, TaskEnd::kKilled, kExitStatusTerminated, text::kStopped);
  return true;
}

bool NodeEmulator::Signal(Micros now, const std::string& attempt, const std::string& signal) {
  AdvanceTo(now);
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end() || !found->second.IsRunning()) return false;
  if (config_.executes_tasks) {
    outputs_.emplace_back(SignalTask{attempt, signal});
  } else if (IsKillSignal(signal) || IsTerminationSignal(signal)) {
    const int status = IsKillSignal(signal) ? kExitStatusKilled : kExitStatusTerminated;
    EndTask(attempt, TaskEnd::kExited, status, text::kEndedBySignal + signal);
  }
  return true;
}

void NodeEmulator::SetDraining(Micros now, bool draining) {
  AdvanceTo(now);
  draining_ = draining;
  if (!draining) return;
  for (const std::string& attempt : admission_queue_.TakeWaiting()) {
    Remove(attempt);
    Reject(attempt, RejectionReason::kNotAccepting, text::kDraining);
  }
  if (!config_.drain_ends_tasks) return;
  for (const std::string& attempt : CommittedAttempts()) {
    EndTask(attempt, TaskEnd::kDrained, kExitStatusDrained, text::kDrained);
  }
}

// ---- Accessors ----

std::vector<std::string> NodeEmulator::CommittedAttempts() const {
  std::vector<std::string> attempts;
  for (const auto& [attempt, task] : tasks_) {
    if (task.IsCommitted()) attempts.push_back(attempt);
  }
  return attempts;
}

const TaskSpec* NodeEmulator::FindSpec(const std::string& attempt) const {
  const auto found = tasks_.find(attempt);
  return found == tasks_.end() ? nullptr : &found->second.spec;
}

const std::string* NodeEmulator::FindKeyHolder(const std::string& key) const {
  const std::string* holder = keys_->FindHolder(key);
  if (holder == nullptr) return nullptr;
  const auto found = tasks_.find(*holder);
  return found != tasks_.end() && found->second.IsCommitted() ? &found->first : nullptr;
}

LoadReport NodeEmulator::ReportLoad(Micros now) {
  AdvanceTo(now);
  const bool fresh = load_reported_at_ != 0 && now_ < load_reported_at_ + config_.load_report_period;
  if (fresh) return load_;
  load_reported_at_ = now_;
  double used_cores = 0.0;
  for (const auto& [attempt, task] : tasks_) {
    if (task.IsRunning()) used_cores += task.use.cores;
  }
  load_.free_cores = free_cores();
  load_.free_memory = free_memory();
  load_.queued = static_cast<double>(admission_queue_.size() + start_queue_.size() + starting_tasks_);
  load_.utilisation = std::min(1.0, used_cores / config_.cores);
  return load_;
}

}  // namespace mountflow::node_agent
