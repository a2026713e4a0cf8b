// Tests the emulated node with a simulated clock.
#include "node_agent/node_emulator.hpp"

#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using node_agent::AttemptDecision;
using node_agent::CommitAcknowledged;
using node_agent::NodeConfig;
using node_agent::NodeEmulator;
using node_agent::SignalTask;
using node_agent::TaskEnded;
using node_agent::TaskSpec;

NodeConfig SmallNode() {
  NodeConfig config;
  config.cores = 4.0;
  config.memory = 8.0;
  config.admission_time = 10 * kMs;
  config.admission_queue_size = 2;
  config.max_concurrent_starts = 1;
  config.start_time = 50 * kMs;
  config.uncached_start_factor = 8.0;
  config.task_duration = 10 * kSecond;
  return config;
}

TaskSpec Task(const std::string& name, double cores = 1.0, int priority = 0, const std::string& key = "") {
  TaskSpec spec;
  spec.attempt = name;
  spec.service = "s";
  spec.cores = cores;
  spec.memory = cores;
  spec.priority = priority;
  spec.idempotency_key = key;
  return spec;
}

struct NodeFixture {
  explicit NodeFixture(NodeConfig config = SmallNode(), Micros started = 0,
                       std::shared_ptr<node_agent::IdempotencyKeyStore> keys = nullptr)
      : now(1000 * kSecond), node(std::move(config), std::move(keys), now, started) {}
  Micros now;
  NodeEmulator node;
  std::vector<node_agent::NodeOutput> outputs;  // outputs since the last clear

  void Run(Micros length) {
    const Micros to = now + length;
    while (node.NextTimer() <= to) {
      now = std::max(now, node.NextTimer());
      node.Tick(now);
    }
    now = to;
  }
  const std::vector<node_agent::NodeOutput>& CollectOutputs() {
    for (auto& output : node.TakeOutputs()) outputs.push_back(std::move(output));
    return outputs;
  }
  void ClearOutputs() {
    CollectOutputs();
    outputs.clear();
  }
  template <typename T>
  std::vector<T> Outputs() {
    std::vector<T> found;
    for (const auto& output : CollectOutputs()) {
      if (const T* message = std::get_if<T>(&output)) found.push_back(*message);
    }
    return found;
  }
  // Requests admission of an attempt and commits it. Returns whether both were accepted.
  bool AdmitAndCommit(const TaskSpec& spec) {
    node.RequestAdmission(now, spec);
    Run(10 * kMs);
    const auto decisions = Outputs<AttemptDecision>();
    ClearOutputs();
    return !decisions.empty() && decisions.back().accepted && node.Commit(now, spec.attempt);
  }
};

TEST(NodeEmulator, DecidesOnOneAttemptAtATimeAndBoundsThoseThatWait) {
  NodeFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.node.RequestAdmission(fixture.now, Task("t" + std::to_string(i), 0.1));
  const auto decisions = fixture.Outputs<AttemptDecision>();
  ASSERT_EQ(decisions.size(), 2u);  // one is in decision, two wait, two are rejected
  EXPECT_EQ(decisions[0].reason, RejectionReason::kQueueFull);
  fixture.ClearOutputs();
  fixture.Run(10 * kMs);
  EXPECT_EQ(fixture.Outputs<AttemptDecision>().size(), 1u);
  fixture.Run(20 * kMs);
  EXPECT_EQ(fixture.Outputs<AttemptDecision>().size(), 3u);
}

TEST(NodeEmulator, RejectsWithItsReasonAndPreemptsLowerPriorities) {
  NodeFixture fixture;
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("low", 3.0, 0)));
  fixture.node.RequestAdmission(fixture.now, Task("same", 2.0, 0));
  fixture.Run(10 * kMs);
  auto answer = fixture.Outputs<AttemptDecision>().back();
  EXPECT_FALSE(answer.accepted);
  EXPECT_EQ(answer.reason, RejectionReason::kNoCores);
  EXPECT_EQ(answer.text, "no cores: 1 of 4 free, asked for 2");
  fixture.ClearOutputs();
  fixture.node.RequestAdmission(fixture.now, Task("high", 2.0, 1));
  fixture.Run(10 * kMs);
  EXPECT_TRUE(fixture.Outputs<AttemptDecision>().back().accepted);
  const auto ended = fixture.Outputs<TaskEnded>();
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].attempt, "low");
  EXPECT_EQ(ended[0].end, node_agent::TaskEnd::kPreempted);
  EXPECT_FALSE(
      fixture.AdmitAndCommit(Task("huge", 5.0, 9)));  // nothing is preempted, because it would not fit anyway
  EXPECT_TRUE(fixture.Outputs<TaskEnded>().empty());
}

