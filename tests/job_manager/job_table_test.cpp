#include "job_manager/job_table.hpp"

#include <gtest/gtest.h>

namespace mountflow::job_manager {
namespace {

Job& AddJob(JobTable* jobs, std::size_t script_bytes = 0) {
  Job& job = jobs->FindOrCreate(jobs->NewNumber());
  job.spec = std::make_unique<JobSpec>();
  job.spec->script = std::string(script_bytes, 'x');
  jobs->Count(job);
  return job;
}

TEST(JobTable, IssuesNumbersAboveTheReservedOnes) {
  JobTable jobs({10, 10}, 5);
  EXPECT_EQ(jobs.NewNumber(), 6u);
  jobs.ReserveNumbersUpTo(20);
  jobs.ReserveNumbersUpTo(10);
  EXPECT_FALSE(jobs.WasIssued(21));
  EXPECT_EQ(jobs.NewNumber(), 21u);
  EXPECT_TRUE(jobs.WasIssued(21));
}

TEST(JobTable, IsFullAtItsBoundAndCountsOnlyLiveJobs) {
  JobTable jobs({1, 100}, 0);
  EXPECT_FALSE(jobs.IsFull());
  Job& job = AddJob(&jobs);
  EXPECT_TRUE(jobs.IsFull());
  jobs.SetState(&job, JobState::kComplete);
  jobs.Retire(&job);
  EXPECT_FALSE(jobs.IsFull());
  EXPECT_EQ(jobs.live(), 0u);
}

TEST(JobTable, CountsTheScriptsOfLiveJobsAgainstTheirBound) {
  JobTable jobs({10, 100}, 0);
  Job& job = AddJob(&jobs, 60);
  EXPECT_TRUE(jobs.HasSpaceForScript(40));
  EXPECT_FALSE(jobs.HasSpaceForScript(41));
  jobs.SetState(&job, JobState::kComplete);
  jobs.Retire(&job);
  EXPECT_TRUE(jobs.HasSpaceForScript(100));
  EXPECT_TRUE(job.spec->script.empty());
}

TEST(JobTable, CountsJobsByState) {
  JobTable jobs({10, 100}, 0);
  Job& first = AddJob(&jobs);
  Job& second = AddJob(&jobs);
  EXPECT_EQ(jobs.counts().queued, 2u);
  jobs.SetState(&first, JobState::kHeld);
  jobs.SetState(&second, JobState::kRunning);
  EXPECT_EQ(jobs.counts().queued, 0u);
  EXPECT_EQ(jobs.counts().held, 1u);
  EXPECT_EQ(jobs.counts().running, 1u);
  jobs.SetState(&first, JobState::kWaiting);
  jobs.SetState(&second, JobState::kExiting);
  EXPECT_EQ(jobs.counts().waiting, 1u);
  EXPECT_EQ(jobs.counts().exiting, 1u);
}

TEST(JobTable, ForgetsCompleteJobsInTheOrderOfTheirEnds) {
  JobTable jobs({10, 100}, 0);
  Job& first = AddJob(&jobs);
  Job& second = AddJob(&jobs);
  for (Job* job : {&second, &first}) {
    jobs.SetState(job, JobState::kComplete);
    jobs.Retire(job);
  }
  EXPECT_EQ(jobs.counts().complete, 2u);
  ASSERT_EQ(jobs.history_size(), 2u);
  EXPECT_EQ(jobs.OldestComplete(), 2u);
  const std::uint64_t oldest = jobs.PopOldestComplete();
  EXPECT_EQ(oldest, 2u);
  jobs.Forget(oldest);
  EXPECT_EQ(jobs.Find(2), nullptr);
  EXPECT_NE(jobs.Find(1), nullptr);
  EXPECT_EQ(jobs.counts().complete, 1u);
}

TEST(JobTable, DiscardsUncountedJobs) {
  JobTable jobs({10, 100}, 0);
  for (std::uint64_t number = 1; number <= 3; ++number) jobs.FindOrCreate(number);
  jobs.Discard(1);
  jobs.DiscardIf([](std::uint64_t number) { return number == 3; });
  EXPECT_EQ(jobs.Find(1), nullptr);
  EXPECT_NE(jobs.Find(2), nullptr);
  EXPECT_EQ(jobs.Find(3), nullptr);
}

}  // namespace
}  // namespace mountflow::job_manager
