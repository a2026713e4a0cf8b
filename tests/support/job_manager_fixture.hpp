// The core with hand-fed nodes and a clock under control: messages in, messages out, no sockets.
#ifndef MOUNTFLOW_TESTS_SUPPORT_JOB_MANAGER_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_JOB_MANAGER_FIXTURE_HPP_

#include <optional>
#include <string>
#include <vector>

#include "job_manager/job_manager.hpp"

namespace mountflow::testing {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSecond = 1000 * kMs;

// Classes: 0 keyed by cell, 1 safe, 2 unsafe.
inline job_manager::JobManagerOptions Options() {
  job_manager::JobManagerOptions o;
  o.server = "d0";
  Settings& s = o.settings;
  s.classes.resize(3);
  s.classes[0].idempotency = Idempotency::kWithKey;
  s.classes[0].deduplication_scope = DeduplicationScope::kRack;
  s.classes[0].deduplication_window = 5 * kSecond;
  s.classes[1].idempotency = Idempotency::kIdempotent;
  s.classes[2].idempotency = Idempotency::kNotIdempotent;
  s.node_kinds = {{16.0, 32.0}};
  s.group_size = 1;
  s.self_index = 0;
  s.list_has_free_capacity = true;
  s.started_means_running = false;
  s.may_cancel = false;  // else unanswered offers of a test are taken back after a while
  s.max_attempts = 4;
  s.mean_memory = 2.0;
  s.client_wait = 3 * kSecond;
  s.slow_start_initial_pace = 0.25;
  s.slow_start_duration = 15 * kSecond;
  s.overload_multiple = 2.0;
  s.slow_start_window = 3 * kSecond;
  s.slow_start_budget = 8.0;
  s.drain_grace_period = 2 * kSecond;
  o.classes = {"keyed", "safe", "unsafe"};
  o.hard_limits = {8 * kSecond, 8 * kSecond, 8 * kSecond};
  o.kinds = {"k"};
  o.rooms = {"r"};
  return o;
}

class JobManagerFixture {
 public:
  explicit JobManagerFixture(job_manager::JobManagerOptions options = Options(), std::uint64_t seed = 7)
      : now(1'000'000 * kSecond), core(std::move(options), seed, now) {}

  Micros now;
  job_manager::JobManager core;
  std::vector<job_manager::Output> all;   // since the last Clear
  std::vector<job_manager::Output> last;  // of the last step

  void Collect() {
    last = std::move(core.outputs());
    core.outputs().clear();
    all.insert(all.end(), last.begin(), last.end());
  }
  void Clear() { all.clear(); }
  void Take(const job_manager::NodeMessage& m) {
    core.HandleNodeMessage(now, m);
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
  static job_manager::ListedNode Node(const std::string& name, const std::string& rack = "rack",
                                      Micros started = 0) {
    job_manager::ListedNode n;
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
  void List(std::vector<job_manager::ListedNode> nodes, NodeListKind mode = NodeListKind::kSnapshot) {
    job_manager::NodeListView v;
    v.kind = mode;
    v.nodes = std::move(nodes);
    core.HandleNodeList(now, v);
    Collect();
  }
  // Answers the sync of each listed node: nothing runs there.
  void SyncAll(Micros started = 0) {
    for (const job_manager::ReconcileNode& s : Of<job_manager::ReconcileNode>(all))
      Take(job_manager::NodeReconciled{s.node, started, {}});
  }
  std::uint64_t Submit(unsigned task_class, const std::string& key = "", bool rerunnable = false) {
    job_manager::JobSpec spec;
    spec.user = "thandi";
    spec.task_class = task_class;
    spec.queue = core.options().classes[task_class];
    spec.service = "stock";
    spec.key = key;
    spec.rerunnable = rerunnable;
    return Submit(std::move(spec));
  }
  std::uint64_t Submit(job_manager::JobSpec spec) {
    const job_manager::SubmitResult done = core.Submit(now, core.NewJobNumber(), std::move(spec));
    verdict = done.verdict;
    Collect();
    return done.job;
  }
  job_manager::CommandResult verdict = job_manager::CommandResult::kOk;

  template <typename T>
  static std::vector<T> Of(const std::vector<job_manager::Output>& from) {
    std::vector<T> found;
    for (const job_manager::Output& o : from) {
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
  const job_manager::Job& Job(std::uint64_t number) const { return *core.Find(number); }
  // Submits and has the node say yes to all.
  job_manager::PrepareAttempt PlaceNew(unsigned task_class, const std::string& key = "",
                                       bool rerunnable = false) {
    Clear();
    Submit(task_class, key, rerunnable);
    const job_manager::PrepareAttempt ask = *Last<job_manager::PrepareAttempt>();
    Take(job_manager::AttemptPrepared{ask.attempt});
    Take(job_manager::AttemptCommitted{ask.attempt});
    return ask;
  }
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_JOB_MANAGER_FIXTURE_HPP_