TEST(NodeEmulator, FewTasksStartAtOnceAndTheFirstOfAServiceStartsSlowly) {
  NodeFixture fixture;
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("a", 0.5)));
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("b", 0.5)));
  fixture.Run(380 * kMs);
  EXPECT_EQ(fixture.node.running_tasks(), 0u);
  fixture.Run(20 * kMs);  // the first start of the service takes 8 x 50 ms
  EXPECT_EQ(fixture.node.running_tasks(), 1u);
  fixture.Run(50 * kMs);
  EXPECT_EQ(fixture.node.running_tasks(), 2u);
  fixture.Run(11 * kSecond);
  EXPECT_EQ(fixture.Outputs<TaskEnded>().size(), 2u);
  EXPECT_EQ(fixture.node.free_cores(), 4.0);
}

TEST(NodeEmulator, AWarmingUpNodeFailsUnderTooManyAttemptsAndNotBefore) {
  NodeConfig config = SmallNode();
  config.min_overload_attempts = 10.0;
  config.admission_queue_size = 1000;
  config.slow_start_window = 3 * kSecond;
  NodeFixture cautious(config, 1000 * kSecond), overloaded(config, 1000 * kSecond);
  for (int i = 0; i < 10; ++i)
    cautious.node.RequestAdmission(cautious.now, Task("t" + std::to_string(i), 0.1));
  EXPECT_FALSE(cautious.node.failed_by_overload());
  cautious.Run(3 * kSecond);
  for (int i = 0; i < 10; ++i)
    cautious.node.RequestAdmission(cautious.now, Task("u" + std::to_string(i), 0.1));
  EXPECT_FALSE(cautious.node.failed_by_overload());
  for (int i = 0; i < 11; ++i)
    overloaded.node.RequestAdmission(overloaded.now, Task("t" + std::to_string(i), 0.1));
  EXPECT_TRUE(overloaded.node.failed_by_overload());
  EXPECT_EQ(overloaded.Outputs<node_agent::OverloadFailure>().size(), 1u);
}

TEST(NodeEmulator, OneTaskOfAKeyRunsInARack) {
  const auto keys = std::make_shared<node_agent::IdempotencyKeyStore>();
  NodeFixture a(SmallNode(), 0, keys), b(SmallNode(), 0, keys);
  EXPECT_TRUE(a.AdmitAndCommit(Task("a1", 1.0, 0, "k")));
  b.node.RequestAdmission(b.now, Task("b1", 1.0, 0, "k"));
  b.Run(10 * kMs);
  EXPECT_EQ(b.Outputs<AttemptDecision>().back().reason, RejectionReason::kNotAccepting);
  a.node.Stop(a.now, "a1");
  EXPECT_TRUE(b.AdmitAndCommit(Task("b2", 1.0, 0, "k")));
}

// A cancelled attempt must not be accepted if its messages arrive later, in any order.
TEST(NodeEmulator, AnAttemptThatWasStoppedOrQueriedCanNeverBeAccepted) {
  NodeFixture fixture;
  EXPECT_FALSE(fixture.node.Stop(fixture.now, "early"));
  EXPECT_FALSE(fixture.AdmitAndCommit(Task("early")));
  EXPECT_FALSE(fixture.node.Query(fixture.now, "asked"));
  EXPECT_FALSE(fixture.AdmitAndCommit(Task("asked")));
  fixture.ClearOutputs();
  fixture.node.RequestAdmission(fixture.now, Task("reserved"));
  fixture.Run(10 * kMs);
  EXPECT_FALSE(
      fixture.node.Query(fixture.now, "reserved"));  // cancelled by the query, because it is not committed
  EXPECT_FALSE(fixture.node.Commit(fixture.now, "reserved"));
  EXPECT_EQ(fixture.node.free_cores(), 4.0);
}

TEST(NodeEmulator, ACommitAfterItsDeadlineIsRejectedAndItsReservationEnds) {
  NodeFixture fixture;
  TaskSpec spec = Task("late");
  spec.commit_deadline = fixture.now + kSecond;
  fixture.node.RequestAdmission(fixture.now, spec);
  fixture.Run(10 * kMs);
  EXPECT_EQ(fixture.node.free_cores(), 3.0);
  fixture.Run(2 * kSecond);
  EXPECT_EQ(fixture.node.free_cores(), 4.0);
  EXPECT_FALSE(fixture.node.Commit(fixture.now, "late"));
}

