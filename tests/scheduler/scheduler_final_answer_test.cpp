// Tests rule 1: each task gets exactly one final answer, by its deadline.
#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(FinalAnswer, RejectsWhereThereAreNoNodes) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
  fixture.UpdateNodes({});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(FinalAnswer, AnswersATimeOutAtTheDeadlineOnce) {
  Settings settings = DefaultSettings();
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  const RequestId id = fixture.Submit();
  const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
  fixture.now += 8 * kSecond;
  fixture.ReportEnded(id, 0, node, AttemptResult::kTimedOut);
  EXPECT_TRUE(fixture.OnlyAction<FailTask>());
  fixture.ReportEnded(id, 0, node, AttemptResult::kTimedOut);
  EXPECT_FALSE(fixture.HasFinalAnswer());
}

TEST(FinalAnswer, StartsNoAttemptAtOrAfterTheDeadline) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  Task late = fixture.MakeTask();
  late.deadline = fixture.now;
  fixture.Submit(late);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  EXPECT_TRUE(fixture.HasFinalAnswer());
  Task last = fixture.MakeTask();
  last.deadline = fixture.now + 1;
  fixture.Submit(last);
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

TEST(FinalAnswer, StopsAtTheMaximumNumberOfAttempts) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 2;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2), MakeNodeEntry(3)});
  const RequestId id = fixture.Submit();
  fixture.ReportEnded(id, 0, fixture.OnlyAction<StartAttempt>()->node, AttemptResult::kRejected,
                      RejectionReason::kNoCores);
  ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
  fixture.ReportEnded(id, 1, fixture.OnlyAction<StartAttempt>()->node, AttemptResult::kRejected,
                      RejectionReason::kNoCores);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(FinalAnswer, CancelledTaskGetsNoFurtherAction) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  const RequestId id = fixture.Submit();
  const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
  fixture.Handle(TaskCancelled{id});
  fixture.ReportEnded(id, 0, node, AttemptResult::kRejected, RejectionReason::kNoCores, true);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  EXPECT_FALSE(fixture.HasFinalAnswer());
}

TEST(FinalAnswer, StartedTaskThatEndsIsNotAnsweredAgain) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  for (AttemptResult result : {AttemptResult::kCompleted, AttemptResult::kLost, AttemptResult::kCancelled}) {
    const RequestId id = fixture.Submit();
    const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
    fixture.ReportStarted(id, 0, node);
    EXPECT_FALSE(fixture.HasFinalAnswer());
    fixture.ReportEnded(id, 0, node, result, RejectionReason::kDrained, true);
    EXPECT_FALSE(fixture.HasFinalAnswer());
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  }
}

}  // namespace
}  // namespace mountflow::testing
