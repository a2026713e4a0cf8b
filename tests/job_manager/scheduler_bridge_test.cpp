#include "job_manager/scheduler_bridge.hpp"

#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::job_manager {
namespace {

// Returns a task for which no node qualifies, so that the scheduler rejects it at once.
TaskSubmitted SubmittedTask(RequestId request) {
  TaskSubmitted submitted;
  submitted.task.request = request;
  submitted.task.task_class = 1;
  submitted.task.deadline = testing::kSecond;
  return submitted;
}

TEST(SchedulerBridge, AssignsARequestNumberAndForgetsItOnceClosed) {
  SchedulerBridge bridge(testing::Options().settings, 1);
  const RequestId first = bridge.OpenRequest(10);
  const RequestId second = bridge.OpenRequest(11);
  EXPECT_NE(first, 0u);
  EXPECT_NE(first, second);
  EXPECT_EQ(bridge.JobOf(first), 10u);
  EXPECT_EQ(bridge.JobOf(second), 11u);
  bridge.CloseRequest(first);
  EXPECT_FALSE(bridge.JobOf(first));
}

TEST(SchedulerBridge, RunsEventsThatActionsQueueWithoutEnteringTheSchedulerTwice) {
  SchedulerBridge bridge(testing::Options().settings, 1);
  std::vector<RequestId> rejected;
  int depth = 0;
  const SchedulerBridge::ActionHandler carry_out = [&](const Action& action) {
    EXPECT_EQ(++depth, 1);
    if (const auto* rejection = std::get_if<RejectTask>(&action)) {
      rejected.push_back(rejection->request);
      if (rejection->request == 1) bridge.QueueEvent(SubmittedTask(2));
      bridge.Run(1, [](const Action&) { ADD_FAILURE() << "ran within a run"; });
    }
    --depth;
  };
  bridge.QueueEvent(SubmittedTask(1));
  bridge.Run(1, carry_out);
  EXPECT_EQ(rejected, (std::vector<RequestId>{1, 2}));
}

TEST(SchedulerBridge, MeasuresTimeOnlyWithAClock) {
  SchedulerBridge bridge(testing::Options().settings, 1);
  const auto ignore = [](const Action&) {};
  bridge.QueueEvent(SubmittedTask(1));
  bridge.Run(1, ignore);
  EXPECT_EQ(bridge.elapsed_ns(), 0u);
  std::uint64_t clock = 0;
  bridge.SetClock([&clock] { return clock += 5; });
  bridge.QueueEvent(SubmittedTask(2));
  bridge.Run(1, ignore);
  EXPECT_EQ(bridge.elapsed_ns(), 5u);
}

}  // namespace
}  // namespace mountflow::job_manager
