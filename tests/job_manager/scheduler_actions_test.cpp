// What the job manager does for actions that the scheduler library gives rarely or never: the Scheduler of
// this program is a script, which comes before the library's.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow {
namespace {

std::vector<Action> scripted_actions;      // given with the next event, whatever it is
std::vector<AttemptEnded> ended_attempts;  // that the scheduler was told of

}  // namespace

// Starts each task at the first node of the list.
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
  // An event of the node list, with which the scheduler gives this action.
  void Give(const Action& action) {
    scripted_actions = {action};
    fixture.List({JobManagerFixture::Node("d", "rack3")}, NodeListKind::kDelta);
    ASSERT_TRUE(scripted_actions.empty());
  }
  RequestId RequestOf(const PrepareAttempt& attempt) { return fixture.Job(attempt.attempt.job).request; }
};

// Guards against a task that runs and is stopped, though its client was answered that it started.
TEST_F(SchedulerActionsTest, ACancelThatComesAfterTheAcceptanceLeavesTheTaskRunning) {
  const PrepareAttempt running = fixture.SubmitAndStart(kIdempotent);
  Give(CancelAttempt{RequestOf(running), 0});
  EXPECT_TRUE(fixture.All<StopAttempt>().empty());
  EXPECT_TRUE(ended_attempts.empty());
  EXPECT_EQ(fixture.Job(running.attempt.job).state, JobState::kRunning);
  EXPECT_EQ(fixture.Answers(running.attempt.job), 1u);
  fixture.Take(AttemptFinished{running.attempt, EndReason::kExited, 0, "", {}});
  ASSERT_EQ(ended_attempts.size(), 1u);
  EXPECT_EQ(ended_attempts[0].result, AttemptResult::kCompleted);
}

// Guards against an attempt that runs on though the scheduler counts it as cancelled.
TEST_F(SchedulerActionsTest, ACancelAfterTheCommitStopsTheAttemptUntilItsNodeAnswers) {
  fixture.Submit(kIdempotent);
  const PrepareAttempt committed = *fixture.Last<PrepareAttempt>();
  fixture.Take(AttemptPrepared{committed.attempt});
  Give(CancelAttempt{RequestOf(committed), 0});
  ASSERT_EQ(fixture.All<StopAttempt>().size(), 1u);
  EXPECT_EQ(fixture.Last<StopAttempt>()->attempt, committed.attempt);
  ASSERT_EQ(ended_attempts.size(), 1u);
  EXPECT_EQ(ended_attempts[0].result, AttemptResult::kCancelled);
  EXPECT_EQ(fixture.job_manager.stopping_attempts(), 1u);
  fixture.Take(StopAnswered{committed.attempt, false});
  EXPECT_EQ(fixture.job_manager.stopping_attempts(), 0u);
}

// Guards against a migration that starts the task again beside the one that runs.
TEST_F(SchedulerActionsTest, AMigrationStopsTheRunningAttemptAndOnlyThenRunsTheTaskAgain) {
  const PrepareAttempt running = fixture.SubmitAndStart(kIdempotent, "", true);
  fixture.Clear();
  Give(MigrateTask{RequestOf(running)});
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
  Give(MigrateTask{RequestOf(running)});
  EXPECT_TRUE(fixture.All<StopAttempt>().empty());
  EXPECT_EQ(fixture.Job(running.attempt.job).state, JobState::kRunning);
}

}  // namespace
}  // namespace testing
}  // namespace mountflow
