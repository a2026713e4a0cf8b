// Tests admission control: which submissions are rejected, and which Retry-After they get. The tests use no
// sockets and set the time themselves.
#include "admission/admission.hpp"

#include <gtest/gtest.h>

namespace mountflow::admission {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kClientTime = 8 * kSecond;
constexpr Micros kIteration = 10'000;

// Records `count` event loop iterations of 10 ms, each with `worked` microseconds of work and `answers` final
// answers.
void RunIterations(AdmissionController* controller, Micros* now, int count, Micros worked, int answers) {
  for (int i = 0; i < count; ++i) {
    for (int answer = 0; answer < answers; ++answer) controller->RecordAnswer();
    controller->RecordLoopIteration(*now + kIteration - worked, *now + kIteration);
    *now += kIteration;
  }
}

SubmissionState ArrivingAt(Micros now, std::size_t queued_ahead = 0, std::size_t unanswered_jobs = 0) {
  return {now, now, now + kClientTime, queued_ahead, unanswered_jobs};
}

TEST(AdmissionController, MeasuresCostOfJobAsTimeWorkedPerAnswer) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 200, 5'000, 50);
  EXPECT_NEAR(controller.cost_per_job(), 100.0, 1.0);
  EXPECT_NEAR(controller.busy_share(), 0.5, 0.01);
  EXPECT_EQ(controller.MaxAdmissionsPerIteration(), 20u);
}

