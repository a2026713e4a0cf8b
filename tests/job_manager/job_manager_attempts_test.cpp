// Attempts: each job gets one final answer, and no second attempt starts while an earlier one may still run.
#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

class AttemptsTest : public JobManagerTest {};

TEST_F(AttemptsTest, PreparesCommitsAndAnswersAJobOnce) {
  const std::uint64_t job = fixture.Submit(kIdempotent);
  const auto prepare = fixture.Last<PrepareAttempt>();
  ASSERT_TRUE(prepare);
  EXPECT_EQ(fixture.Job(job).state, JobState::kQueued);
  EXPECT_TRUE(fixture.All<CommitAttempt>().empty());
  fixture.Take(AttemptPrepared{prepare->attempt});
  ASSERT_EQ(fixture.All<CommitAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kNone);
  fixture.Take(AttemptCommitted{prepare->attempt});
  EXPECT_EQ(fixture.Job(job).state, JobState::kRunning);
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kStarted);
  fixture.Take(AttemptCommitted{prepare->attempt});  // the node answers twice
  fixture.Take(AttemptPrepared{prepare->attempt});
  EXPECT_EQ(fixture.Answers(job), 1u);
  EXPECT_EQ(fixture.All<CommitAttempt>().size(), 1u);
  fixture.Take(AttemptFinished{prepare->attempt, EndReason::kExited, 3, "", {}});
  EXPECT_EQ(fixture.Job(job).state, JobState::kComplete);
  EXPECT_EQ(fixture.Job(job).exit_status, 3);
  fixture.Take(AttemptFinished{prepare->attempt, EndReason::kExited, 4, "", {}});  // a second report
  EXPECT_EQ(fixture.Job(job).exit_status, 3);
  EXPECT_EQ(fixture.All<JobCompleted>().size(), 1u);
}

TEST_F(AttemptsTest, TriesAnotherNodeAfterARejectionAndKeepsItsReason) {
  const std::uint64_t job = fixture.Submit(kNotIdempotent);
  for (int i = 0; i < 3; ++i) {
    const auto prepare = *fixture.Last<PrepareAttempt>();
    fixture.Take(AttemptRejected{
        prepare.attempt, RejectionReason::kNoMemory, "no memory: 1 of 32 free, asked for 4", {}, false});
  }
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kRejected);
  EXPECT_NE(fixture.Job(job).comment.find("no memory: 1 of 32 free"), std::string::npos);
  EXPECT_EQ(fixture.Job(job).state, JobState::kComplete);
  EXPECT_EQ(fixture.Answers(job), 1u);
}

// An attempt cannot run before its commit, so the daemon ends it without the node's answer.
TEST_F(AttemptsTest, AbandonsAnAttemptThatIsCancelledBeforeItsCommit) {
  const std::uint64_t job = fixture.Submit(kWithKey, "k");
  const auto prepare = *fixture.Last<PrepareAttempt>();
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, job, "thandi"), CommandResult::kOk);
  fixture.Collect();
  EXPECT_EQ(fixture.All<AbandonAttempt>().size(), 1u);
  fixture.Take(AttemptPrepared{prepare.attempt});  // the node answered before it received the cancellation
  EXPECT_TRUE(fixture.All<CommitAttempt>().empty());
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kDeleted);
  EXPECT_EQ(fixture.Job(job).state, JobState::kComplete);
  EXPECT_EQ(fixture.Answers(job), 1u);
  EXPECT_EQ(fixture.job_manager.stopping_attempts(), 0u);
}

// After the commit the node may have accepted the attempt. The job gets one answer, and stop requests are
// repeated until the node reports the end.
TEST_F(AttemptsTest, StopsATaskThatIsCancelledAfterItsCommitUntilTheNodeReportsItsEnd) {
  const std::uint64_t job = fixture.Submit(kWithKey, "k");
  const auto prepare = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{prepare.attempt});
  fixture.job_manager.Delete(fixture.now, job, "thandi");
  fixture.Collect();
  ASSERT_EQ(fixture.All<StopAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Job(job).state, JobState::kExiting);
  fixture.Take(AttemptCommitted{prepare.attempt});
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kDeleted);
  EXPECT_EQ(fixture.Answers(job), 1u);
  fixture.Take(StopAnswered{prepare.attempt, true});
  EXPECT_EQ(fixture.Job(job).state, JobState::kExiting);
  fixture.Take(AttemptFinished{prepare.attempt, EndReason::kKilled, 271, "", {}});
  EXPECT_EQ(fixture.Job(job).state, JobState::kComplete);
  EXPECT_EQ(fixture.job_manager.stopping_attempts(), 0u);
}

