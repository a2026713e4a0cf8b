// Acceptance and rejection of submissions, and their bounds.
#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

class SubmissionsTest : public JobManagerTest {};

TEST_F(SubmissionsTest, RejectsASubmissionWhoseCommitWasReadAfterTheClientsDeadline) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kIdempotent, spec.queue = "safe",
  spec.client_deadline = fixture.now - 1;
  fixture.Submit(spec);
  EXPECT_EQ(fixture.command_result, CommandResult::kBadState);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());
}

TEST_F(SubmissionsTest, RejectsASecondSubmissionOfAKeyWhileItsJobRunsAndAfterwards) {
  const auto prepare = fixture.SubmitAndStart(kWithKey, "k");
  const std::uint64_t again = fixture.Submit(kWithKey, "k");
  EXPECT_EQ(fixture.command_result, CommandResult::kExists);
  EXPECT_EQ(again, prepare.attempt.job);
  fixture.Take(AttemptFinished{prepare.attempt, EndReason::kExited, 0, "", {}});
  fixture.Submit(kWithKey, "k");
  EXPECT_EQ(fixture.command_result, CommandResult::kExists);
  JobSpec other;
  other.user = "sipho", other.task_class = kWithKey, other.queue = "keyed", other.key = "k";
  fixture.Submit(other);
  EXPECT_EQ(fixture.command_result, CommandResult::kOk);  // keys are separate for each user
}

TEST_F(SubmissionsTest, DoesNotRepeatNumbersOverRestarts) {
  JobManagerFixture first;
  std::uint64_t last = 0;
  for (int i = 0; i < 1000; ++i) last = first.job_manager.NewJobNumber();
  JobManager second(Options(), 7, first.now + 10 * kSecond);
  EXPECT_GT(second.NewJobNumber(), last);
}

TEST_F(SubmissionsTest, RejectsJobsBeyondTheBoundAndForgetsTheOldestOfTheHistory) {
  JobManagerOptions options = Options();
  options.limits.jobs = 2;
  options.limits.history = 3;
  JobManagerFixture bounded(options);
  std::vector<std::uint64_t> jobs;
  for (int i = 0; i < 2; ++i) {
    JobSpec spec;
    spec.user = "thandi", spec.task_class = kIdempotent, spec.queue = "safe", spec.hold = "u";
    jobs.push_back(bounded.Submit(spec));
  }
  bounded.Submit(kIdempotent);
  EXPECT_EQ(bounded.command_result, CommandResult::kFull);
  for (const std::uint64_t job : jobs) bounded.job_manager.Delete(bounded.now, job, "");
  for (int i = 0; i < 5; ++i)
    jobs.push_back(bounded.Submit(kIdempotent));  // without a node each is rejected at once
  EXPECT_EQ(bounded.job_manager.Count().complete, 3u);
  EXPECT_EQ(bounded.job_manager.Find(jobs[0]), nullptr);
  EXPECT_NE(bounded.job_manager.Find(jobs.back()), nullptr);
  EXPECT_EQ(bounded.Job(jobs.back()).answer, FinalAnswer::kRejected);
}

TEST_F(SubmissionsTest, CountsScriptsOfLiveJobsAgainstTheirBound) {
  JobManagerOptions options = Options();
  options.limits.script_bytes = 1000;
  JobManagerFixture bounded(options);
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kIdempotent, spec.queue = "safe", spec.hold = "u";
  spec.script = std::string(600, 'x');
  const std::uint64_t job = bounded.Submit(spec);
  bounded.Submit(spec);
  EXPECT_EQ(bounded.command_result, CommandResult::kFull);
  bounded.job_manager.Delete(bounded.now, job, "");
  bounded.Submit(spec);
  EXPECT_EQ(bounded.command_result, CommandResult::kOk);  // complete jobs do not count
}

TEST_F(SubmissionsTest, GivesEqualOutputsForEqualInputs) {
  const auto play = [] {
    JobManagerFixture other;
    other.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b"), JobManagerFixture::Node("c"),
                JobManagerFixture::Node("d")});
    other.ReconcileAll();
    std::string trace;
    for (int i = 0; i < 50; ++i) {
      other.Submit(i % 3u, "", true);
      const auto prepare = other.Last<PrepareAttempt>();
      if (prepare && i % 4 == 0)
        other.Take(AttemptRejected{prepare->attempt, RejectionReason::kNoCores, "full", {}, false});
      if (prepare && i % 4 == 1) other.Take(AttemptPrepared{prepare->attempt});
      other.Run(other.now + 130 * kMs);
      for (const auto& a : other.All<PrepareAttempt>()) trace += std::to_string(a.node) + ",";
      other.Clear();
    }
    return trace;
  };
  const std::string once = play();
  EXPECT_GT(once.size(), 100u);
  EXPECT_EQ(once, play());
}

TEST_F(SubmissionsTest, RejectsWithTheReasonOfTheAdmissionCheckOrOfTheDaemon) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kIdempotent, spec.queue = "safe";
  fixture.job_manager.SetAdmissionCheck(
      [](const JobSpec& checked) { return checked.cores > 1 ? "too many cores" : ""; });
  spec.cores = 2;
  const SubmitResult checked =
      fixture.job_manager.Submit(fixture.now, fixture.job_manager.NewJobNumber(), spec);
  EXPECT_EQ(checked.command_result, CommandResult::kFull);
  EXPECT_EQ(checked.reason, "too many cores");
  spec.cores = 1;
  fixture.job_manager.RejectNewJobs("the disk is full");
  const SubmitResult rejected =
      fixture.job_manager.Submit(fixture.now, fixture.job_manager.NewJobNumber(), spec);
  EXPECT_EQ(rejected.command_result, CommandResult::kFull);
  EXPECT_EQ(rejected.reason, "the disk is full");
  fixture.job_manager.RejectNewJobs("");
  fixture.Submit(spec);
  EXPECT_EQ(fixture.command_result, CommandResult::kOk);
  fixture.job_manager.StopAccepting();
  fixture.Submit(spec);
  EXPECT_EQ(fixture.command_result, CommandResult::kStopping);
}

TEST_F(SubmissionsTest, RejectsAnUnknownClassAndANumberInUse) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = 3;
  fixture.Submit(spec);
  EXPECT_EQ(fixture.command_result, CommandResult::kBadValue);
  spec.task_class = kIdempotent, spec.hold = "u";
  const std::uint64_t number = fixture.Submit(spec);
  EXPECT_EQ(fixture.job_manager.Submit(fixture.now, number, spec).command_result, CommandResult::kExists);
  EXPECT_EQ(fixture.job_manager.Submit(fixture.now, 0, spec).command_result, CommandResult::kBadValue);
}

}  // namespace
}  // namespace mountflow::testing
