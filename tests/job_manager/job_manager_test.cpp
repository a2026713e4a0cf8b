// The core's promises, event by event: one answer, attempts settled before a repeat, restarts, bounds.
#include "job_manager/job_manager.hpp"

#include <gtest/gtest.h>

#include <set>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using job_manager::CommandResult;
using job_manager::FinalAnswer;
using job_manager::JobState;

constexpr unsigned kKeyed = 0, kSafe = 1, kUnsafe = 2;

class CoreTest : public ::testing::Test {
 protected:
  JobManagerFixture rig;
  void SetUp() override {
    rig.List({JobManagerFixture::Node("a", "rack1"), JobManagerFixture::Node("b", "rack1"),
              JobManagerFixture::Node("c", "rack2")});
    rig.SyncAll();
    rig.Clear();
  }
  std::size_t Answers(std::uint64_t job) const {
    std::size_t count = 0;
    for (const auto& a : rig.All<job_manager::JobAnswered>()) count += a.job == job;
    return count;
  }
};

TEST_F(CoreTest, AJobIsAskedForCommittedAndAnsweredOnce) {
  const std::uint64_t job = rig.Submit(kSafe);
  const auto ask = rig.Last<job_manager::PrepareAttempt>();
  ASSERT_TRUE(ask);
  EXPECT_EQ(rig.Job(job).state, JobState::kQueued);
  EXPECT_TRUE(rig.All<job_manager::CommitAttempt>().empty());
  rig.Take(job_manager::AttemptPrepared{ask->attempt});
  ASSERT_EQ(rig.All<job_manager::CommitAttempt>().size(), 1u);
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kNone);
  rig.Take(job_manager::AttemptCommitted{ask->attempt});
  EXPECT_EQ(rig.Job(job).state, JobState::kRunning);
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kStarted);
  rig.Take(job_manager::AttemptCommitted{ask->attempt});  // two answers from one node
  rig.Take(job_manager::AttemptPrepared{ask->attempt});
  EXPECT_EQ(Answers(job), 1u);
  EXPECT_EQ(rig.All<job_manager::CommitAttempt>().size(), 1u);
  rig.Take(job_manager::AttemptFinished{ask->attempt, job_manager::EndReason::kExited, 3, "", {}});
  EXPECT_EQ(rig.Job(job).state, JobState::kComplete);
  EXPECT_EQ(rig.Job(job).exit_status, 3);
  rig.Take(job_manager::AttemptFinished{
      ask->attempt, job_manager::EndReason::kExited, 4, "", {}});  // reported twice
  EXPECT_EQ(rig.Job(job).exit_status, 3);
  EXPECT_EQ(rig.All<job_manager::JobCompleted>().size(), 1u);
}

TEST_F(CoreTest, ARefusalGoesOnToAnotherNodeAndItsReasonIsKept) {
  const std::uint64_t job = rig.Submit(kUnsafe);
  for (int i = 0; i < 3; ++i) {
    const auto ask = *rig.Last<job_manager::PrepareAttempt>();
    rig.Take(job_manager::AttemptRejected{
        ask.attempt, RejectionReason::kNoMemory, "no memory: 1 of 32 free, asked for 4", {}, false});
  }
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kRejected);
  EXPECT_NE(rig.Job(job).comment.find("no memory: 1 of 32 free"), std::string::npos);
  EXPECT_EQ(rig.Job(job).state, JobState::kComplete);
  EXPECT_EQ(Answers(job), 1u);
}

// Between "ready to commit" and the commit nothing can run: the daemon's own word ends the attempt.
TEST_F(CoreTest, ACancelBeforeTheCommitLeavesNothingToStop) {
  const std::uint64_t job = rig.Submit(kKeyed, "k");
  const auto ask = *rig.Last<job_manager::PrepareAttempt>();
  EXPECT_EQ(rig.core.Delete(rig.now, job, "thandi"), CommandResult::kOk);
  rig.Collect();
  EXPECT_EQ(rig.All<job_manager::AbandonAttempt>().size(), 1u);
  rig.Take(job_manager::AttemptPrepared{ask.attempt});  // the yes crosses the cancel
  EXPECT_TRUE(rig.All<job_manager::CommitAttempt>().empty());
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kDeleted);
  EXPECT_EQ(rig.Job(job).state, JobState::kComplete);
  EXPECT_EQ(Answers(job), 1u);
  EXPECT_EQ(rig.core.unsettled(), 0u);
}

