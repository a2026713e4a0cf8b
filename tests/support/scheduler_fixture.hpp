// A fixture that passes events from a test to a Scheduler and collects its actions, without sockets or a
// clock.
#ifndef MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/time_units.hpp"

namespace mountflow::testing {

// Returns settings for a group of two schedulers, one node kind of 40 cores and 100 units of memory, and one
// idempotent class.
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

// Returns the same settings without a second scheduler, whose estimated attempts would count as load.
inline Settings SingleSchedulerSettings() {
  Settings settings = DefaultSettings();
  settings.group_size = 1;
  return settings;
}

// Returns the entry of a ready node. Ten nodes share a rack, and a hundred share a zone.
inline NodeEntry MakeNodeEntry(NodeId id, double free_cores = 40.0, double free_memory = 100.0) {
  NodeEntry entry;
  entry.node = id;
  entry.rack = id / 10;
  entry.zone = id / 100;
  entry.free_cores = free_cores;
  entry.free_memory = free_memory;
  return entry;
}

// A scheduler, the current time of the test, and the actions of the latest event.
class SchedulerFixture {
 public:
  explicit SchedulerFixture(const Settings& settings, std::uint64_t seed = 7) : scheduler_(settings, seed) {}

  Micros now = 100 * kSecond;
  std::vector<Action> actions;  // actions of the latest event

  // Passes an event at time `now`, and stores its actions.
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
  // Returns a task with a new request id, a deadline in eight seconds and, by default, one core and two units
  // of memory.
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
  // Fires the tick of the scheduler until time `until`, and stores the actions of all ticks.
  void TickUntil(Micros until) {
    std::vector<Action> all;
    for (; now < until; now += 100 * kMillisecond) {
      Handle(TimerFired{1});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    actions = all;
  }

  // Returns the stored actions of type T.
  template <typename T>
  std::vector<T> AllActions() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const auto* typed_action = std::get_if<T>(&action)) found.push_back(*typed_action);
    }
    return found;
  }
  // Returns the only stored action of type T, or nothing if there is none or more than one.
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
