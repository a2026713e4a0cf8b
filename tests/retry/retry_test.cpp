// Owners' repeats: who may ask again, when, how often.
#include "retry/retry.hpp"

#include <gtest/gtest.h>

namespace mountflow::retry {
namespace {

AskEnded Refused() {
  AskEnded e;
  e.rerunnable = true;
  e.idempotency = Idempotency::kIdempotent;
  e.now = 1'000'000;
  e.give_up = 1'000'000'000;
  return e;
}

TEST(Repeats, WaitsGrowToTheMostAndEndWithTheCount) {
  RepeatPolicy policy;
  policy.most = 7;
  policy.most_wait = 10'000'000;
  Repeats repeats;
  AskEnded e = Refused();
  std::vector<Micros> waits;
  for (int i = 0; i < 7; ++i) {
    const RepeatDecision d = repeats.Decide(policy, e);
    ASSERT_EQ(d.verdict, RepeatVerdict::kAgain);
    waits.push_back(d.at - e.now);
  }
  EXPECT_EQ(waits, (std::vector<Micros>{1'000'000, 2'000'000, 4'000'000, 8'000'000, 10'000'000, 10'000'000,
                                        10'000'000}));
  EXPECT_EQ(repeats.Decide(policy, e).verdict, RepeatVerdict::kFinal);
  repeats.Placed();  // a placement between: the row begins anew
  EXPECT_EQ(repeats.Decide(policy, e).at - e.now, 1'000'000u);
}

TEST(Repeats, NobodyIsAskedAgainAgainstHisWishOrBeyondHisTime) {
  Repeats repeats;
  AskEnded e = Refused();
  e.rerunnable = false;
  EXPECT_EQ(repeats.Decide({}, e).verdict, RepeatVerdict::kFinal);
  e = Refused();
  e.give_up = e.now + 1'000'000;
  EXPECT_EQ(repeats.Decide({}, e).verdict, RepeatVerdict::kFinal);
  EXPECT_EQ(repeats.in_row(), 0u);
}

TEST(Repeats, AnUnsafeTaskThatMayHaveRunNeverComesAgain) {
  AskEnded e = Refused();
  e.idempotency = Idempotency::kNotIdempotent;
  Repeats repeats;
  for (const AskEnd end : {AskEnd::kFailed, AskEnd::kLost}) {
    e.end = end;
    EXPECT_EQ(repeats.Decide({}, e).verdict, RepeatVerdict::kFinal);
  }
  e.end = AskEnd::kRefused;  // a refusal is the certain word that nothing ran
  EXPECT_EQ(repeats.Decide({}, e).verdict, RepeatVerdict::kAgain);
}

TEST(Repeats, AKeyedTaskInDoubtSettlesFirstAndASafeOneNeedNot) {
  AskEnded e = Refused();
  e.end = AskEnd::kFailed;
  e.idempotency = Idempotency::kWithKey;
  Repeats keyed, safe;
  const RepeatDecision d = keyed.Decide({}, e);
  EXPECT_EQ(d.verdict, RepeatVerdict::kSettle);
  EXPECT_GE(d.at - e.now, RepeatPolicy{}.settle_wait);
  e.idempotency = Idempotency::kIdempotent;
  EXPECT_EQ(safe.Decide({}, e).verdict, RepeatVerdict::kAgain);
}

TEST(Repeats, AdviceLengthensAndTheDrawSpreads) {
  AskEnded e = Refused();
  e.advised = 5'000'000;
  Repeats a, b;
  EXPECT_EQ(a.Decide({}, e).at - e.now, 5'000'000u);
  e.draw = 0.999;
  const Micros spread = b.Decide({}, e).at - e.now;
  EXPECT_GT(spread, 6'000'000u);
  EXPECT_LE(spread, 6'250'000u);
  Repeats lost;
  e = Refused();
  e.end = AskEnd::kLost;
  EXPECT_EQ(lost.Decide({}, e).at - e.now, RepeatPolicy{}.lost_wait);
  EXPECT_EQ(lost.Decide({}, e).at - e.now, 2 * RepeatPolicy{}.first_wait);  // lost again without a placement
}

}  // namespace
}  // namespace mountflow::retry
