// Nodes that leave the list, restart, or report their attempts.
#include <gtest/gtest.h>

#include <set>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

class ReconciliationTest : public JobManagerTest {};

TEST_F(ReconciliationTest, AdoptsReportedAttemptsAndStartsNoJobTwice) {
  JobManagerFixture fresh;
  fresh.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b")});
  const auto reconciliations = fresh.All<ReconcileNode>();
  ASSERT_EQ(reconciliations.size(), 2u);
  ReportedAttempt held;
  held.attempt = {5000, 2};
  held.spec.user = "thandi", held.spec.task_class = kWithKey, held.spec.queue = "keyed", held.spec.key = "k";
  held.spec.service = "stock";
  fresh.Take(NodeReconciled{reconciliations[0].node, 0, {held}});
  const Job* job = fresh.job_manager.Find(5000);
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->state, JobState::kRunning);
  EXPECT_TRUE(job->recovered);
  fresh.Submit(kWithKey, "k");  // the client submits it again
  EXPECT_EQ(fresh.command_result, CommandResult::kExists);
  EXPECT_TRUE(fresh.All<PrepareAttempt>().empty());
  fresh.Take(AttemptFinished{held.attempt, EndReason::kExited, 0, "", {}});
  EXPECT_EQ(fresh.Job(5000).state, JobState::kComplete);
}

TEST_F(ReconciliationTest, RequestsATaskAgainThatItsNodeLostByARestart) {
  const auto prepare = fixture.SubmitAndStart(kIdempotent, "", true);
  const std::string name = fixture.job_manager.FindNode(prepare.node)->name;
  const auto other = fixture.SubmitAndStart(kWithKey, "", false);
  fixture.Clear();
  fixture.List({JobManagerFixture::Node(name, "rack1", fixture.now)}, NodeListKind::kDelta);
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state, JobState::kWaiting);
  EXPECT_EQ(fixture.Job(prepare.attempt.job).answer,
            FinalAnswer::kStarted);  // the final answer does not change
  fixture.Run(fixture.now + 2 * kSecond);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
  if (other.node == prepare.node) {
    EXPECT_EQ(fixture.Job(other.attempt.job).state, JobState::kComplete);
  }
}

// Guards against a second start of a job whose attempt went to the new process of a node before the daemon
// had learned of the restart: it was taken for lost with the earlier process, and requested again while it
// ran.
TEST_F(ReconciliationTest, KeepsAttemptsThatTheNewProcessGotBeforeItsStartWasKnown) {
  for (const bool reported_by_node : {false, true}) {
    for (const bool is_committed : {false, true}) {
      JobManagerFixture daemon;
      daemon.List({JobManagerFixture::Node("a", "rack", 5), JobManagerFixture::Node("b", "rack", 5)});
      daemon.ReconcileAll(5);
      const Micros started = daemon.now + kSecond;  // of the new process
      daemon.now += 2 * kSecond;
      std::vector<PrepareAttempt> prepared;
      for (int i = 0; i < 4; ++i) {
        daemon.Submit(kWithKey, "k" + std::to_string(i), true);
        prepared.push_back(*daemon.Last<PrepareAttempt>());
        daemon.Take(AttemptPrepared{prepared.back().attempt});
        if (is_committed) daemon.Take(AttemptCommitted{prepared.back().attempt});
      }
      daemon.Clear();
      daemon.now += kSecond;
      NodeReconciled reconciled{prepared[0].node, started, {}};
      for (const PrepareAttempt& prepare : prepared) {
        if (prepare.node == reconciled.node) reconciled.held.emplace_back().attempt = prepare.attempt;
      }
      const std::string name = daemon.job_manager.FindNode(reconciled.node)->name;
      if (!reported_by_node)
        daemon.List({JobManagerFixture::Node(name, "rack", started)}, NodeListKind::kDelta);
      daemon.Take(reconciled);
      for (const PrepareAttempt& prepare : prepared) {
        if (!is_committed) daemon.Take(AttemptCommitted{prepare.attempt});
        EXPECT_EQ(daemon.Job(prepare.attempt.job).state, JobState::kRunning)
            << reported_by_node << is_committed;
      }
      EXPECT_TRUE(daemon.All<PrepareAttempt>().empty());
      EXPECT_TRUE(daemon.All<StopAttempt>().empty());
    }
  }
}

// The list of the node decides about an attempt that the daemon sent after the restart.
TEST_F(ReconciliationTest, LosesAnAttemptThatTheNewProcessDoesNotHold) {
  const auto prepare = fixture.SubmitAndStart(kIdempotent, "", true);
  const Micros started = fixture.now - 1;
  fixture.Clear();
  fixture.now += kSecond;
  fixture.List({JobManagerFixture::Node(fixture.job_manager.FindNode(prepare.node)->name, "rack1", started)},
               NodeListKind::kDelta);
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state, JobState::kRunning);
  ASSERT_TRUE(fixture.Last<ReconcileNode>());
  fixture.Take(NodeReconciled{prepare.node, started, {}});
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state, JobState::kWaiting);
  fixture.Run(fixture.now + 2 * kSecond);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
}

