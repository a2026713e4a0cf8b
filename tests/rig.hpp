// A hand-fed scheduler for the module tests: events in, actions out, no bench.
#ifndef MOUNTFLOW_TESTS_RIG_HPP_
#define MOUNTFLOW_TESTS_RIG_HPP_

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
  s.classes[0].effect = Effect::kSafe;
  s.classes[0].scope = Scope::kCell;
  s.classes[0].window = 5 * kSecond;
  s.classes[0].start_seconds = 10.0;
  s.kinds = {{40.0, 100.0}};
  s.group_size = 2;
  s.self_index = 0;
  s.lists_free = true;
  s.placed_at_running = false;
  s.may_cancel = true;
  s.max_attempts = 4;
  s.mean_cores = 1.0;
  s.mean_memory = 2.0;
  s.owner_wait = 3 * kSecond;
  s.answer_slack = 8 * kMs;
  s.drain_grace = 2 * kSecond;
  s.cold_from = 0.25;
  s.cold_time = 17 * kSecond;
  s.fall_multiple = 2.0;
  s.fall_window = 3 * kSecond;
  s.cold_offers = 8.0;
  return s;
}

// The same with no other scheduler, whose sends would have to be reckoned with.
inline Settings Alone() {
  Settings s = Plain();
  s.group_size = 1;
  return s;
}

inline MachineEntry Entry(MachineId id, double free_cores = 40.0, double free_memory = 100.0) {
  MachineEntry e;
  e.machine = id;
  e.cell = id / 10;
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
  void View(std::vector<MachineEntry> machines, ViewMode mode = ViewMode::kFull) {
    FleetView view;
    view.mode = mode;
    view.machines = std::move(machines);
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
    Feed(TaskArrival{t});
    return t.request;
  }
  RequestId Arrive(unsigned task_class = 0, double cores = 1.0, std::uint64_t service = 0) {
    return Arrive(Make(task_class, cores, service));
  }
  void Place(RequestId request, unsigned attempt, MachineId machine) {
    Feed(Placement{request, attempt, machine, 0});
  }
  void End(RequestId request, unsigned attempt, MachineId machine, Ending ending,
           Cause cause = Cause::kUntold, bool closed = false) {
    Outcome o;
    o.request = request;
    o.attempt = attempt;
    o.machine = machine;
    o.ending = ending;
    o.cause = cause;
    o.closed = closed;
    Feed(o);
  }
  // Sounds the scheduler's own beat until `until`; keeps the actions of all beats.
  void BeatUntil(Micros until) {
    std::vector<Action> all;
    for (; now < until; now += 100 * kMs) {
      Feed(Alarm{1});
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
  bool FinalAnswer() const { return All<Refusal>().size() + All<Failure>().size() > 0; }

 private:
  Scheduler scheduler_;
  RequestId last_request_ = 0;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_RIG_HPP_
