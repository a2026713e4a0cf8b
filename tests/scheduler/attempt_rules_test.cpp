// Tests further attempts and the final answer of a request.
#include "scheduler/attempt_rules.hpp"

#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(AttemptRules, StartNothingForAnAnsweredStartedOrInFlightRequest) {
  const Settings settings = DefaultSettings();
  const AttemptRules rules(settings);
  RequestRecord request;
  request.task.deadline = 10;
  EXPECT_TRUE(rules.MayStart(request, 9));
  EXPECT_FALSE(rules.MayStart(request, 10));
  for (bool RequestRecord::*flag :
       {&RequestRecord::answered, &RequestRecord::in_flight, &RequestRecord::started}) {
    request.*flag = true;
    EXPECT_FALSE(rules.MayStart(request, 9));
    EXPECT_TRUE(rules.MayRetry(request, 9));
    request.*flag = false;
  }
  request.attempts_made = settings.max_attempts;
  EXPECT_FALSE(rules.MayStart(request, 9));
}

TEST(AttemptRules, RejectOnlyWhereARetryIsSafe) {
  Settings settings = DefaultSettings();
  const AttemptRules rules(settings);
  RequestRecord request;
  const auto rejects = [&](Idempotency idempotency, DeduplicationScope scope, bool may_have_run) {
    settings.classes[0].idempotency = idempotency;
    settings.classes[0].deduplication_scope = scope;
    request.first_effect.may_have_run = may_have_run;
    return std::holds_alternative<RejectTask>(rules.FinalAnswer(request));
  };
  EXPECT_TRUE(rejects(Idempotency::kNotIdempotent, DeduplicationScope::kRack, false));
  EXPECT_FALSE(rejects(Idempotency::kNotIdempotent, DeduplicationScope::kAll, true));
  EXPECT_TRUE(rejects(Idempotency::kIdempotent, DeduplicationScope::kRack, true));
  EXPECT_FALSE(rejects(Idempotency::kWithKey, DeduplicationScope::kRack, true));
  EXPECT_FALSE(rejects(Idempotency::kWithKey, DeduplicationScope::kZone, true));
  EXPECT_TRUE(rejects(Idempotency::kWithKey, DeduplicationScope::kAll, true));
}

TEST(AttemptRules, CancelOnlyWhereAllowedAndARetryIsSafeAndPossible) {
  Settings settings = DefaultSettings();
  const AttemptRules rules(settings);
  RequestRecord request;
  EXPECT_TRUE(rules.MayCancelForRetry(request));
  request.attempts_made = settings.max_attempts;
  EXPECT_FALSE(rules.MayCancelForRetry(request));
  request.attempts_made = 1;
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  EXPECT_FALSE(rules.MayCancelForRetry(request));
  settings.classes[0].idempotency = Idempotency::kWithKey;
  EXPECT_TRUE(rules.MayCancelForRetry(request));
  settings.may_cancel = false;
  EXPECT_FALSE(rules.MayCancelForRetry(request));
}

TEST(AttemptRules, TimeOutsErrorsAndCancelledAttemptsMayHaveRun) {
  for (const AttemptResult result :
       {AttemptResult::kRejected, AttemptResult::kUnreachable, AttemptResult::kNotSent}) {
    EXPECT_TRUE(AttemptRules::NeverRan(result));
  }
  for (const AttemptResult result :
       {AttemptResult::kCompleted, AttemptResult::kError, AttemptResult::kTimedOut, AttemptResult::kLost,
        AttemptResult::kCancelled}) {
    EXPECT_FALSE(AttemptRules::NeverRan(result));
  }
}

}  // namespace
}  // namespace mountflow::testing