// The acceptance of the earlier process may be read in the turn in which the reconciliation starts. Its
// answer lacks the task then, as it may lack one of the new process, and the next one decides.
TEST_F(ReconciliationTest, ReconcilesAgainForAnAttemptAcceptedWhenTheReconciliationStarted) {
  const auto prepare = fixture.SubmitAndStart(kIdempotent, "", true);
  const Micros started = fixture.now - 1;
  const std::string name = fixture.job_manager.FindNode(prepare.node)->name;
  fixture.Clear();
  fixture.List({JobManagerFixture::Node(name, "rack1", started)}, NodeListKind::kDelta);
  EXPECT_EQ(fixture.All<ReconcileNode>().size(), 1u);
  fixture.now += kMs;
  fixture.Take(NodeReconciled{prepare.node, started, {}});
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state, JobState::kRunning);
  ASSERT_EQ(fixture.All<ReconcileNode>().size(), 2u);
  fixture.now += kMs;
  fixture.Take(NodeReconciled{prepare.node, started, {}});
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state, JobState::kWaiting);
  EXPECT_EQ(fixture.All<ReconcileNode>().size(), 2u);
}

// A node reports its own start seconds before the node list does. The scheduler must know it at once, because
// the node is warming up.
TEST_F(ReconciliationTest, PrefersTheStartTimeThatANodeReportsToALateNodeList) {
  const auto prepare = fixture.SubmitAndStart(kIdempotent);
  fixture.Take(ReconcileFailed{prepare.node});
  fixture.Run(fixture.now + 2 * kSecond);
  fixture.Take(NodeReconciled{prepare.node, fixture.now, {}});
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state,
            JobState::kComplete);  // lost with its node; not rerunnable
  const Micros started = fixture.job_manager.FindNode(prepare.node)->started;
  EXPECT_EQ(started, fixture.now);
  fixture.List({JobManagerFixture::Node(fixture.job_manager.FindNode(prepare.node)->name, "rack1", 0)},
               NodeListKind::kDelta);
  EXPECT_EQ(fixture.job_manager.FindNode(prepare.node)->started, started);
}

TEST_F(ReconciliationTest, StopsTheTaskOfAGoneNodeAndRetriesItAfterTheReconciliationWait) {
  const auto prepare = fixture.SubmitAndStart(kWithKey, "k", true);
  fixture.Clear();
  ListedNode gone = *fixture.job_manager.FindNode(prepare.node);
  gone.state = NodeState::kGone;
  const Micros start = fixture.now;
  fixture.List({gone}, NodeListKind::kDelta);
  EXPECT_EQ(fixture.All<StopAttempt>().size(), 1u);
  fixture.Run(start + 2900 * kMs);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());  // it may still run, beyond a network failure
  fixture.Run(start + 6 * kSecond);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
}

TEST_F(ReconciliationTest, RequestsElsewhereATaskThatADrainingNodeEnded) {
  const auto prepare = fixture.SubmitAndStart(kWithKey, "k", true);
  fixture.Clear();
  fixture.Take(AttemptFinished{prepare.attempt, EndReason::kDrained, 271, "drained", {}});
  fixture.Run(fixture.now + kSecond);
  ASSERT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
  EXPECT_NE(fixture.Last<PrepareAttempt>()->node, prepare.node);
}

// Guards against an attempt that has ended for the daemon, and still runs at a node that was unreachable
// meanwhile.
TEST_F(ReconciliationTest, StopsAReportedAttemptOfAKnownJobThatHasEndedHere) {
  const auto prepare = fixture.SubmitAndStart(kIdempotent);
  fixture.Take(AttemptFinished{prepare.attempt, EndReason::kExited, 0, "", {}});
  fixture.Clear();
  ReportedAttempt held;
  held.attempt = prepare.attempt;
  held.spec = *fixture.Job(prepare.attempt.job).spec;
  fixture.Take(NodeReconciled{prepare.node, 0, {held}});
  ASSERT_EQ(fixture.All<StopAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Last<StopAttempt>()->attempt, prepare.attempt);
  EXPECT_EQ(fixture.Job(prepare.attempt.job).state, JobState::kComplete);
  fixture.Clear();
  held.ended = true;
  fixture.Take(NodeReconciled{prepare.node, 0, {held}});
  EXPECT_TRUE(fixture.All<StopAttempt>().empty());
}

TEST_F(ReconciliationTest, ReconcilesManyNodesAFewAtATimeAndEachEventually) {
  JobManagerOptions options = Options();
  options.limits.reconciliations = 10;
  JobManagerFixture other(options);
  std::vector<ListedNode> nodes;
  for (int i = 0; i < 100; ++i) nodes.push_back(JobManagerFixture::Node("m" + std::to_string(i)));
  other.List(nodes);
  EXPECT_EQ(other.All<ReconcileNode>().size(), 10u);
  std::set<NodeId> reconciled;
  for (std::size_t at = 0; at < other.All<ReconcileNode>().size(); ++at) {
    const NodeId id = other.All<ReconcileNode>()[at].node;
    reconciled.insert(id);
    const std::size_t before = other.All<ReconcileNode>().size();
    if (at % 3 == 0) {
      other.Take(ReconcileFailed{id});
      other.Take(ReconcileFailed{id});  // reported twice: only one other node follows
    } else {
      other.Take(NodeReconciled{id, 0, {}});
    }
    EXPECT_LE(other.All<ReconcileNode>().size(), before + 1);
    EXPECT_LE(other.All<ReconcileNode>().size(), at + 11);
  }
  EXPECT_EQ(reconciled.size(), 100u);
  other.Clear();
  other.Run(other.now + 2 * kSecond);  // failed reconciliations are retried
  EXPECT_GE(other.All<ReconcileNode>().size(), 10u);
}

}  // namespace
}  // namespace mountflow::testing
