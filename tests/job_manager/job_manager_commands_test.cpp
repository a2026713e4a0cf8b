// Commands of users and operators.
#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

class CommandsTest : public JobManagerTest {};

TEST_F(CommandsTest, DoesNotRequestAJobThatIsHeldOrNotDue) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kIdempotent, spec.queue = "safe", spec.hold = "u";
  spec.due = fixture.now + 10 * kSecond;
  const std::uint64_t job = fixture.Submit(spec);
  EXPECT_EQ(fixture.Job(job).state, JobState::kHeld);
  fixture.Run(fixture.now + 20 * kSecond);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());
  EXPECT_EQ(fixture.job_manager.Release(fixture.now, job, "thandi", "u"), CommandResult::kOk);
  fixture.Collect();
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
  spec.hold.clear();
  spec.due = fixture.now + 5 * kSecond;
  const std::uint64_t later = fixture.Submit(spec);
  EXPECT_EQ(fixture.Job(later).state, JobState::kWaiting);
  fixture.Run(spec.due);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 2u);
}

TEST_F(CommandsTest, RejectsCommandsOnAnotherUsersJob) {
  const std::uint64_t job = fixture.Submit(kIdempotent);
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, job, "sipho"), CommandResult::kPermission);
  EXPECT_EQ(fixture.job_manager.Hold(fixture.now, job, "sipho", "u"), CommandResult::kPermission);
  EXPECT_EQ(fixture.job_manager.Signal(fixture.now, job, "sipho", "TERM"), CommandResult::kPermission);
  EXPECT_EQ(fixture.job_manager.Rerun(fixture.now, job, "sipho"), CommandResult::kPermission);
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, job + 1, "sipho"), CommandResult::kUnknownJob);
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, job, ""), CommandResult::kOk);  // the operator
}

TEST_F(CommandsTest, RerunsOnlyARunningJobThatMayRunTwice) {
  const auto once = fixture.SubmitAndStart(kIdempotent);
  EXPECT_EQ(fixture.job_manager.Rerun(fixture.now, once.attempt.job, "thandi"), CommandResult::kBadState);
  const auto again = fixture.SubmitAndStart(kIdempotent, "", true);
  EXPECT_EQ(fixture.job_manager.Rerun(fixture.now, again.attempt.job, "thandi"), CommandResult::kOk);
  fixture.Collect();
  EXPECT_EQ(fixture.Job(again.attempt.job).state, JobState::kExiting);
  EXPECT_EQ(fixture.Last<StopAttempt>()->attempt, again.attempt);
  EXPECT_EQ(fixture.job_manager.Rerun(fixture.now, again.attempt.job, "thandi"), CommandResult::kNotRunning);
  fixture.Clear();
  fixture.Take(AttemptFinished{again.attempt, EndReason::kKilled, 271, "", {}});
  EXPECT_EQ(fixture.Job(again.attempt.job).state, JobState::kWaiting);
  fixture.Run(fixture.now + kSecond);
  EXPECT_EQ(fixture.Last<PrepareAttempt>()->attempt.job, again.attempt.job);
}

TEST_F(CommandsTest, SignalsOnlyARunningJob) {
  const auto running = fixture.SubmitAndStart(kIdempotent);
  EXPECT_EQ(fixture.job_manager.Signal(fixture.now, running.attempt.job, "thandi", "SIGUSR1"),
            CommandResult::kOk);
  fixture.Collect();
  ASSERT_TRUE(fixture.Last<SignalAttempt>());
  EXPECT_EQ(fixture.Last<SignalAttempt>()->attempt, running.attempt);
  EXPECT_EQ(fixture.Last<SignalAttempt>()->signal, "SIGUSR1");
  const std::uint64_t queued = fixture.Submit(kIdempotent);
  EXPECT_EQ(fixture.job_manager.Signal(fixture.now, queued, "thandi", "SIGUSR1"), CommandResult::kNotRunning);
}

TEST_F(CommandsTest, AltersOnlyAJobThatIsNotRequested) {
  const auto change = [](JobSpec* spec) {
    spec->priority += 1;
    return spec->priority < 2;
  };
  const std::uint64_t queued = fixture.Submit(kIdempotent);
  EXPECT_EQ(fixture.job_manager.Alter(fixture.now, queued, "thandi", change), CommandResult::kBadState);
  JobSpec held;
  held.user = "thandi", held.task_class = kIdempotent, held.queue = "safe", held.hold = "u";
  const std::uint64_t job = fixture.Submit(held);
  EXPECT_EQ(fixture.job_manager.Alter(fixture.now, job, "thandi", change), CommandResult::kOk);
  EXPECT_EQ(fixture.Job(job).spec->priority, 1);
  EXPECT_EQ(fixture.job_manager.Alter(fixture.now, job, "thandi", change), CommandResult::kBadValue);
  EXPECT_EQ(fixture.Job(job).spec->priority, 1);
}

TEST_F(CommandsTest, DeletesAJobOnce) {
  const auto running = fixture.SubmitAndStart(kIdempotent);
  fixture.Clear();
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, running.attempt.job, "thandi"), CommandResult::kOk);
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, running.attempt.job, "thandi"), CommandResult::kOk);
  fixture.Collect();
  EXPECT_EQ(fixture.All<StopAttempt>().size(), 1u);
  fixture.Take(AttemptFinished{running.attempt, EndReason::kKilled, 271, "", {}});
  EXPECT_EQ(fixture.job_manager.Delete(fixture.now, running.attempt.job, "thandi"), CommandResult::kBadState);
}

}  // namespace
}  // namespace mountflow::testing