// After the commit the node may have said yes: one answer, and the task is stopped until the node tells its
// end.
TEST_F(CoreTest, ACancelAfterTheCommitStopsTheTaskUntilTheNodeTells) {
  const std::uint64_t job = rig.Submit(kKeyed, "k");
  const auto ask = *rig.Last<job_manager::PrepareAttempt>();
  rig.Take(job_manager::AttemptPrepared{ask.attempt});
  rig.core.Delete(rig.now, job, "thandi");
  rig.Collect();
  ASSERT_EQ(rig.All<job_manager::StopAttempt>().size(), 1u);
  EXPECT_EQ(rig.Job(job).state, JobState::kExiting);
  rig.Take(job_manager::AttemptCommitted{ask.attempt});
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kDeleted);
  EXPECT_EQ(Answers(job), 1u);
  rig.Take(job_manager::StopAnswered{ask.attempt, true});
  EXPECT_EQ(rig.Job(job).state, JobState::kExiting);
  rig.Take(job_manager::AttemptFinished{ask.attempt, job_manager::EndReason::kKilled, 271, "", {}});
  EXPECT_EQ(rig.Job(job).state, JobState::kComplete);
  EXPECT_EQ(rig.core.unsettled(), 0u);
}

TEST_F(CoreTest, AStopThatCannotBeDeliveredIsRepeatedWithGrowingPauses) {
  const std::uint64_t job = rig.Submit(kKeyed, "k");
  const auto ask = *rig.Last<job_manager::PrepareAttempt>();
  rig.Take(job_manager::AttemptPrepared{ask.attempt});
  rig.core.Delete(rig.now, job, "thandi");
  rig.Collect();
  std::vector<Micros> times;
  for (int i = 0; i < 6; ++i) {
    rig.Take(job_manager::StopFailed{ask.attempt});
    const std::size_t before = rig.All<job_manager::StopAttempt>().size();
    const Micros from = rig.now;
    while (rig.All<job_manager::StopAttempt>().size() == before) rig.Run(rig.now + 10 * kMs);
    times.push_back(rig.now - from);
  }
  EXPECT_LT(times[0], 600 * kMs);
  EXPECT_GT(times[5], 7 * kSecond);
  EXPECT_LT(times[5], 9 * kSecond);
  rig.Take(job_manager::StopAnswered{ask.attempt, false});
  EXPECT_EQ(rig.Job(job).state, JobState::kComplete);
}

TEST_F(CoreTest, ACommitWithoutReplyIsAskedAfterAndWhatTheNodeDoesNotHaveNeverRan) {
  const std::uint64_t job = rig.Submit(kUnsafe);
  const auto first = *rig.Last<job_manager::PrepareAttempt>();
  rig.Take(job_manager::AttemptPrepared{first.attempt});
  rig.Take(job_manager::AttemptDisconnected{first.attempt, true});
  ASSERT_EQ(rig.All<job_manager::QueryAttempt>().size(), 1u);
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 1u);  // unsafe: nothing goes out while it may run
  rig.Take(job_manager::QueryAnswered{first.attempt, false});
  ASSERT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 2u);  // known not to have run: another node may
  const auto second = *rig.Last<job_manager::PrepareAttempt>();
  EXPECT_NE(second.node, first.node);
  rig.Take(job_manager::AttemptPrepared{second.attempt});
  rig.Take(job_manager::AttemptDisconnected{second.attempt, true});
  rig.Take(job_manager::QueryAnswered{second.attempt, true});
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kStarted);
}

TEST_F(CoreTest, AnUnsafeJobInDoubtToItsDeadlineFailsAndNeverGoesOutAgain) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kUnsafe, spec.queue = "unsafe", spec.service = "s",
  spec.rerunnable = true;
  const std::uint64_t job = rig.Submit(spec);
  const auto ask = *rig.Last<job_manager::PrepareAttempt>();
  rig.Take(job_manager::AttemptPrepared{ask.attempt});
  rig.Take(job_manager::AttemptDisconnected{ask.attempt, true});
  const Micros start = rig.now;
  rig.Run(start + 8 * kSecond);
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kFailed);
  EXPECT_EQ(rig.Job(job).state, JobState::kExiting);  // it may still run: stopped until the node answers
  EXPECT_FALSE(rig.All<job_manager::StopAttempt>().empty());
  rig.Take(job_manager::AttemptFinished{ask.attempt, job_manager::EndReason::kKilled, 271, "", {}});
  EXPECT_EQ(rig.Job(job).state, JobState::kComplete);
  rig.Run(start + 60 * kSecond);
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 1u);
  EXPECT_EQ(Answers(job), 1u);
}

