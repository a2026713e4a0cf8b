// A scheduler whose events come from the test: events in, actions out, without sockets or a clock.
#ifndef MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/time_units.hpp"

namespace mountflow::testing {

// Two schedulers, one kind of 40 cores and 100 memory, one idempotent class.
inline Settings DefaultSettings() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].idempotency = Idempotency::kIdempotent;
  settings.classes[0].deduplication_scope = DeduplicationScope::kRack;
  settings.classes[0].deduplication_window = 5 * kSecond;
  settings.classes[0].start_value_seconds = 10.0;
  settings.node_kinds = {{40.0, 100.0}};
  settings.group_size = 2;
  settings.self_index = 0;
  settings.list_has_free_capacity = true;
  settings.started_means_running = false;
  settings.may_cancel = true;
  settings.max_attempts = 4;
  settings.mean_cores = 1.0;
  settings.mean_memory = 2.0;
  settings.client_wait = 3 * kSecond;
  settings.answer_slack = 8 * kMillisecond;
  settings.drain_grace_period = 2 * kSecond;
  settings.slow_start_initial_pace = 0.25;
  settings.slow_start_duration = 17 * kSecond;
  settings.overload_multiple = 2.0;
  settings.slow_start_window = 3 * kSecond;
  settings.slow_start_budget = 8.0;
  return settings;
}

// The same with no other scheduler, whose attempts would count.
inline Settings SingleSchedulerSettings() {
  Settings settings = DefaultSettings();
  settings.group_size = 1;
  return settings;
}

inline NodeEntry MakeNodeEntry(NodeId id, double free_cores = 40.0, double free_memory = 100.0) {
  NodeEntry entry;
  entry.node = id;
  entry.rack = id / 10;
  entry.zone = id / 100;
  entry.free_cores = free_cores;
  entry.free_memory = free_memory;
  return entry;
}

class SchedulerFixture {
 public:
  explicit SchedulerFixture(const Settings& settings, std::uint64_t seed = 7) : scheduler_(settings, seed) {}

  Micros now = 100 * kSecond;
  std::vector<Action> actions;  // of the last event

  void Handle(const Event& event) {
    actions.clear();
    scheduler_.Handle(now, event, &actions);
  }
  void UpdateNodes(std::vector<NodeEntry> nodes, NodeListKind kind = NodeListKind::kSnapshot) {
    NodeListUpdate update;
    update.kind = kind;
    update.nodes = std::move(nodes);
    Handle(update);
  }
  // A task of one core and two of memory with eight seconds to its deadline.
  Task MakeTask(unsigned task_class = 0, double cores = 1.0, std::uint64_t service = 0) {
    Task task;
    task.request = ++last_request_;
    task.task_class = task_class;
    task.deadline = now + 8 * kSecond;
    task.key = task.request;
    task.service = service != 0 ? service : 1000 + task.request;
    task.cores = cores;
    task.memory = 2.0 * cores;
    return task;
  }
  RequestId Submit(const Task& task) {
    Handle(TaskSubmitted{task});
    return task.request;
  }
  RequestId Submit(unsigned task_class = 0, double cores = 1.0, std::uint64_t service = 0) {
    return Submit(MakeTask(task_class, cores, service));
  }
  void ReportStarted(RequestId request, unsigned attempt, NodeId node) {
    Handle(TaskStarted{request, attempt, node, 0});
  }
  void ReportEnded(RequestId request, unsigned attempt, NodeId node, AttemptResult result,
                   RejectionReason reason = RejectionReason::kUnspecified, bool request_closed = false) {
    AttemptEnded ended;
    ended.request = request;
    ended.attempt = attempt;
    ended.node = node;
    ended.result = result;
    ended.reason = reason;
    ended.request_closed = request_closed;
    Handle(ended);
  }
  // Fires the scheduler's tick until `until`; keeps the actions of all ticks.
  void TickUntil(Micros until) {
    std::vector<Action> all;
    for (; now < until; now += 100 * kMillisecond) {
      Handle(TimerFired{1});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    actions = all;
  }

  // The actions of one type.
  template <typename T>
  std::vector<T> AllActions() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const auto* typed_action = std::get_if<T>(&action)) found.push_back(*typed_action);
    }
    return found;
  }
  // The one action of that type; empty where there is none, or several.
  template <typename T>
  std::optional<T> OnlyAction() const {
    const auto found = AllActions<T>();
    return found.size() == 1 ? std::optional<T>(found[0]) : std::nullopt;
  }
  bool HasFinalAnswer() const { return AllActions<RejectTask>().size() + AllActions<FailTask>().size() > 0; }

 private:
  Scheduler scheduler_;
  RequestId last_request_ = 0;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_
