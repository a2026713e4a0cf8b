// Tests invalid events, and determinism.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <string>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(InvalidInput, UnknownEndedAndRepeatedEventsChangeNothing) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.Handle(TaskStarted{9, 0, 9, 0});
  fixture.ReportEnded(9, 0, 9, AttemptResult::kCompleted);
  fixture.Handle(TaskCancelled{9});
  fixture.Handle(TaskProgress{9, 0, 9, ProgressKind::kRunning, 0.5});
  fixture.Handle(HealthCheckResult{9, true, 0, {}});
  fixture.Handle(TimerFired{12345});
  EXPECT_TRUE(fixture.actions.empty());
  fixture.UpdateNodes({MakeNodeEntry(1)});
  const Task task = fixture.MakeTask();
  fixture.Submit(task);
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
  fixture.Submit(task);  // duplicate event
  EXPECT_TRUE(fixture.actions.empty());
  fixture.ReportEnded(task.request, 3, 1, AttemptResult::kRejected);  // an attempt never made
  EXPECT_TRUE(fixture.actions.empty());
}

TEST(InvalidInput, RejectsTasksOfInvalidSizeOrClass) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1)});
  for (double size : {std::nan(""), -1.0, std::numeric_limits<double>::infinity()}) {
    Task task = fixture.MakeTask();
    task.cores = size;
    fixture.Submit(task);
    EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  }
  Task unknown = fixture.MakeTask(99);
  fixture.Submit(unknown);
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(InvalidInput, TreatsANodeEntryWithoutNumbersAsFull) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, std::nan(""), std::nan(""))});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(InvalidInput, IgnoresTimeThatGoesBack) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1)});
  Task task = fixture.MakeTask();
  fixture.now += 10 * kSecond;
  fixture.Handle(TimerFired{1});
  fixture.now -= 10 * kSecond;
  fixture.Submit(task);  // its deadline is before the latest time so far
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  EXPECT_TRUE(fixture.HasFinalAnswer());
}

TEST(InvalidInput, RejectsAllTasksWithEmptySettings) {
  SchedulerFixture fixture(Settings{});
  fixture.UpdateNodes({MakeNodeEntry(1)});
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<RejectTask>());
}

TEST(Determinism, EqualSeedsAndEventsGiveEqualActions) {
  const auto run = [](std::uint64_t seed) {
    SchedulerFixture fixture(DefaultSettings(), seed);
    fixture.UpdateNodes(
        {MakeNodeEntry(1), MakeNodeEntry(2), MakeNodeEntry(3), MakeNodeEntry(11), MakeNodeEntry(101)});
    std::string trace;
    for (int i = 0; i < 60; ++i) {
      fixture.now += 50 * kMillisecond;
      const RequestId id = fixture.Submit(0, 0.5, static_cast<std::uint64_t>(i % 7 + 1));
      for (const StartAttempt& start : fixture.AllActions<StartAttempt>()) {
        trace += std::to_string(start.node) + " ";
        if (i % 5 == 0)
          fixture.ReportEnded(id, start.attempt, start.node, AttemptResult::kRejected,
                              RejectionReason::kNoCores);
      }
      for (const StartAttempt& start : fixture.AllActions<StartAttempt>())
        trace += std::to_string(start.node) + " ";
    }
    return trace;
  };
  EXPECT_EQ(run(3), run(3));
  EXPECT_NE(run(3), run(4));
}

}  // namespace
}  // namespace mountflow::testing
