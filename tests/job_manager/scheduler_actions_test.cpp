// Actions that the scheduler library returns rarely or never. This program defines a scripted Scheduler of
// its own, which the linker uses in place of the library's.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow {
namespace {

std::vector<Action> scripted_actions;      // returned with the next event
std::vector<AttemptEnded> ended_attempts;  // outcomes reported to the scheduler

}  // namespace

// Starts each task at the first node of the latest node list.
class Scheduler::Impl {
 public:
  void Handle(const Event& event, std::vector<Action>* actions) {
    const auto* update = std::get_if<NodeListUpdate>(&event);
    if (update != nullptr && !update->nodes.empty()) node_ = update->nodes[0].node;
    if (const auto* submitted = std::get_if<TaskSubmitted>(&event)) {
      const Task& task = submitted->task;
      actions->emplace_back(StartAttempt{task.request, 0, node_, task.deadline});
    }
    if (const auto* ended = std::get_if<AttemptEnded>(&event)) ended_attempts.push_back(*ended);
    for (const Action& action : std::exchange(scripted_actions, {})) actions->push_back(action);
  }

 private:
  NodeId node_ = 0;
};

Scheduler::Scheduler(const Settings& /*settings*/, std::uint64_t /*seed*/)
    : impl_(std::make_unique<Impl>()) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
void Scheduler::Handle(Micros /*now*/, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(event, actions);
}

namespace testing {
namespace {

using namespace job_manager;

class SchedulerActionsTest : public JobManagerTest {
 protected:
  void SetUp() override {
    JobManagerTest::SetUp();
    scripted_actions.clear();
    ended_attempts.clear();
  }
  // Makes the scheduler return this action with its next event, which is an event of the node list.
  void ReturnAction(const Action& action) {
    scripted_actions = {action};
    fixture.List({JobManagerFixture::Node("d", "rack3")}, NodeListKind::kDelta);
    ASSERT_TRUE(scripted_actions.empty());
  }
  RequestId RequestOf(const PrepareAttempt& attempt) { return fixture.Job(attempt.attempt.job).request; }
};

// Guards against stopping a running task after its client received the answer that it started.
TEST_F(SchedulerActionsTest, ACancelThatComesAfterTheAcceptanceLeavesTheTaskRunning) {
  const PrepareAttempt running = fixture.SubmitAndStart(kIdempotent);
  ReturnAction(CancelAttempt{RequestOf(running), 0});
  EXPECT_TRUE(fixture.All<StopAttempt>().empty());
  EXPECT_TRUE(ended_attempts.empty());
  EXPECT_EQ(fixture.Job(running.attempt.job).state, JobState::kRunning);
  EXPECT_EQ(fixture.Answers(running.attempt.job), 1u);
  fixture.Take(AttemptFinished{running.attempt, EndReason::kExited, 0, "", {}});
  ASSERT_EQ(ended_attempts.size(), 1u);
  EXPECT_EQ(ended_attempts[0].result, AttemptResult::kCompleted);
}

// Guards against an attempt that still runs after the scheduler considers it cancelled.
TEST_F(SchedulerActionsTest, ACancelAfterTheCommitStopsTheAttemptUntilItsNodeAnswers) {
  fixture.Submit(kIdempotent);
  const PrepareAttempt committed = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{committed.attempt});
  ReturnAction(CancelAttempt{RequestOf(committed), 0});
  ASSERT_EQ(fixture.All<StopAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Last<StopAttempt>()->attempt, committed.attempt);
  ASSERT_EQ(ended_attempts.size(), 1u);
  EXPECT_EQ(ended_attempts[0].result, AttemptResult::kCancelled);
  EXPECT_EQ(fixture.job_manager.stopping_attempts(), 1u);
  fixture.Take(StopAnswered{committed.attempt, false, 0});
  EXPECT_EQ(fixture.job_manager.stopping_attempts(), 0u);
}

// Guards against a migration that starts the task again while its first attempt is still running.
TEST_F(SchedulerActionsTest, AMigrationStopsTheRunningAttemptAndOnlyThenRunsTheTaskAgain) {
  const PrepareAttempt running = fixture.SubmitAndStart(kIdempotent, "", true);
  fixture.Clear();
  ReturnAction(MigrateTask{RequestOf(running)});
  ASSERT_EQ(fixture.All<StopAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Last<StopAttempt>()->attempt, running.attempt);
  fixture.Take(StopAnswered{running.attempt, true});
  fixture.Run(fixture.now + kSecond);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());
  fixture.Take(AttemptFinished{running.attempt, EndReason::kKilled, 271, "", {}});
  fixture.Run(fixture.now + kSecond);
  EXPECT_EQ(fixture.All<PrepareAttempt>().size(), 1u);
}

TEST_F(SchedulerActionsTest, AMigrationLeavesATaskThatItsClientDoesNotWantRerun) {
  const PrepareAttempt running = fixture.SubmitAndStart(kIdempotent);
  ReturnAction(MigrateTask{RequestOf(running)});
  EXPECT_TRUE(fixture.All<StopAttempt>().empty());
  EXPECT_EQ(fixture.Job(running.attempt.job).state, JobState::kRunning);
}

}  // namespace
}  // namespace testing
}  // namespace mountflow