// A keyed repeat must wait until the attempt that may run is settled.
TEST_F(CoreTest, AKeyedRepeatWaitsUntilTheEarlierAttemptIsSettled) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kKeyed, spec.queue = "keyed", spec.service = "s", spec.key = "k";
  spec.rerunnable = true, spec.client_wait = 60 * kSecond;
  const std::uint64_t job = rig.Submit(spec);
  const auto first = *rig.Last<job_manager::PrepareAttempt>();
  rig.Take(job_manager::AttemptPrepared{first.attempt});
  rig.Take(job_manager::AttemptDisconnected{first.attempt, true});
  // Its other tries within the window stay in the group; let them all be refused.
  const Micros start = rig.now;
  for (int i = 0; i < 200; ++i) {
    rig.Run(rig.now + 100 * kMs);
    for (const auto& ask : JobManagerFixture::Of<job_manager::PrepareAttempt>(rig.last)) {
      if (!(ask.attempt == first.attempt))
        rig.Take(job_manager::AttemptRejected{ask.attempt, RejectionReason::kNoCores, "full", {}, false});
    }
  }
  EXPECT_EQ(rig.now, start + 20 * kSecond);
  EXPECT_EQ(rig.Job(job).state, JobState::kWaiting);
  EXPECT_TRUE(rig.Job(job).settling);
  const std::size_t before = rig.All<job_manager::PrepareAttempt>().size();
  rig.Take(job_manager::StopAnswered{first.attempt, false});  // at last the node says that it has nothing
  rig.Run(rig.now + kSecond);
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), before + 1);
  EXPECT_EQ(Answers(job), 0u);
}

// The module takes an offer back from a silent node: before the commit it never ran, so that even an unsafe
// job may go elsewhere at its end; after it, the node is told to stop.
TEST_F(CoreTest, AnOfferTakenBackIsAbandonedOrStopped) {
  job_manager::JobManagerOptions o = Options();
  o.settings.may_cancel = true;
  JobManagerFixture r(o);
  r.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b")});
  r.SyncAll();
  r.Submit(kSafe);
  const auto first = *r.Last<job_manager::PrepareAttempt>();
  r.Run(r.now + 1500 * kMs);
  ASSERT_EQ(r.All<job_manager::AbandonAttempt>().size(), 1u);
  const auto second = *r.Last<job_manager::PrepareAttempt>();
  EXPECT_NE(second.node, first.node);
  r.Clear();
  r.Submit(kKeyed, "k");
  const auto keyed = *r.Last<job_manager::PrepareAttempt>();
  r.Take(job_manager::AttemptPrepared{keyed.attempt});
  r.Run(r.now + 1500 * kMs);
  const auto stops = r.All<job_manager::StopAttempt>();
  ASSERT_FALSE(stops.empty());
  EXPECT_EQ(stops[0].attempt, keyed.attempt);
  EXPECT_EQ(r.core.unsettled(), 1u);
  r.Take(job_manager::AttemptCommitted{
      keyed.attempt});  // it had said yes after all: it is being stopped, and not told
  EXPECT_NE(r.Job(keyed.attempt.job).answer, FinalAnswer::kStarted);
}

