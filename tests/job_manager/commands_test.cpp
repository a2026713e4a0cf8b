// What users and operators ask of a job.
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
  EXPECT_EQ(fixture.core.Release(fixture.now, job, "thandi", "u"), CommandResult::kOk);
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
  EXPECT_EQ(fixture.core.Delete(fixture.now, job, "sipho"), CommandResult::kPermission);
  EXPECT_EQ(fixture.core.Hold(fixture.now, job, "sipho", "u"), CommandResult::kPermission);
  EXPECT_EQ(fixture.core.Signal(fixture.now, job, "sipho", "TERM"), CommandResult::kPermission);
  EXPECT_EQ(fixture.core.Rerun(fixture.now, job, "sipho"), CommandResult::kPermission);
  EXPECT_EQ(fixture.core.Delete(fixture.now, job + 1, "sipho"), CommandResult::kUnknownJob);
  EXPECT_EQ(fixture.core.Delete(fixture.now, job, ""), CommandResult::kOk);  // the operator
}

}  // namespace
}  // namespace mountflow::testing