TEST(AdmissionController, AdmitsWhileLoopIdlesHoweverManyJobsWaitForSlowNodes) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 200, 8'000, 40);
  EXPECT_TRUE(controller.Decide(ArrivingAt(now, 100, 50'000)).admitted());
}

TEST(AdmissionController, RejectsOnlySubmissionsThatWouldWaitTooLongWhenSaturated) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 200, 10'000, 50);  // 200 us for each job
  ASSERT_TRUE(controller.saturated());
  EXPECT_TRUE(controller.Decide(ArrivingAt(now, 100, 2'000)).admitted()) << "0.42 s of work";
  const AdmissionDecision rejected = controller.Decide(ArrivingAt(now, 1'000, 2'000));  // 0.6 s
  EXPECT_FALSE(rejected.admitted());
  EXPECT_EQ(Describe(rejected.result), "more work than this daemon gets done");
  EXPECT_GE(rejected.retry_after, 100'000u);
  EXPECT_LT(rejected.retry_after, kSecond);
}

TEST(AdmissionController, BoundsWaitByShareOfShortClientTime) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 200, 10'000, 50);
  SubmissionState submission = ArrivingAt(now, 1'000, 0);  // 0.2 s
  EXPECT_TRUE(controller.Decide(submission).admitted());
  submission.deadline = now + 400'000;  // a quarter of this time is 0.1 s
  EXPECT_FALSE(controller.Decide(submission).admitted());
}

TEST(AdmissionController, RejectsSubmissionThatWaitedTooLongWhateverTheLoad) {
  AdmissionController controller({});
  const Micros now = 100 * kSecond;
  SubmissionState submission{now, now - 600'000, now + kClientTime, 0, 0};
  EXPECT_FALSE(controller.Decide(submission).admitted());
  submission.arrived_at = now - 400'000;
  EXPECT_TRUE(controller.Decide(submission).admitted());
}

TEST(AdmissionController, RejectsPassedDeadlineWithoutRetryAfter) {
  AdmissionController controller({});
  const Micros now = 100 * kSecond;
  const AdmissionDecision late = controller.Decide({now, now - kSecond, now, 0, 0});
  EXPECT_FALSE(late.admitted());
  EXPECT_EQ(late.retry_after, 0u);
}

TEST(AdmissionController, SpacesRetryAfterByCostOfJobAndKeepsItWithinDeadline) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 200, 10'000, 50);
  Micros last = 0;
  for (int i = 0; i < 1'000; ++i) {
    const AdmissionDecision rejected = controller.Decide(ArrivingAt(now, 5'000, 0));
    ASSERT_FALSE(rejected.admitted());
    EXPECT_GT(rejected.retry_after, last);
    if (i > 0) {
      EXPECT_NEAR(static_cast<double>(rejected.retry_after - last), 200.0, 3.0);
    }
    last = rejected.retry_after;
  }
  for (int i = 0; i < 100'000; ++i) {
    const AdmissionDecision rejected = controller.Decide(ArrivingAt(now, 5'000, 0));
    ASSERT_LT(rejected.retry_after, kClientTime);
  }
  // Retry times that were sent to earlier clients no longer count once they have passed.
  now += 40 * kSecond;
  RunIterations(&controller, &now, 200, 10'000, 50);
  EXPECT_LT(controller.Decide(ArrivingAt(now, 5'000, 0)).retry_after, 2 * kSecond);
}

TEST(AdmissionController, BoundsNumberOfQueuedSubmissions) {
  AdmissionOptions options;
  options.max_queue_length = 10;
  AdmissionController controller(options);
  EXPECT_TRUE(controller.Decide(ArrivingAt(100 * kSecond, 9)).admitted());
  EXPECT_FALSE(controller.Decide(ArrivingAt(100 * kSecond, 10)).admitted());
}

TEST(AdmissionController, RejectsWhileStorageBacklogIsOldAndAdmitsOnceItIsConfirmed) {
  AdmissionController controller({});
  const Micros now = 100 * kSecond;
  controller.SetStorageBacklogAge(400'000);
  EXPECT_TRUE(controller.Decide(ArrivingAt(now)).admitted());
  controller.SetStorageBacklogAge(800'000);
  EXPECT_EQ(Describe(controller.Decide(ArrivingAt(now)).result), "the disk does not keep up");
  controller.SetStorageBacklogAge(0);
  EXPECT_TRUE(controller.Decide(ArrivingAt(now)).admitted());
}

TEST(AdmissionController, DoesNotTakeStallForCostOfJob) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 200, 5'000, 50);
  const double before = controller.cost_per_job();
  controller.RecordLoopIteration(now, now + 3 * kSecond);
  EXPECT_LE(controller.cost_per_job(), before * 1.31);
}

TEST(AdmissionController, AdmitsAgainWithinFifthOfSecondAfterLoadFalls) {
  AdmissionController controller({});
  Micros now = 100 * kSecond;
  RunIterations(&controller, &now, 500, 10'000, 50);
  ASSERT_FALSE(controller.Decide(ArrivingAt(now, 5'000, 0)).admitted());
  RunIterations(&controller, &now, 20, 3'000, 15);
  EXPECT_TRUE(controller.Decide(ArrivingAt(now, 5'000, 0)).admitted());
}

TEST(AdmissionController, GivesEqualDecisionsForEqualEvents) {
  AdmissionController first({});
  AdmissionController second({});
  Micros first_now = 100 * kSecond;
  Micros second_now = first_now;
  for (int i = 0; i < 300; ++i) {
    RunIterations(&first, &first_now, 3, 10'000, 40 + i % 20);
    RunIterations(&second, &second_now, 3, 10'000, 40 + i % 20);
    const SubmissionState submission = ArrivingAt(first_now, static_cast<std::size_t>(i) * 20, 100);
    const AdmissionDecision first_decision = first.Decide(submission);
    const AdmissionDecision second_decision = second.Decide(submission);
    ASSERT_EQ(first_decision.admitted(), second_decision.admitted());
    ASSERT_EQ(first_decision.retry_after, second_decision.retry_after);
    ASSERT_EQ(first_decision.result, second_decision.result);
  }
}

TEST(AdmissionResult, DescribesEachRejectionToClient) {
  EXPECT_EQ(Describe(AdmissionResult::kAdmitted), "");
  EXPECT_EQ(Describe(AdmissionResult::kDeadlinePassed),
            "the owner's time was over before the request was read");
  EXPECT_EQ(Describe(AdmissionResult::kDeadlineUnreachable), "no answer could come within the owner's time");
  EXPECT_EQ(Describe(AdmissionResult::kQueueFull), "as many submissions wait as may");
  EXPECT_EQ(Describe(AdmissionResult::kStorageBacklog), "the disk does not keep up");
  EXPECT_EQ(Describe(AdmissionResult::kOverloaded), "more work than this daemon gets done");
}

}  // namespace
}  // namespace mountflow::admission
