// A job manager without sockets. The test controls its clock, passes it messages as simulated nodes would,
// and collects its outputs.
#ifndef MOUNTFLOW_TESTS_SUPPORT_JOB_MANAGER_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_JOB_MANAGER_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "job_manager/job_manager.hpp"

namespace mountflow::testing {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSecond = 1000 * kMs;

// Returns options with three classes: 0 is idempotent with a key within a rack, 1 is idempotent, and 2 is not
// idempotent.
inline job_manager::JobManagerOptions Options() {
  job_manager::JobManagerOptions options;
  options.server = "d0";
  Settings& settings = options.settings;
  settings.classes.resize(3);
  settings.classes[0].idempotency = Idempotency::kWithKey;
  settings.classes[0].deduplication_scope = DeduplicationScope::kRack;
  settings.classes[0].deduplication_window = 5 * kSecond;
  settings.classes[1].idempotency = Idempotency::kIdempotent;
  settings.classes[2].idempotency = Idempotency::kNotIdempotent;
  settings.node_kinds = {{16.0, 32.0}};
  settings.group_size = 1;
  settings.self_index = 0;
  settings.list_has_free_capacity = true;
  settings.started_means_running = false;
  settings.may_cancel = false;  // otherwise the scheduler would cancel unanswered attempts after a while
  settings.max_attempts = 4;
  settings.mean_memory = 2.0;
  settings.client_wait = 3 * kSecond;
  settings.slow_start_initial_pace = 0.25;
  settings.slow_start_duration = 15 * kSecond;
  settings.overload_multiple = 2.0;
  settings.slow_start_window = 3 * kSecond;
  settings.slow_start_budget = 8.0;
  settings.drain_grace_period = 2 * kSecond;
  options.classes = {"keyed", "safe", "unsafe"};
  options.hard_limits = {8 * kSecond, 8 * kSecond, 8 * kSecond};
  options.kinds = {"k"};
  options.zones = {"r"};
  return options;
}

class JobManagerFixture {
 public:
  explicit JobManagerFixture(job_manager::JobManagerOptions options = Options(), std::uint64_t seed = 7)
      : now(1'000'000 * kSecond), job_manager(std::move(options), seed, now) {}

  Micros now;
  job_manager::JobManager job_manager;
  std::vector<job_manager::Output> all;   // outputs since the last Clear
  std::vector<job_manager::Output> last;  // outputs of the last step
  job_manager::CommandResult command_result = job_manager::CommandResult::kOk;  // result of the last Submit

  // Moves the outputs of the job manager to `last`, and appends them to `all`.
  void Collect() {
    last = std::move(job_manager.outputs());
    job_manager.outputs().clear();
    all.insert(all.end(), last.begin(), last.end());
  }
  void Clear() { all.clear(); }
  // Passes a message from a node to the job manager.
  void Take(const job_manager::NodeMessage& message) {
    job_manager.HandleNodeMessage(now, message);
    Collect();
  }
  // Advances the clock to `to`, and handles each timer that becomes due at its time.
  void Run(Micros to) {
    while (job_manager.NextTimer() <= to) {
      now = std::max(now, job_manager.NextTimer());
      job_manager.Tick(now);
      Collect();
    }
    now = to;
  }
  static job_manager::ListedNode Node(const std::string& name, const std::string& rack = "rack",
                                      Micros started = 0) {
    job_manager::ListedNode node;
    node.name = name;
    node.address = "127.0.0.1:1";
    node.rack = rack;
    node.room = "r";
    node.kind = "k";
    node.started = started;
    node.free_cores = 16.0;
    node.free_memory = 32.0;
    return node;
  }
  // Passes an event of the node list to the job manager.
  void List(std::vector<job_manager::ListedNode> nodes, NodeListKind kind = NodeListKind::kSnapshot) {
    job_manager::NodeListEvent event;
    event.kind = kind;
    event.nodes = std::move(nodes);
    job_manager.HandleNodeList(now, event);
    Collect();
  }
  // Answers each reconciliation request so far: the node holds no attempt.
  void ReconcileAll(Micros started = 0, std::optional<Micros> process_started = std::nullopt) {
    for (const job_manager::ReconcileNode& request : Of<job_manager::ReconcileNode>(all)) {
      Take(job_manager::NodeReconciled{request.node, started, {}, process_started});
    }
  }
  std::uint64_t Submit(unsigned task_class, const std::string& key = "", bool rerunnable = false) {
    job_manager::JobSpec spec;
    spec.user = "thandi";
    spec.task_class = task_class;
    spec.queue = job_manager.options().classes[task_class];
    spec.service = "stock";
    spec.key = key;
    spec.rerunnable = rerunnable;
    return Submit(std::move(spec));
  }
  std::uint64_t Submit(job_manager::JobSpec spec) {
    const job_manager::SubmitResult result =
        job_manager.Submit(now, job_manager.NewJobNumber(), std::move(spec));
    command_result = result.command_result;
    Collect();
    return result.job;
  }

  // Returns the outputs of type T.
  template <typename T>
  static std::vector<T> Of(const std::vector<job_manager::Output>& outputs) {
    std::vector<T> found;
    for (const job_manager::Output& output : outputs) {
      if (const T* typed_output = std::get_if<T>(&output)) found.push_back(*typed_output);
    }
    return found;
  }
  // Returns the outputs of type T since the last Clear.
  template <typename T>
  std::vector<T> All() const {
    return Of<T>(all);
  }
  // Returns the latest output of type T since the last Clear.
  template <typename T>
  std::optional<T> Last() const {
    const auto found = Of<T>(all);
    return found.empty() ? std::nullopt : std::optional<T>(found.back());
  }
  const job_manager::Job& Job(std::uint64_t number) const { return *job_manager.Find(number); }
  // Returns the number of final answers of the job since the last Clear.
  std::size_t Answers(std::uint64_t job) const {
    std::size_t count = 0;
    for (const auto& answered : All<job_manager::JobAnswered>()) count += answered.job == job;
    return count;
  }
  // Submits a job, and answers its first attempt as a node that accepts it. Returns that attempt.
  job_manager::PrepareAttempt SubmitAndStart(unsigned task_class, const std::string& key = "",
                                             bool rerunnable = false) {
    Clear();
    Submit(task_class, key, rerunnable);
    const job_manager::PrepareAttempt prepare = *Last<job_manager::PrepareAttempt>();
    Take(job_manager::AttemptPrepared{prepare.attempt});
    Take(job_manager::AttemptCommitted{prepare.attempt});
    return prepare;
  }
};

// A fixture with three reconciled nodes without attempts; two of the nodes share a rack.
class JobManagerTest : public ::testing::Test {
 protected:
  static constexpr unsigned kWithKey = 0;
  static constexpr unsigned kIdempotent = 1;
  static constexpr unsigned kNotIdempotent = 2;

  void SetUp() override {
    fixture.List({JobManagerFixture::Node("a", "rack1"), JobManagerFixture::Node("b", "rack1"),
                  JobManagerFixture::Node("c", "rack2")});
    fixture.ReconcileAll();
    fixture.Clear();
  }

  JobManagerFixture fixture;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_JOB_MANAGER_FIXTURE_HPP_