TEST(NodeEmulator, ADrainingNodeEndsItsTasksAndAcceptsNone) {
  NodeFixture fixture;
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("a")));
  fixture.node.SetDraining(fixture.now, true);
  EXPECT_EQ(fixture.Outputs<TaskEnded>().back().end, node_agent::TaskEnd::kDrained);
  EXPECT_FALSE(fixture.AdmitAndCommit(Task("b")));
}

TEST(NodeEmulator, EvictsTheLowestPriorityFirstWhenOutOfMemory) {
  NodeConfig config = SmallNode();
  config.memory_use = 1.6;
  config.max_concurrent_starts = 8;
  config.start_time = 0;
  NodeFixture fixture(config);
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("high", 2.0, 1)));
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("low1", 1.0, 0)));
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("low2", 1.0, 0)));
  fixture.ClearOutputs();
  NodeConfig big = config;
  big.memory = 4.0;  // the requests fit, the actual use does not
  NodeFixture small(big);
  EXPECT_TRUE(small.AdmitAndCommit(Task("high", 2.0, 1)));
  EXPECT_TRUE(small.AdmitAndCommit(Task("low1", 1.0, 0)));
  EXPECT_TRUE(small.AdmitAndCommit(Task("low2", 1.0, 0)));
  small.Run(5 * kSecond);
  const auto ended = small.Outputs<TaskEnded>();
  ASSERT_FALSE(ended.empty());
  for (const auto& task : ended) {
    EXPECT_EQ(task.end, node_agent::TaskEnd::kEvicted);
    EXPECT_NE(task.attempt, "high");
  }
}

// An attempt counts as load even if it is rejected immediately.
TEST(NodeEmulator, AttemptsThatADrainingNodeRejectsCountAsLoad) {
  NodeConfig config = SmallNode();
  config.min_overload_attempts = 2.0;
  config.overload_multiple = 0.0;
  NodeFixture fixture(config, 1000 * kSecond);
  fixture.node.SetDraining(fixture.now, true);
  for (const char* const attempt : {"a", "b", "c"}) fixture.node.RequestAdmission(fixture.now, Task(attempt));
  EXPECT_TRUE(fixture.node.failed_by_overload());
  const auto decisions = fixture.Outputs<AttemptDecision>();
  ASSERT_EQ(decisions.size(), 3u);
  EXPECT_EQ(decisions[1].text, "draining");
  EXPECT_EQ(decisions[2].text, "fallen over");
}

// If commits are acknowledged at the start, the client must not receive an end before the acknowledgement.
TEST(NodeEmulator, ATaskThatEndsBeforeItsStartIsAcknowledgedFirst) {
  NodeConfig config = SmallNode();
  config.acknowledges_when_running = true;
  NodeFixture fixture(config);
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("a")));
  EXPECT_TRUE(fixture.node.Stop(fixture.now, "a"));
  const auto& outputs = fixture.CollectOutputs();
  ASSERT_EQ(outputs.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<CommitAcknowledged>(outputs[0]));
  EXPECT_TRUE(std::holds_alternative<TaskEnded>(outputs[1]));
}

TEST(NodeEmulator, AProcessIsKilledBeforeTheEndOfItsTaskIsReported) {
  NodeConfig config = SmallNode();
  config.executes_tasks = true;
  config.start_time = 0;
  NodeFixture fixture(config);
  EXPECT_TRUE(fixture.AdmitAndCommit(Task("a")));
  fixture.Run(kMs);
  fixture.ClearOutputs();
  fixture.node.SetDraining(fixture.now, true);
  const auto& outputs = fixture.CollectOutputs();
  ASSERT_EQ(outputs.size(), 2u);
  ASSERT_TRUE(std::holds_alternative<SignalTask>(outputs[0]));
  EXPECT_EQ(std::get<SignalTask>(outputs[0]).signal, "SIGKILL");
  EXPECT_TRUE(std::holds_alternative<TaskEnded>(outputs[1]));
}

TEST(NodeEmulator, WalltimeEndsATaskBeforeItsDuration) {
  NodeFixture fixture;
  TaskSpec spec = Task("a");
  spec.walltime = kSecond;
  EXPECT_TRUE(fixture.AdmitAndCommit(spec));
  fixture.Run(2 * kSecond);
  const auto ended = fixture.Outputs<TaskEnded>();
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].status, node_agent::kExitStatusWalltimeExceeded);
  EXPECT_EQ(ended[0].text, "walltime exceeded");
}

}  // namespace
}  // namespace mountflow::testing
