// The part of NodeEmulator that starts, runs and ends tasks.
#include <algorithm>

#include "node_agent/node_emulator.hpp"

namespace mountflow::node_agent {
namespace {

constexpr Micros kMemoryCheckInterval = 250'000;
constexpr char kMemoryCheck[] = "";  // timer name; no attempt has an empty name

}  // namespace

// ---- Starts and ends of tasks ----

void NodeEmulator::StartCommitted() {
  while (starting_tasks_ < config_.max_concurrent_starts && !start_queue_.empty()) {
    const std::string attempt = start_queue_.front();
    start_queue_.pop_front();
    const auto found = tasks_.find(attempt);
    if (found == tasks_.end() || found->second.state != State::kCommitted) continue;
    Task& task = found->second;
    const double factor =
        programs_.Contains(task.spec.service) ? 1.0 : std::max(1.0, config_.uncached_start_factor);
    const double start_time = static_cast<double>(config_.start_time) * factor;
    task.state = State::kStarting;
    ++starting_tasks_;
    task.state_ends_at = now_ + static_cast<Micros>(start_time * slowdown_ / warm_up_.Pace(now_));
    Schedule(task.state_ends_at, attempt);
  }
}

void NodeEmulator::RunStarted(const std::string& attempt) {
  Task& task = tasks_.at(attempt);
  --starting_tasks_;
  task.state = State::kRunning;
  task.running_since = now_;
  programs_.AddRunningTask(task.spec.service);
  task.use = use_sampler_.Draw(task.spec);
  if (config_.acknowledges_when_running) outputs_.emplace_back(CommitAcknowledged{attempt});
  if (config_.executes_tasks) {
    outputs_.emplace_back(RunTask{attempt});
  } else {
    task.ends_at = now_ + (task.spec.duration != 0 ? task.spec.duration : config_.task_duration);
  }
  if (task.spec.walltime != 0) {
    const Micros walltime_ends_at = now_ + task.spec.walltime;
    task.ends_at = task.ends_at == 0 ? walltime_ends_at : std::min(task.ends_at, walltime_ends_at);
  }
  if (task.ends_at != 0) Schedule(task.ends_at, attempt);
  ScheduleMemoryCheck();
}

// Ends a running task whose duration or walltime has passed. A real process receives SIGTERM.
void NodeEmulator::EndDueTask(const std::string& attempt, Task* task) {
  if (config_.executes_tasks) {
    task->ends_at = 0;
    outputs_.emplace_back(SignalTask{attempt, "SIGTERM"});
    return;
  }
  const Micros walltime = task->spec.walltime;
  if (walltime != 0 && now_ >= task->running_since + walltime) {
    EndTask(attempt, TaskEnd::kExited, kExitStatusWalltimeExceeded, text::kWalltimeExceeded);
  } else {
    EndTask(attempt, TaskEnd::kExited, 0, "");
  }
}

void NodeEmulator::EndTask(const std::string& attempt, TaskEnd end, int status, const std::string& text) {
  const Task& task = tasks_.at(attempt);
  if (config_.executes_tasks && task.IsRunning() && end != TaskEnd::kExited) {
    outputs_.emplace_back(SignalTask{attempt, "SIGKILL"});
  }
  // If commits are acknowledged at the start, the client may still be waiting for the acknowledgement. It
  // receives it first, because the task was accepted before it ended.
  if (config_.acknowledges_when_running && !task.IsRunning()) {
    outputs_.emplace_back(CommitAcknowledged{attempt});
  }
  RemoveForGood(attempt);
  outputs_.emplace_back(TaskEnded{attempt, end, status, text});
  StartCommitted();
}

void NodeEmulator::HandleExit(Micros now, const std::string& attempt, int status) {
  AdvanceTo(now);
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end()) return;
  EndTask(attempt, found->second.is_stopping ? TaskEnd::kKilled : TaskEnd::kExited, status, "");
}

// Removes the attempt from all tables and releases its resources. Emits no output.
void NodeEmulator::Remove(const std::string& attempt) {
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end()) return;
  const Task& task = found->second;
  if (task.state >= State::kReserved) {
    capacity_.Release(task.spec);
    if (!task.spec.idempotency_key.empty()) keys_->Release(task.spec.idempotency_key, attempt);
  }
  if (task.state == State::kStarting) --starting_tasks_;
  if (task.IsRunning()) programs_.RemoveRunningTask(task.spec.service);
  admission_queue_.EndDecisionOn(attempt);
  tasks_.erase(found);
  if (tasks_.empty()) capacity_.Reset();
}

void NodeEmulator::RemoveForGood(const std::string& attempt) {
  Remove(attempt);
  tombstones_.AddTombstone(attempt);
}

// ---- Timers ----

void NodeEmulator::Tick(Micros now) {
  AdvanceTo(now);
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const auto [due_at, attempt] = *timers_.begin();
    timers_.erase(timers_.begin());
    if (attempt == kMemoryCheck) {
      CheckMemory();
    } else {
      HandleTimer(due_at, attempt);
    }
  }
}

void NodeEmulator::HandleTimer(Micros due_at, const std::string& attempt) {
  const auto found = tasks_.find(attempt);
  if (found == tasks_.end()) return;
  Task& task = found->second;
  switch (task.state) {
    case State::kQueued:
    case State::kCommitted:
      return;
    case State::kInDecision:
      if (due_at == task.state_ends_at) Decide(attempt, &task);
      return;
    case State::kReserved:
      if (task.spec.commit_deadline != 0 && now_ > task.spec.commit_deadline) RemoveForGood(attempt);
      return;
    case State::kStarting:
      if (due_at != task.state_ends_at) return;
      RunStarted(attempt);
      StartCommitted();
      return;
    case State::kRunning:
      if (task.ends_at != 0 && now_ >= task.ends_at) EndDueTask(attempt, &task);
      return;
  }
}

void NodeEmulator::ScheduleMemoryCheck() {
  if (memory_check_scheduled_) return;
  memory_check_scheduled_ = true;
  Schedule(now_ + kMemoryCheckInterval, kMemoryCheck);
}

void NodeEmulator::CheckMemory() {
  memory_check_scheduled_ = false;
  if (!config_.executes_tasks) EvictTasks();
  if (running_tasks() > 0) ScheduleMemoryCheck();
}

void NodeEmulator::EvictTasks() {
  for (;;) {
    std::vector<EvictionCandidate> candidates;
    for (const auto& [attempt, task] : tasks_) {
      if (!task.IsRunning()) continue;
      const double used = MemoryInUse(task.use.memory, now_ - task.running_since, config_.memory_growth_time);
      candidates.push_back({&attempt, task.spec.priority, task.spec.memory, used});
    }
    const std::string* selected = SelectEvicted(candidates, config_.memory);
    if (selected == nullptr) return;
    const std::string attempt = *selected;  // a copy, because EndTask() frees `*selected`
    EndTask(attempt, TaskEnd::kEvicted, kExitStatusEvicted, text::kEvicted);
  }
}

}  // namespace mountflow::node_agent
