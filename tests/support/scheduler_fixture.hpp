// A hand-fed scheduler for the module tests: events in, actions out, no bench.
#ifndef MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::testing {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// Two schedulers, one kind of 40 cores and 100 memory, one safe class.
inline Settings Plain() {
  Settings s;
  s.classes.resize(1);
  s.classes[0].idempotency = Idempotency::kIdempotent;
  s.classes[0].deduplication_scope = DeduplicationScope::kRack;
  s.classes[0].deduplication_window = 5 * kSecond;
  s.classes[0].start_value_seconds = 10.0;
  s.node_kinds = {{40.0, 100.0}};
  s.group_size = 2;
  s.self_index = 0;
  s.list_has_free_capacity = true;
  s.started_means_running = false;
  s.may_cancel = true;
  s.max_attempts = 4;
  s.mean_cores = 1.0;
  s.mean_memory = 2.0;
  s.client_wait = 3 * kSecond;
  s.answer_slack = 8 * kMs;
  s.drain_grace_period = 2 * kSecond;
  s.slow_start_initial_pace = 0.25;
  s.slow_start_duration = 17 * kSecond;
  s.overload_multiple = 2.0;
  s.slow_start_window = 3 * kSecond;
  s.slow_start_budget = 8.0;
  return s;
}

// The same with no other scheduler, whose sends would have to be reckoned with.
inline Settings Alone() {
  Settings s = Plain();
  s.group_size = 1;
  return s;
}

inline NodeEntry Entry(NodeId id, double free_cores = 40.0, double free_memory = 100.0) {
  NodeEntry e;
  e.node = id;
  e.rack = id / 10;
  e.zone = id / 100;
  e.free_cores = free_cores;
  e.free_memory = free_memory;
  return e;
}

class Rig {
 public:
  explicit Rig(const Settings& settings, std::uint64_t seed = 7) : scheduler_(settings, seed) {}

  Micros now = 100 * kSecond;
  std::vector<Action> actions;  // of the last event

  void Feed(const Event& event) {
    actions.clear();
    scheduler_.Handle(now, event, &actions);
  }
  void View(std::vector<NodeEntry> machines, NodeListKind mode = NodeListKind::kSnapshot) {
    NodeListUpdate view;
    view.kind = mode;
    view.nodes = std::move(machines);
    Feed(view);
  }
  // A task of one core and two of memory with eight seconds to its deadline.
  Task Make(unsigned task_class = 0, double cores = 1.0, std::uint64_t service = 0) {
    Task t;
    t.request = ++last_request_;
    t.task_class = task_class;
    t.deadline = now + 8 * kSecond;
    t.key = t.request;
    t.service = service != 0 ? service : 1000 + t.request;
    t.cores = cores;
    t.memory = 2.0 * cores;
    return t;
  }
  RequestId Arrive(const Task& t) {
    Feed(TaskSubmitted{t});
    return t.request;
  }
  RequestId Arrive(unsigned task_class = 0, double cores = 1.0, std::uint64_t service = 0) {
    return Arrive(Make(task_class, cores, service));
  }
  void Place(RequestId request, unsigned attempt, NodeId machine) {
    Feed(TaskStarted{request, attempt, machine, 0});
  }
  void End(RequestId request, unsigned attempt, NodeId machine, AttemptResult ending,
           RejectionReason cause = RejectionReason::kUnspecified, bool closed = false) {
    AttemptEnded o;
    o.request = request;
    o.attempt = attempt;
    o.node = machine;
    o.result = ending;
    o.reason = cause;
    o.request_closed = closed;
    Feed(o);
  }
  // Sounds the scheduler's own beat until `until`; keeps the actions of all beats.
  void BeatUntil(Micros until) {
    std::vector<Action> all;
    for (; now < until; now += 100 * kMs) {
      Feed(TimerFired{1});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    actions = all;
  }

  template <typename T>
  std::vector<T> All() const {
    std::vector<T> found;
    for (const Action& a : actions) {
      if (const auto* one = std::get_if<T>(&a)) found.push_back(*one);
    }
    return found;
  }
  template <typename T>
  std::optional<T> Only() const {
    const auto found = All<T>();
    return found.size() == 1 ? std::optional<T>(found[0]) : std::nullopt;
  }
  bool FinalAnswer() const { return All<RejectTask>().size() + All<FailTask>().size() > 0; }

 private:
  Scheduler scheduler_;
  RequestId last_request_ = 0;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_SCHEDULER_FIXTURE_HPP_