TEST_F(AttemptsTest, RepeatsAStopThatCannotBeDeliveredWithBackoff) {
  const std::uint64_t job = fixture.Submit(kWithKey, "k");
  const auto prepare = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{prepare.attempt});
  fixture.job_manager.Delete(fixture.now, job, "thandi");
  fixture.Collect();
  std::vector<Micros> times;
  for (int i = 0; i < 6; ++i) {
    fixture.Take(StopFailed{prepare.attempt});
    const std::size_t before = fixture.All<StopAttempt>().size();
    const Micros from = fixture.now;
    while (fixture.All<StopAttempt>().size() == before) fixture.Run(fixture.now + 10 * kMs);
    times.push_back(fixture.now - from);
  }
  EXPECT_LT(times[0], 600 * kMs);
  EXPECT_GT(times[5], 7 * kSecond);
  EXPECT_LT(times[5], 9 * kSecond);
  fixture.Take(StopAnswered{prepare.attempt, false, 0});
  EXPECT_EQ(fixture.Job(job).state, JobState::kComplete);
}

TEST_F(AttemptsTest, QueriesACommitWithoutReplyAndTriesAnotherNodeIfItNeverRan) {
  const std::uint64_t job = fixture.Submit(kNotIdempotent);
  const auto first = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{first.attempt});
  fixture.Take(AttemptDisconnected{first.attempt, true});
  ASSERT_EQ(fixture.All<QueryAttempt>().size(), 1u);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);  // no other attempt starts while it may run
  fixture.Take(QueryAnswered{first.attempt, false, 0});
  ASSERT_EQ(fixture.All<PrepareAttempt>().size(), 2u);  // it did not run, so another node is tried
  const auto second = *fixture.Last<PrepareAttempt>();
  EXPECT_NE(second.node, first.node);
  fixture.Take(AttemptPrepared{second.attempt});
  fixture.Take(AttemptDisconnected{second.attempt, true});
  fixture.Take(QueryAnswered{second.attempt, true});
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kStarted);
}

// Guards against a task that runs twice: its node started it, died before it could answer, and came back. The
// new process does not know the attempt, which proves nothing about the process that got it.
TEST_F(AttemptsTest, AnAnswerOfAnotherProcessOfTheNodeDoesNotShowThatAnAttemptNeverRan) {
  constexpr Micros kStarted = 500 * kSecond;
  struct Case {
    std::optional<Micros> process_started;
    bool is_proof;
  };
  // The same process; a later one; a later one whose clock went back; an agent that does not say. The nodes
  // are warm from the beginning, so the node list shows no restart.
  for (const Case& answer : {Case{kStarted, true}, Case{kStarted + kSecond, false},
                             Case{kStarted - kSecond, false}, Case{std::nullopt, false}}) {
    for (const unsigned task_class : {kNotIdempotent, kIdempotent}) {
      JobManagerFixture nodes;
      nodes.List({JobManagerFixture::Node("a", "rack-a"), JobManagerFixture::Node("b", "rack-b")});
      nodes.ReconcileAll(0, kStarted);
      const std::uint64_t job = nodes.Submit(task_class);
      const auto first = *nodes.Last<PrepareAttempt>();
      nodes.Take(AttemptPrepared{first.attempt});
      nodes.Take(AttemptDisconnected{first.attempt, true});
      const std::size_t before = nodes.All<PrepareAttempt>().size();
      nodes.Take(QueryAnswered{first.attempt, false, answer.process_started});
      const bool runs_again = answer.is_proof || task_class == kIdempotent;
      EXPECT_EQ(nodes.All<PrepareAttempt>().size(), before + (runs_again ? 1 : 0)) << task_class;
      EXPECT_EQ(nodes.Job(job).answer, runs_again ? FinalAnswer::kNone : FinalAnswer::kFailed);
      nodes.Run(nodes.now + 60 * kSecond);
      if (!runs_again) {
        EXPECT_EQ(nodes.All<PrepareAttempt>().size(), before);
      }
    }
  }
}

TEST_F(AttemptsTest, FailsATaskNotIdempotentThatIsInDoubtAtItsDeadline) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kNotIdempotent, spec.queue = "unsafe", spec.service = "s",
  spec.rerunnable = true;
  const std::uint64_t job = fixture.Submit(spec);
  const auto prepare = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{prepare.attempt});
  fixture.Take(AttemptDisconnected{prepare.attempt, true});
  const Micros start = fixture.now;
  fixture.Run(start + 8 * kSecond);
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kFailed);
  EXPECT_EQ(fixture.Job(job).state, JobState::kExiting);  // it may still run; it is being stopped
  EXPECT_FALSE(fixture.All<StopAttempt>().empty());
  fixture.Take(AttemptFinished{prepare.attempt, EndReason::kKilled, 271, "", {}});
  EXPECT_EQ(fixture.Job(job).state, JobState::kComplete);
  fixture.Run(start + 60 * kSecond);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Answers(job), 1u);
}