// Found by a daemon with a wrong module: the report of an attempt that had been given up closed the request
// while the next attempt was out, and the job never got its answer.
TEST_F(CoreTest, TheEndOfAGivenUpAttemptLeavesTheRequestToTheNextOne) {
  job_manager::JobManagerOptions o = Options();
  o.settings.may_cancel = true;
  for (const job_manager::EndReason reason :
       {job_manager::EndReason::kKilled, job_manager::EndReason::kEvicted}) {
    JobManagerFixture r(o);
    r.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b"), JobManagerFixture::Node("c")});
    r.SyncAll();
    const std::uint64_t job = r.Submit(kSafe);
    const auto first = *r.Last<job_manager::PrepareAttempt>();
    r.Take(job_manager::AttemptPrepared{first.attempt});
    r.Run(r.now + 1500 * kMs);  // silent: taken back, and offered to another
    const auto second = *r.Last<job_manager::PrepareAttempt>();
    ASSERT_FALSE(second.attempt == first.attempt);
    r.Take(job_manager::AttemptFinished{first.attempt, reason, 271, "", {}});
    EXPECT_EQ(r.Job(job).answer, FinalAnswer::kNone);
    r.Take(job_manager::AttemptRejected{second.attempt, RejectionReason::kNoCores, "full", {}, false});
    const auto third = *r.Last<job_manager::PrepareAttempt>();
    ASSERT_FALSE(third.attempt == second.attempt);
    r.Take(job_manager::AttemptPrepared{third.attempt});
    r.Take(job_manager::AttemptCommitted{third.attempt});
    EXPECT_EQ(r.Job(job).answer, FinalAnswer::kStarted);
  }
}

TEST_F(CoreTest, AReadyAfterTheDeadlineIsNotCommitted) {
  const std::uint64_t job = rig.Submit(kSafe);
  const auto ask = *rig.Last<job_manager::PrepareAttempt>();
  rig.now += 9 * kSecond;  // the daemon stood still, and this is the first it reads
  rig.Take(job_manager::AttemptPrepared{ask.attempt});
  EXPECT_TRUE(rig.All<job_manager::CommitAttempt>().empty());
  EXPECT_NE(rig.Job(job).answer, FinalAnswer::kStarted);
}

TEST_F(CoreTest, ACommitThatWaitedInABufferBeyondItsOwnersTimeIsRefused) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kSafe, spec.queue = "safe", spec.client_deadline = rig.now - 1;
  rig.Submit(spec);
  EXPECT_EQ(rig.verdict, CommandResult::kBadState);
  EXPECT_TRUE(rig.All<job_manager::PrepareAttempt>().empty());
}

TEST_F(CoreTest, OneKeyIsOneJobWhileItLivesAndAfterItRan) {
  const auto ask = rig.PlaceNew(kKeyed, "k");
  const std::uint64_t again = rig.Submit(kKeyed, "k");
  EXPECT_EQ(rig.verdict, CommandResult::kExists);
  EXPECT_EQ(again, ask.attempt.job);
  rig.Take(job_manager::AttemptFinished{ask.attempt, job_manager::EndReason::kExited, 0, "", {}});
  rig.Submit(kKeyed, "k");
  EXPECT_EQ(rig.verdict, CommandResult::kExists);
  job_manager::JobSpec other;
  other.user = "sipho", other.task_class = kKeyed, other.queue = "keyed", other.key = "k";
  rig.Submit(other);
  EXPECT_EQ(rig.verdict, CommandResult::kOk);  // keys belong to their users
}

// ---- Repeats at another daemon ----

TEST_F(CoreTest, ARepeatLooksForTheFirstStartAndTakesItAsTheAnswer) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kKeyed, spec.queue = "keyed", spec.key = "k", spec.repeat = true;
  spec.earlier_until = rig.now + 5 * kSecond;
  const std::uint64_t job = rig.Submit(spec);
  EXPECT_EQ(rig.Job(job).state, JobState::kWaiting);
  EXPECT_TRUE(rig.All<job_manager::PrepareAttempt>().empty());
  const auto finds = rig.All<job_manager::FindKey>();
  ASSERT_EQ(finds.size(), 3u);
  job_manager::FindKeyAnswered found;
  found.node = finds[0].node, found.job = job, found.key = "k", found.reached = true, found.found = true;
  found.attempt = {77, 1}, found.server = "d9";
  rig.Take(found);
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kStarted);
  EXPECT_NE(rig.Job(job).comment.find("77.d9"), std::string::npos);
  EXPECT_TRUE(rig.All<job_manager::PrepareAttempt>().empty());
}

