// The core with hand-fed nodes and a clock under control: messages in, messages out, no sockets.
#ifndef MOUNTFLOW_TESTS_CORE_RIG_HPP_
#define MOUNTFLOW_TESTS_CORE_RIG_HPP_

#include <optional>
#include <string>
#include <vector>

#include "core/core.hpp"

namespace mountflow::testing {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSecond = 1000 * kMs;

// Classes: 0 keyed by cell, 1 safe, 2 unsafe.
inline core::CoreOptions Options() {
  core::CoreOptions o;
  o.server = "d0";
  Settings& s = o.settings;
  s.classes.resize(3);
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].scope = Scope::kCell;
  s.classes[0].window = 5 * kSecond;
  s.classes[1].effect = Effect::kSafe;
  s.classes[2].effect = Effect::kUnsafe;
  s.kinds = {{16.0, 32.0}};
  s.group_size = 1;
  s.self_index = 0;
  s.lists_free = true;
  s.placed_at_running = false;
  s.may_cancel = false;  // else unanswered offers of a test are taken back after a while
  s.max_attempts = 4;
  s.mean_memory = 2.0;
  s.owner_wait = 3 * kSecond;
  s.cold_from = 0.25;
  s.cold_time = 15 * kSecond;
  s.fall_multiple = 2.0;
  s.fall_window = 3 * kSecond;
  s.cold_offers = 8.0;
  s.drain_grace = 2 * kSecond;
  o.classes = {"keyed", "safe", "unsafe"};
  o.hard_limits = {8 * kSecond, 8 * kSecond, 8 * kSecond};
  o.kinds = {"k"};
  o.rooms = {"r"};
  return o;
}

class CoreRig {
 public:
  explicit CoreRig(core::CoreOptions options = Options(), std::uint64_t seed = 7)
      : now(1'000'000 * kSecond), core(std::move(options), seed, now) {}

  Micros now;
  core::Core core;
  std::vector<core::Output> all;   // since the last Clear
  std::vector<core::Output> last;  // of the last step

  void Collect() {
    last = std::move(core.outputs());
    core.outputs().clear();
    all.insert(all.end(), last.begin(), last.end());
  }
  void Clear() { all.clear(); }
  void Take(const core::NodeMessage& m) {
    core.Take(now, m);
    Collect();
  }
  // Runs all timers up to `to`, each at its time.
  void Run(Micros to) {
    while (core.NextTimer() <= to) {
      now = std::max(now, core.NextTimer());
      core.Tick(now);
      const auto kept = all;
      Collect();
    }
    now = to;
  }
  static core::ListedNode Node(const std::string& name, const std::string& rack = "rack",
                               Micros started = 0) {
    core::ListedNode n;
    n.name = name;
    n.address = "127.0.0.1:1";
    n.rack = rack;
    n.room = "r";
    n.kind = "k";
    n.started = started;
    n.free_cores = 16.0;
    n.free_memory = 32.0;
    return n;
  }
  void List(std::vector<core::ListedNode> nodes, ViewMode mode = ViewMode::kFull) {
    core::ListView v;
    v.mode = mode;
    v.nodes = std::move(nodes);
    core.TakeList(now, v);
    Collect();
  }
  // Answers the sync of each listed node: nothing runs there.
  void SyncAll(Micros started = 0) {
    for (const core::SyncNode& s : Of<core::SyncNode>(all)) Take(core::Synced{s.node, started, {}});
  }
  std::uint64_t Submit(unsigned task_class, const std::string& key = "", bool rerunnable = false) {
    core::JobSpec spec;
    spec.user = "thandi";
    spec.task_class = task_class;
    spec.queue = core.options().classes[task_class];
    spec.service = "stock";
    spec.key = key;
    spec.rerunnable = rerunnable;
    return Submit(std::move(spec));
  }
  std::uint64_t Submit(core::JobSpec spec) {
    const core::Submitted done = core.Submit(now, core.NewJobNumber(), std::move(spec));
    verdict = done.verdict;
    Collect();
    return done.job;
  }
  core::Verdict verdict = core::Verdict::kOk;

  template <typename T>
  static std::vector<T> Of(const std::vector<core::Output>& from) {
    std::vector<T> found;
    for (const core::Output& o : from) {
      if (const T* one = std::get_if<T>(&o)) found.push_back(*one);
    }
    return found;
  }
  template <typename T>
  std::vector<T> All() const {
    return Of<T>(all);
  }
  template <typename T>
  std::optional<T> Last() const {
    const auto found = Of<T>(all);
    return found.empty() ? std::nullopt : std::optional<T>(found.back());
  }
  const core::Job& Job(std::uint64_t number) const { return *core.Find(number); }
  // Submits and has the node say yes to all.
  core::AskNode PlaceNew(unsigned task_class, const std::string& key = "", bool rerunnable = false) {
    Clear();
    Submit(task_class, key, rerunnable);
    const core::AskNode ask = *Last<core::AskNode>();
    Take(core::Ready{ask.attempt});
    Take(core::Committed{ask.attempt});
    return ask;
  }
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_CORE_RIG_HPP_