// A retry of a task with a key must wait until it is known whether the earlier attempt runs.
TEST_F(AttemptsTest, RetriesATaskWithKeyOnlyOnceTheEarlierAttemptHasEnded) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kWithKey, spec.queue = "keyed", spec.service = "s", spec.key = "k";
  spec.rerunnable = true, spec.client_wait = 60 * kSecond;
  const std::uint64_t job = fixture.Submit(spec);
  const auto first = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{first.attempt});
  fixture.Take(AttemptDisconnected{first.attempt, true});
  // Within the deduplication window other attempts go to the same rack; all of them are rejected.
  const Micros start = fixture.now;
  for (int i = 0; i < 200; ++i) {
    fixture.Run(fixture.now + 100 * kMs);
    for (const auto& prepare : JobManagerFixture::Of<PrepareAttempt>(fixture.last)) {
      if (!(prepare.attempt == first.attempt))
        fixture.Take(AttemptRejected{prepare.attempt, RejectionReason::kNoCores, "full", {}, false});
    }
  }
  EXPECT_EQ(fixture.now, start + 20 * kSecond);
  EXPECT_EQ(fixture.Job(job).state, JobState::kWaiting);
  EXPECT_TRUE(fixture.Job(job).awaiting_attempts);
  const std::size_t before = fixture.All<PrepareAttempt>().size();
  fixture.Take(StopAnswered{first.attempt, false, 0});  // the node answers that it does not have the attempt
  fixture.Run(fixture.now + kSecond);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), before + 1);
  EXPECT_EQ(fixture.Answers(job), 0u);
}

// The scheduler cancels an attempt at a node that does not answer. Before the commit the attempt cannot have
// run, so even a task that is not idempotent may start at another node. After the commit, the node gets a
// stop request.
TEST_F(AttemptsTest, AbandonsOrStopsAnAttemptThatTheSchedulerCancels) {
  JobManagerOptions options = Options();
  options.settings.may_cancel = true;
  JobManagerFixture other(options);
  other.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b")});
  other.ReconcileAll();
  other.Submit(kIdempotent);
  const auto first = *other.Last<PrepareAttempt>();
  other.Run(other.now + 1500 * kMs);
  ASSERT_EQ(other.All<AbandonAttempt>().size(), 1u);
  const auto second = *other.Last<PrepareAttempt>();
  EXPECT_NE(second.node, first.node);
  other.Clear();
  other.Submit(kWithKey, "k");
  const auto keyed = *other.Last<PrepareAttempt>();
  other.Take(AttemptPrepared{keyed.attempt});
  other.Run(other.now + 1500 * kMs);
  const auto stops = other.All<StopAttempt>();
  ASSERT_FALSE(stops.empty());
  EXPECT_EQ(stops[0].attempt, keyed.attempt);
  EXPECT_EQ(other.job_manager.stopping_attempts(), 1u);
  // The node has accepted the attempt after all. It is being stopped, so the job is not answered as started.
  other.Take(AttemptCommitted{keyed.attempt});
  EXPECT_NE(other.Job(keyed.attempt.job).answer, FinalAnswer::kStarted);
}

// Guards against the end of an abandoned attempt closing the request while the next attempt is in flight, so
// that the job never gets its answer. A broken scheduler revealed this fault.
TEST_F(AttemptsTest, KeepsTheRequestOpenWhenAnAbandonedAttemptEnds) {
  JobManagerOptions options = Options();
  options.settings.may_cancel = true;
  for (const EndReason reason : {EndReason::kKilled, EndReason::kEvicted}) {
    JobManagerFixture other(options);
    other.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b"), JobManagerFixture::Node("c")});
    other.ReconcileAll();
    const std::uint64_t job = other.Submit(kIdempotent);
    const auto first = *other.Last<PrepareAttempt>();
    other.Take(AttemptPrepared{first.attempt});
    other.Run(other.now + 1500 * kMs);  // no answer: cancelled, and another node is tried
    const auto second = *other.Last<PrepareAttempt>();
    ASSERT_FALSE(second.attempt == first.attempt);
    other.Take(AttemptFinished{first.attempt, reason, 271, "", {}});
    EXPECT_EQ(other.Job(job).answer, FinalAnswer::kNone);
    other.Take(AttemptRejected{second.attempt, RejectionReason::kNoCores, "full", {}, false});
    const auto third = *other.Last<PrepareAttempt>();
    ASSERT_FALSE(third.attempt == second.attempt);
    other.Take(AttemptPrepared{third.attempt});
    other.Take(AttemptCommitted{third.attempt});
    EXPECT_EQ(other.Job(job).answer, FinalAnswer::kStarted);
  }
}

TEST_F(AttemptsTest, DoesNotCommitAnAttemptPreparedAfterItsDeadline) {
  const std::uint64_t job = fixture.Submit(kIdempotent);
  const auto prepare = *fixture.Last<PrepareAttempt>();
  fixture.now += 9 * kSecond;  // the daemon was suspended, and this is the first message that it reads
  fixture.Take(AttemptPrepared{prepare.attempt});
  EXPECT_TRUE(fixture.All<CommitAttempt>().empty());
  EXPECT_NE(fixture.Job(job).answer, FinalAnswer::kStarted);
}

}  // namespace
}  // namespace mountflow::testing