TEST_F(CoreTest, ARepeatIsPlacedOnlyWhenNobodyElseCanStartItAnyMore) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kKeyed, spec.queue = "keyed", spec.key = "k", spec.repeat = true;
  spec.earlier_until = rig.now + 3 * kSecond;
  const Micros start = rig.now;
  const std::uint64_t job = rig.Submit(spec);
  Micros asked_at = 0;
  for (int i = 0; i < 70 && asked_at == 0; ++i) {
    for (const auto& f : rig.All<job_manager::FindKey>()) {
      job_manager::FindKeyAnswered none;
      none.node = f.node, none.job = job, none.key = "k", none.reached = true;
      job_manager::NodeMessage m = none;
      rig.core.HandleNodeMessage(rig.now, m);
    }
    rig.Clear();
    rig.Run(rig.now + 100 * kMs);
    if (!rig.All<job_manager::PrepareAttempt>().empty()) asked_at = rig.now;
  }
  ASSERT_NE(asked_at, 0u);
  EXPECT_GE(asked_at, start + 4 * kSecond);  // the first ask's time and the margin of clocks
  EXPECT_LE(asked_at, start + 6 * kSecond);
}

TEST_F(CoreTest, ARepeatThatCannotReachAllNodesIsRefusedInTime) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kUnsafe, spec.queue = "unsafe", spec.key = "k", spec.repeat = true;
  spec.earlier_until = rig.now + kSecond;
  const Micros start = rig.now;
  const std::uint64_t job = rig.Submit(spec);
  rig.Run(start + 9 * kSecond);
  EXPECT_EQ(rig.Job(job).answer, FinalAnswer::kRejected);
  EXPECT_TRUE(rig.All<job_manager::PrepareAttempt>().empty());
  EXPECT_LE(rig.Job(job).ended, start + 8 * kSecond + 300 * kMs);
}

// ---- Nodes ----

TEST_F(CoreTest, ARestartedDaemonAdoptsWhatItFindsAndStartsNothingTwice) {
  JobManagerFixture fresh;
  fresh.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b")});
  const auto syncs = fresh.All<job_manager::ReconcileNode>();
  ASSERT_EQ(syncs.size(), 2u);
  job_manager::ReportedAttempt held;
  held.attempt = {5000, 2};
  held.spec.user = "thandi", held.spec.task_class = kKeyed, held.spec.queue = "keyed", held.spec.key = "k";
  held.spec.service = "stock";
  fresh.Take(job_manager::NodeReconciled{syncs[0].node, 0, {held}});
  const job_manager::Job* job = fresh.core.Find(5000);
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->state, JobState::kRunning);
  EXPECT_TRUE(job->adopted);
  fresh.Submit(kKeyed, "k");  // the owner asks again
  EXPECT_EQ(fresh.verdict, CommandResult::kExists);
  EXPECT_TRUE(fresh.All<job_manager::PrepareAttempt>().empty());
  fresh.Take(job_manager::AttemptFinished{held.attempt, job_manager::EndReason::kExited, 0, "", {}});
  EXPECT_EQ(fresh.Job(5000).state, JobState::kComplete);
}

TEST_F(CoreTest, NumbersDoNotRepeatOverRestarts) {
  JobManagerFixture first;
  std::uint64_t last = 0;
  for (int i = 0; i < 1000; ++i) last = first.core.NewJobNumber();
  job_manager::JobManager second(Options(), 7, first.now + 10 * kSecond);
  EXPECT_GT(second.NewJobNumber(), last);
}

TEST_F(CoreTest, ANodeThatStartsAnewLosesItsTasksAndASafeJobComesAgain) {
  const auto ask = rig.PlaceNew(kSafe, "", true);
  const std::string name = rig.core.FindNode(ask.node)->name;
  const auto other = rig.PlaceNew(kKeyed, "", false);
  rig.Clear();
  rig.List({JobManagerFixture::Node(name, "rack1", rig.now)}, NodeListKind::kDelta);
  EXPECT_EQ(rig.Job(ask.attempt.job).state, JobState::kWaiting);
  EXPECT_EQ(rig.Job(ask.attempt.job).answer, FinalAnswer::kStarted);  // the one answer stands
  rig.Run(rig.now + 2 * kSecond);
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 1u);
  if (other.node == ask.node) {
    EXPECT_EQ(rig.Job(other.attempt.job).state, JobState::kComplete);
  }
}

