// The door: who is refused, when, and what it is told. No sockets, time by hand.
#include "admission/admission.hpp"

#include <gtest/gtest.h>

namespace mountflow::admission {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kOwner = 8 * kSecond;

// Turns of 10 ms: `worked` of each, `answers` in each.
void Turns(Door* door, Micros* now, int count, Micros worked, int answers) {
  for (int i = 0; i < count; ++i) {
    for (int a = 0; a < answers; ++a) door->Answered();
    door->Turn(*now + 10'000 - worked, *now + 10'000);
    *now += 10'000;
  }
}

Asked Fresh(Micros now, std::size_t in_line = 0, std::size_t unanswered = 0) {
  return {now, now, now + kOwner, in_line, unanswered};
}

TEST(Door, TheCostOfAJobIsTheTimeWorkedByTheAnswers) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 200, 5'000, 50);
  EXPECT_NEAR(door.cost(), 100.0, 1.0);
  EXPECT_NEAR(door.busy(), 0.5, 0.01);
  EXPECT_EQ(door.Batch(), 20u);
}

TEST(Door, ADaemonThatPausesKeepsNobodyOutHoweverManyWaitForSlowNodes) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 200, 8'000, 40);
  EXPECT_TRUE(door.Ask(Fresh(now, 100, 50'000)).admit);
}

TEST(Door, AtFullWorkWhoWouldWaitTooLongIsRefusedAndTheOthersAreNot) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 200, 10'000, 50);  // 200 us a job
  ASSERT_TRUE(door.saturated());
  EXPECT_TRUE(door.Ask(Fresh(now, 100, 2'000)).admit) << "0.42 s of work";
  const Verdict no = door.Ask(Fresh(now, 1'000, 2'000));  // 0.6 s
  EXPECT_FALSE(no.admit);
  EXPECT_EQ(no.reason, "more work than this daemon gets done");
  EXPECT_GE(no.wait, 100'000u);
  EXPECT_LT(no.wait, kSecond);
}

TEST(Door, AShortOwnersTimeBoundsTheWaitMoreThanTheMost) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 200, 10'000, 50);
  Asked a = Fresh(now, 1'000, 0);  // 0.2 s
  EXPECT_TRUE(door.Ask(a).admit);
  a.give_up = now + 400'000;  // a quarter of it is 0.1 s
  EXPECT_FALSE(door.Ask(a).admit);
}

TEST(Door, WhatWaitedTooLongIsRefusedWhateverTheLoad) {
  Door door({});
  const Micros now = 100 * kSecond;
  Asked a{now, now - 600'000, now + kOwner, 0, 0};
  EXPECT_FALSE(door.Ask(a).admit);
  a.arrived = now - 400'000;
  EXPECT_TRUE(door.Ask(a).admit);
}

TEST(Door, AnOwnerWhoseTimeIsOverIsToldSoAndNotToAskAgain) {
  Door door({});
  const Micros now = 100 * kSecond;
  const Verdict late = door.Ask({now, now - kSecond, now, 0, 0});
  EXPECT_FALSE(late.admit);
  EXPECT_EQ(late.wait, 0u);
}

TEST(Door, TheRefusedAreToldTimesApartByTheCostOfAJobAndNoneBeyondItsOwnersTime) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 200, 10'000, 50);
  Micros last = 0;
  for (int i = 0; i < 1'000; ++i) {
    const Verdict no = door.Ask(Fresh(now, 5'000, 0));
    ASSERT_FALSE(no.admit);
    EXPECT_GT(no.wait, last);
    if (i > 0) {
      EXPECT_NEAR(static_cast<double>(no.wait - last), 200.0, 3.0);
    }
    last = no.wait;
  }
  for (int i = 0; i < 100'000; ++i) {
    const Verdict no = door.Ask(Fresh(now, 5'000, 0));
    ASSERT_LT(no.wait, kOwner);
  }
  // What was told before is past once its time has come.
  now += 40 * kSecond;
  Turns(&door, &now, 200, 10'000, 50);
  EXPECT_LT(door.Ask(Fresh(now, 5'000, 0)).wait, 2 * kSecond);
}

TEST(Door, TheLineIsBoundedInNumber) {
  DoorOptions options;
  options.most_line = 10;
  Door door(options);
  EXPECT_TRUE(door.Ask(Fresh(100 * kSecond, 9)).admit);
  EXPECT_FALSE(door.Ask(Fresh(100 * kSecond, 10)).admit);
}

TEST(Door, ADiskThatOwesForLongClosesItAndOneThatConfirmsOpensItAgain) {
  Door door({});
  const Micros now = 100 * kSecond;
  door.DiskOwes(400'000);
  EXPECT_TRUE(door.Ask(Fresh(now)).admit);
  door.DiskOwes(800'000);
  EXPECT_EQ(door.Ask(Fresh(now)).reason, "the disk does not keep up");
  door.DiskOwes(0);
  EXPECT_TRUE(door.Ask(Fresh(now)).admit);
}

TEST(Door, AStallIsNotTakenForTheCostOfAJob) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 200, 5'000, 50);
  const double before = door.cost();
  door.Turn(now, now + 3 * kSecond);
  EXPECT_LE(door.cost(), before * 1.31);
}

TEST(Door, ItOpensWithinATenthOfASecondAfterTheLoadFalls) {
  Door door({});
  Micros now = 100 * kSecond;
  Turns(&door, &now, 500, 10'000, 50);
  ASSERT_FALSE(door.Ask(Fresh(now, 5'000, 0)).admit);
  Turns(&door, &now, 20, 3'000, 15);
  EXPECT_TRUE(door.Ask(Fresh(now, 5'000, 0)).admit);
}

TEST(Door, EqualEventsGiveEqualVerdicts) {
  Door a({}), b({});
  Micros now = 100 * kSecond, other = now;
  for (int i = 0; i < 300; ++i) {
    Turns(&a, &now, 3, 10'000, 40 + i % 20);
    Turns(&b, &other, 3, 10'000, 40 + i % 20);
    const Asked asked = Fresh(now, static_cast<std::size_t>(i) * 20, 100);
    const Verdict x = a.Ask(asked), y = b.Ask(asked);
    ASSERT_EQ(x.admit, y.admit);
    ASSERT_EQ(x.wait, y.wait);
    ASSERT_EQ(x.reason, y.reason);
  }
}

}  // namespace
}  // namespace mountflow::admission
