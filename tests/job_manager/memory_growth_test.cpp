// Guards against memory that grows with the number of past jobs, nodes, services and keys. Simulates ninety
// days with two million jobs, nodes that are replaced under new names, and services and keys that are used
// once. The test is
// built as released, because it takes too long under the sanitizers.
#include <gtest/gtest.h>
#include <malloc.h>

#include <queue>
#include <random>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

constexpr Micros kDay = 86'400 * kSecond;
constexpr std::uint64_t kDays = 90, kJobs = 2'000'000;
constexpr std::size_t kNodes = 40, kHistory = 2'000;
constexpr std::size_t kMaxBytes = 8u << 20;  // upper bound of all allocated memory

class LongRun {
 public:
  LongRun() : fixture_(SmallLimits()), random_(2026) {}

  static JobManagerOptions SmallLimits() {
    JobManagerOptions options = Options();
    options.limits.history = kHistory;
    options.limits.nodes = 64;
    return options;
  }

  void Run() {
    const Micros begin = fixture_.now;
    for (std::size_t i = 0; i < kNodes; ++i) names_.push_back("node-" + std::to_string(next_node_++));
    SendNodeList();
    const Micros job_interval = kDays * kDay / kJobs;
    Micros next_job_at = begin + job_interval, node_list_at = begin + 60 * kSecond, day_at = begin + kDay,
           replacement_at = begin + kDay / 10;
    std::size_t early = 0;
    for (std::uint64_t day = 0; day < kDays;) {
      const Micros end_at = scheduled_ends_.empty() ? ~Micros{0} : scheduled_ends_.top().first;
      const Micros next = std::min(
          {fixture_.job_manager.NextTimer(), next_job_at, node_list_at, day_at, replacement_at, end_at});
      fixture_.now = std::max(fixture_.now, next);
      if (next == fixture_.job_manager.NextTimer()) {
        fixture_.job_manager.Tick(fixture_.now);
        Answer();
      } else if (next == end_at) {
        const AttemptId id = scheduled_ends_.top().second;
        scheduled_ends_.pop();
        fixture_.job_manager.HandleNodeMessage(
            fixture_.now,
            AttemptFinished{id, EndReason::kExited, 0, "", {}, fixture_.now - 1000, fixture_.now});
        Answer();
      } else if (next == next_job_at) {
        next_job_at += job_interval;
        Submit();
      } else if (next == node_list_at) {
        node_list_at += 60 * kSecond;
        SendNodeList();
      } else if (next == replacement_at) {  // a node is removed for good, and a new one is added
        replacement_at += kDay / 10;
        removed_ = names_[random_() % kNodes];
        *std::find(names_.begin(), names_.end(), removed_) = "node-" + std::to_string(next_node_++);
        SendNodeList();
        removed_.clear();
      } else {
        ++day;
        day_at += kDay;
        const std::size_t used = mallinfo2().uordblks;
        ASSERT_LT(used, kMaxBytes) << "day " << day;
        ASSERT_LE(fixture_.job_manager.Count().complete, kHistory);
        ASSERT_EQ(fixture_.job_manager.stopping_attempts(), 0u);
        if (day == 10) early = used;
        if (day == kDays) {
          EXPECT_LT(used, early + early / 5 + (64u << 10)) << "day 10: " << early;
          std::printf(
              "in use: %zu bytes on day 10, %zu on day %llu; %llu started, %llu of %llu attempts rejected by "
              "nodes\n",
              early, used, static_cast<unsigned long long>(kDays), static_cast<unsigned long long>(started_),
              static_cast<unsigned long long>(rejected_), static_cast<unsigned long long>(prepared_));
        }
      }
    }
    EXPECT_GT(started_, kJobs * 9 / 10);
    EXPECT_GT(next_node_, 900u);
  }

 private:
  void SendNodeList() {
    NodeListEvent event;
    event.kind = removed_.empty() && random_() % 10 != 0 ? NodeListKind::kDelta : NodeListKind::kSnapshot;
    for (const std::string& name : names_) {
      event.nodes.push_back(JobManagerFixture::Node(name, name + "-rack"));
      event.nodes.back().free_cores = 8.0 + static_cast<double>(random_() % 8);
    }
    fixture_.job_manager.HandleNodeList(fixture_.now, event);
    Answer();
  }
  void Submit() {
    JobSpec spec;
    spec.user = "thandi";
    spec.task_class = static_cast<unsigned>(random_() % 3);
    spec.queue = fixture_.job_manager.options().classes[spec.task_class];
    const std::uint64_t n = ++submitted_;
    spec.service = n % 10 == 0 ? "once-" + std::to_string(n) : "service-" + std::to_string(n % 50);
    if (n % 7 == 0) spec.key = "key-" + std::to_string(n);
    spec.cores = 0.1;
    spec.memory = 0.1;
    fixture_.job_manager.Submit(fixture_.now, fixture_.job_manager.NewJobNumber(), std::move(spec));
    Answer();
  }
  // Answers all requests to nodes at once, as the nodes would.
  void Answer() {
    while (!fixture_.job_manager.outputs().empty()) {
      const std::vector<Output> outputs = std::exchange(fixture_.job_manager.outputs(), {});
      for (const Output& o : outputs) {
        if (const auto* prepare = std::get_if<PrepareAttempt>(&o)) {
          ++prepared_;
          if (random_() % 100 == 0) {
            ++rejected_;
            fixture_.job_manager.HandleNodeMessage(
                fixture_.now,
                AttemptRejected{prepare->attempt, RejectionReason::kNoCores, "full", {}, false});
          } else {
            fixture_.job_manager.HandleNodeMessage(fixture_.now, AttemptPrepared{prepare->attempt});
          }
        } else if (const auto* commit = std::get_if<CommitAttempt>(&o)) {
          ++started_;
          fixture_.job_manager.HandleNodeMessage(fixture_.now, AttemptCommitted{commit->attempt});
          scheduled_ends_.emplace(fixture_.now + (1 + random_() % 300) * kSecond, commit->attempt);
        } else if (const auto* reconcile = std::get_if<ReconcileNode>(&o)) {
          fixture_.job_manager.HandleNodeMessage(fixture_.now, NodeReconciled{reconcile->node, 0, {}});
        } else if (const auto* stop = std::get_if<StopAttempt>(&o)) {
          fixture_.job_manager.HandleNodeMessage(fixture_.now, StopAnswered{stop->attempt, false, 0});
        }
      }
    }
  }

  struct LaterEnd {
    bool operator()(const std::pair<Micros, AttemptId>& a, const std::pair<Micros, AttemptId>& b) const {
      return a.first > b.first;
    }
  };
  JobManagerFixture fixture_;
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::string removed_;
  std::uint64_t next_node_ = 0, submitted_ = 0, prepared_ = 0, rejected_ = 0, started_ = 0;
  std::priority_queue<std::pair<Micros, AttemptId>, std::vector<std::pair<Micros, AttemptId>>, LaterEnd>
      scheduled_ends_;
};

TEST(MemoryGrowth, StaysBoundedOverNinetyDays) { LongRun().Run(); }

}  // namespace
}  // namespace mountflow::testing