// The node itself tells its start seconds before the list does; the module must learn that it is cold.
TEST_F(CoreTest, ANodesOwnWordOnItsStartCountsBeforeTheListAndIsNotUndoneByIt) {
  const auto ask = rig.PlaceNew(kSafe);
  rig.Take(job_manager::ReconcileFailed{ask.node});
  rig.Run(rig.now + 2 * kSecond);
  rig.Take(job_manager::NodeReconciled{ask.node, rig.now, {}});
  EXPECT_EQ(rig.Job(ask.attempt.job).state, JobState::kComplete);  // lost with its node; not rerunnable
  const Micros started = rig.core.FindNode(ask.node)->started;
  EXPECT_EQ(started, rig.now);
  rig.List({JobManagerFixture::Node(rig.core.FindNode(ask.node)->name, "rack1", 0)}, NodeListKind::kDelta);
  EXPECT_EQ(rig.core.FindNode(ask.node)->started, started);
}

TEST_F(CoreTest, AGoneNodesKeyedTaskIsStoppedAndSettledAfterTheOwnersWait) {
  const auto ask = rig.PlaceNew(kKeyed, "k", true);
  rig.Clear();
  job_manager::ListedNode gone = *rig.core.FindNode(ask.node);
  gone.state = NodeState::kGone;
  const Micros start = rig.now;
  rig.List({gone}, NodeListKind::kDelta);
  EXPECT_EQ(rig.All<job_manager::StopAttempt>().size(), 1u);
  rig.Run(start + 2900 * kMs);
  EXPECT_TRUE(rig.All<job_manager::PrepareAttempt>().empty());  // it may run on behind a broken network
  rig.Run(start + 6 * kSecond);
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 1u);
}

TEST_F(CoreTest, AJobOnADrainingNodeThatIsSentAwayComesAgainElsewhere) {
  const auto ask = rig.PlaceNew(kKeyed, "k", true);
  rig.Clear();
  rig.Take(job_manager::AttemptFinished{ask.attempt, job_manager::EndReason::kDrained, 271, "sent away", {}});
  rig.Run(rig.now + kSecond);
  ASSERT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 1u);
  EXPECT_NE(rig.Last<job_manager::PrepareAttempt>()->node, ask.node);
}

TEST_F(CoreTest, ThousandsOfNodesAreAskedAFewAtATimeAndEachInTheEnd) {
  job_manager::JobManagerOptions o = Options();
  o.limits.syncs = 10;
  JobManagerFixture r(o);
  std::vector<job_manager::ListedNode> nodes;
  for (int i = 0; i < 100; ++i) nodes.push_back(JobManagerFixture::Node("m" + std::to_string(i)));
  r.List(nodes);
  EXPECT_EQ(r.All<job_manager::ReconcileNode>().size(), 10u);
  std::set<NodeId> asked;
  for (std::size_t at = 0; at < r.All<job_manager::ReconcileNode>().size(); ++at) {
    const NodeId id = r.All<job_manager::ReconcileNode>()[at].node;
    asked.insert(id);
    const std::size_t before = r.All<job_manager::ReconcileNode>().size();
    if (at % 3 == 0) {
      r.Take(job_manager::ReconcileFailed{id});
      r.Take(job_manager::ReconcileFailed{id});  // told twice: its turn is given on once
    } else {
      r.Take(job_manager::NodeReconciled{id, 0, {}});
    }
    EXPECT_LE(r.All<job_manager::ReconcileNode>().size(), before + 1);
    EXPECT_LE(r.All<job_manager::ReconcileNode>().size(), at + 11);
  }
  EXPECT_EQ(asked.size(), 100u);
  r.Clear();
  r.Run(r.now + 2 * kSecond);  // those that failed are asked again
  EXPECT_GE(r.All<job_manager::ReconcileNode>().size(), 10u);
}

// ---- Holds, times, users, bounds ----

