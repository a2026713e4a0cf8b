// Tests which nodes have free capacity for a task.
#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(CapacityFilter, NeedsCoresAndMemory) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 0.9, 100.0), MakeNodeEntry(2, 40.0, 1.9)});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
  fixture.UpdateNodes({MakeNodeEntry(1, 1.0, 2.0)});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

TEST(CapacityFilter, SubtractsOwnAttemptsThatTheListDoesNotShow) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 2.0)});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(CapacityFilter, CountsOwnTasksThatTheListShowsOnce) {
  SchedulerFixture fixture(DefaultSettings());
  TaskRecovered running;
  running.task = fixture.MakeTask(0, 30.0);
  running.node = 1;
  fixture.UpdateNodes({MakeNodeEntry(1, 10.0)});
  fixture.Handle(running);
  fixture.Submit(0, 10.0);
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

// A rejected attempt held no capacity. If it were recorded as an ended task, its end would count as freed
// capacity that a late list does not show yet.
TEST(CapacityFilter, RejectedAttemptLeavesNoFreeCapacityBehind) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 4.0)});
  const RequestId id = fixture.Submit(0, 4.0);
  ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
  fixture.now += 3 * kSecond;  // longer than the assumed age of a list
  fixture.UpdateNodes({MakeNodeEntry(1, 3.0)});
  fixture.ReportEnded(id, 0, 1, AttemptResult::kRejected, RejectionReason::kQueueFull);
  fixture.now += 4 * kSecond;
  fixture.Submit(0, 4.0);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
}

TEST(CapacityFilter, RejectsNodesOfAnotherKindThanTheClassNeeds) {
  Settings settings = DefaultSettings();
  settings.node_kinds.push_back({80.0, 200.0});
  settings.classes[0].node_kind = 1;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1)});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(CapacityFilter, SkipsANodeForSecondsAfterACapacityRejection) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 20.0)});
  const RequestId id = fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  fixture.ReportEnded(id, 0, 1, AttemptResult::kRejected, RejectionReason::kNoCores);
  ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 2u);
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->attempt, 1u);
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 2u);
  fixture.now += 4 * kSecond;
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
}

// The rejection of one large task must not keep small tasks off a node for seconds.
TEST(CapacityFilter, CapacityRejectionOfALargeTaskSkipsNoSmallerOne) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 20.0)});
  const RequestId large = fixture.Submit(0, 16.0);
  ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  fixture.ReportEnded(large, 0, 1, AttemptResult::kRejected, RejectionReason::kNoCores);
  fixture.Submit(0, 1.0);
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  fixture.Submit(0, 16.0);
  EXPECT_NE(fixture.OnlyAction<StartAttempt>().value_or(StartAttempt{}).node, 1u);
}

TEST(CapacityFilter, WithoutFreeCapacityInTheListOthersAreAssumedToSendAsMuch) {
  Settings settings = DefaultSettings();
  settings.list_has_free_capacity = false;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1, 0.0, 0.0)});
  int attempts = 0;
  for (int i = 0; i < 30; ++i) {
    fixture.Submit(0, 2.0);
    attempts += static_cast<int>(fixture.AllActions<StartAttempt>().size());
  }
  EXPECT_EQ(attempts, 10);  // 40 cores, two schedulers, two cores per task
}

TEST(CapacityFilter, WithoutFreeCapacityInTheListRecoveredTasksCountToo) {
  Settings settings = DefaultSettings();
  settings.list_has_free_capacity = false;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1, 0.0, 0.0)});
  TaskRecovered running;
  running.task = fixture.MakeTask(0, 18.0);
  running.node = 1;
  fixture.Handle(running);
  fixture.Submit(0, 2.0);  // 36 of 40 cores are assumed to be requested
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
  fixture.Submit(0, 2.0);
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

}  // namespace
}  // namespace mountflow::testing
