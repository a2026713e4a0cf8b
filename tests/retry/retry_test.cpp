// Tests which retries of launch requests are granted, when, and how often.
#include "retry/retry.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace mountflow::retry {
namespace {

RequestEnded Rejected() {
  RequestEnded ended;
  ended.rerunnable = true;
  ended.idempotency = Idempotency::kIdempotent;
  ended.now = 1'000'000;
  ended.deadline = 1'000'000'000;
  return ended;
}

TEST(RetryState, DoublesBackoffUpToMaximumAndEndsWithMaxRetries) {
  RetryPolicy policy;
  policy.max_retries = 7;
  policy.max_backoff = 10'000'000;
  RetryState state;
  const RequestEnded ended = Rejected();
  std::vector<Micros> waits;
  for (int i = 0; i < 7; ++i) {
    const RetryDecision decision = state.Decide(policy, ended);
    ASSERT_EQ(decision.action, RetryAction::kRetry);
    waits.push_back(decision.at - ended.now);
  }
  EXPECT_EQ(waits, (std::vector<Micros>{1'000'000, 2'000'000, 4'000'000, 8'000'000, 10'000'000, 10'000'000,
                                        10'000'000}));
  EXPECT_EQ(state.Decide(policy, ended).action, RetryAction::kGiveUp);
  state.TaskStarted();  // resets the retry count and the backoff
  EXPECT_EQ(state.Decide(policy, ended).at - ended.now, 1'000'000u);
}

TEST(RetryState, GivesUpWithoutClientsConsentOrBeyondItsDeadline) {
  RetryState state;
  RequestEnded ended = Rejected();
  ended.rerunnable = false;
  EXPECT_EQ(state.Decide({}, ended).action, RetryAction::kGiveUp);
  ended = Rejected();
  ended.deadline = ended.now + 1'000'000;
  EXPECT_EQ(state.Decide({}, ended).action, RetryAction::kGiveUp);
  EXPECT_EQ(state.retries_in_row(), 0u);
}

TEST(RetryState, NeverRetriesTaskThatIsNotIdempotentAndMayHaveRun) {
  RequestEnded ended = Rejected();
  ended.idempotency = Idempotency::kNotIdempotent;
  RetryState state;
  for (const RequestResult result : {RequestResult::kFailed, RequestResult::kLost}) {
    ended.result = result;
    EXPECT_EQ(state.Decide({}, ended).action, RetryAction::kGiveUp);
  }
  ended.result = RequestResult::kRejected;  // a rejection means that no attempt ran
  EXPECT_EQ(state.Decide({}, ended).action, RetryAction::kRetry);
}

TEST(RetryState, ReconcilesTaskWithKeyBeforeRetryButNotIdempotentTask) {
  RequestEnded ended = Rejected();
  ended.result = RequestResult::kFailed;
  ended.idempotency = Idempotency::kWithKey;
  RetryState keyed;
  const RetryDecision decision = keyed.Decide({}, ended);
  EXPECT_EQ(decision.action, RetryAction::kRetryAfterReconciliation);
  EXPECT_GE(decision.at - ended.now, RetryPolicy{}.reconciliation_wait);
  ended.idempotency = Idempotency::kIdempotent;
  RetryState idempotent;
  EXPECT_EQ(idempotent.Decide({}, ended).action, RetryAction::kRetry);
}

TEST(RetryState, WaitsForRetryAfterAndAddsJitter) {
  RequestEnded ended = Rejected();
  ended.retry_after = 5'000'000;
  RetryState without_jitter;
  EXPECT_EQ(without_jitter.Decide({}, ended).at - ended.now, 5'000'000u);
  ended.random_draw = 0.999;
  RetryState with_jitter;
  const Micros wait = with_jitter.Decide({}, ended).at - ended.now;
  EXPECT_GT(wait, 6'000'000u);
  EXPECT_LE(wait, 6'250'000u);
}

TEST(RetryState, RetriesLostTaskSoonOnceAndWithBackoffWhenLostAgain) {
  RetryState state;
  RequestEnded ended = Rejected();
  ended.result = RequestResult::kLost;
  EXPECT_EQ(state.Decide({}, ended).at - ended.now, RetryPolicy{}.lost_task_backoff);
  EXPECT_EQ(state.Decide({}, ended).at - ended.now, 2 * RetryPolicy{}.initial_backoff);
}

TEST(GiveUpReason, IsGivenWithEachDeniedRetryAndDescribedToClient) {
  EXPECT_EQ(Describe(GiveUpReason::kNone), "");
  RequestEnded ended = Rejected();
  ended.rerunnable = false;
  EXPECT_EQ(Describe(RetryState().Decide({}, ended).reason), "not rerunnable");
  ended = Rejected();
  ended.idempotency = Idempotency::kNotIdempotent;
  ended.result = RequestResult::kLost;
  EXPECT_EQ(Describe(RetryState().Decide({}, ended).reason),
            "it may have run, and its class must not run twice");
  RetryPolicy never;
  never.max_retries = 0;
  EXPECT_EQ(Describe(RetryState().Decide(never, Rejected()).reason), "no repeats left");
  ended = Rejected();
  ended.deadline = ended.now;
  EXPECT_EQ(Describe(RetryState().Decide({}, ended).reason), "the owner's time is over");
}

}  // namespace
}  // namespace mountflow::retry