TEST_F(CoreTest, AHoldAndAStartTimeKeepAJobOutOfTheModule) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kSafe, spec.queue = "safe", spec.hold = "u";
  spec.due = rig.now + 10 * kSecond;
  const std::uint64_t job = rig.Submit(spec);
  EXPECT_EQ(rig.Job(job).state, JobState::kHeld);
  rig.Run(rig.now + 20 * kSecond);
  EXPECT_TRUE(rig.All<job_manager::PrepareAttempt>().empty());
  EXPECT_EQ(rig.core.Release(rig.now, job, "thandi", "u"), CommandResult::kOk);
  rig.Collect();
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 1u);
  spec.hold.clear();
  spec.due = rig.now + 5 * kSecond;
  const std::uint64_t later = rig.Submit(spec);
  EXPECT_EQ(rig.Job(later).state, JobState::kWaiting);
  rig.Run(spec.due);
  EXPECT_EQ(rig.All<job_manager::PrepareAttempt>().size(), 2u);
}

TEST_F(CoreTest, OneUserCannotTouchAnothersJob) {
  const std::uint64_t job = rig.Submit(kSafe);
  EXPECT_EQ(rig.core.Delete(rig.now, job, "sipho"), CommandResult::kPermission);
  EXPECT_EQ(rig.core.Hold(rig.now, job, "sipho", "u"), CommandResult::kPermission);
  EXPECT_EQ(rig.core.Signal(rig.now, job, "sipho", "TERM"), CommandResult::kPermission);
  EXPECT_EQ(rig.core.Rerun(rig.now, job, "sipho"), CommandResult::kPermission);
  EXPECT_EQ(rig.core.Delete(rig.now, job + 1, "sipho"), CommandResult::kUnknownJob);
  EXPECT_EQ(rig.core.Delete(rig.now, job, ""), CommandResult::kOk);  // the operator
}

TEST_F(CoreTest, AtItsBoundTheTableRefusesAndTheHistoryForgetsTheOldest) {
  job_manager::JobManagerOptions o = Options();
  o.limits.jobs = 2;
  o.limits.history = 3;
  JobManagerFixture small(o);
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < 2; ++i) {
    job_manager::JobSpec spec;
    spec.user = "thandi", spec.task_class = kSafe, spec.queue = "safe", spec.hold = "u";
    jobs.push_back(small.Submit(spec));
  }
  small.Submit(kSafe);
  EXPECT_EQ(small.verdict, CommandResult::kFull);
  for (const std::uint64_t job : jobs) small.core.Delete(small.now, job, "");
  for (int i = 0; i < 5; ++i) jobs.push_back(small.Submit(kSafe));  // no node: each is refused at once
  EXPECT_EQ(small.core.Count().complete, 3u);
  EXPECT_EQ(small.core.Find(jobs[0]), nullptr);
  EXPECT_NE(small.core.Find(jobs.back()), nullptr);
  EXPECT_EQ(small.Job(jobs.back()).answer, FinalAnswer::kRejected);
}

TEST_F(CoreTest, ScriptsCountAgainstTheirBound) {
  job_manager::JobManagerOptions o = Options();
  o.limits.script_bytes = 1000;
  JobManagerFixture small(o);
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = kSafe, spec.queue = "safe", spec.hold = "u";
  spec.script = std::string(600, 'x');
  const std::uint64_t job = small.Submit(spec);
  small.Submit(spec);
  EXPECT_EQ(small.verdict, CommandResult::kFull);
  small.core.Delete(small.now, job, "");
  small.Submit(spec);
  EXPECT_EQ(small.verdict, CommandResult::kOk);  // what is complete counts no more
}

TEST_F(CoreTest, EqualEventsGiveEqualOutputs) {
  const auto play = [] {
    JobManagerFixture r;
    r.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b"), JobManagerFixture::Node("c"),
            JobManagerFixture::Node("d")});
    r.SyncAll();
    std::string trace;
    for (int i = 0; i < 50; ++i) {
      r.Submit(i % 3u, "", true);
      const auto ask = r.Last<job_manager::PrepareAttempt>();
      if (ask && i % 4 == 0)
        r.Take(job_manager::AttemptRejected{ask->attempt, RejectionReason::kNoCores, "full", {}, false});
      if (ask && i % 4 == 1) r.Take(job_manager::AttemptPrepared{ask->attempt});
      r.Run(r.now + 130 * kMs);
      for (const auto& a : r.All<job_manager::PrepareAttempt>()) trace += std::to_string(a.node) + ",";
      r.Clear();
    }
    return trace;
  };
  const std::string once = play();
  EXPECT_GT(once.size(), 100u);
  EXPECT_EQ(once, play());
}

}  // namespace
}  // namespace mountflow::testing
