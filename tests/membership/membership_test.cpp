// The group of schedulers: sure only when it can be.
#include "membership/membership.hpp"

#include <gtest/gtest.h>

namespace mountflow::membership {
namespace {

constexpr Micros kSecond = 1'000'000;

GroupInput Good() {
  GroupInput in;
  in.names = {"d2", "d0", "d1"};
  in.known = true;
  in.now = 100 * kSecond;
  in.held_until = 105 * kSecond;
  return in;
}

TEST(Group, NumbersFollowTheNamesAndAreToldOnce) {
  Group group({"d1"});
  const auto first = group.Update(Good());
  ASSERT_TRUE(first);
  EXPECT_EQ(first->size, 3);
  EXPECT_EQ(first->index, 1);
  EXPECT_FALSE(group.Update(Good()));
  GroupInput in = Good();
  in.names = {"d1", "d1", "d0"};
  const auto second = group.Update(in);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->size, 2);
}

TEST(Group, AnyDoubtMakesItUnsureAndKeepsTheSize) {
  const auto index = [](void (*change)(GroupInput*)) {
    Group group({"d1"});
    group.Update(Good());
    GroupInput in = Good();
    change(&in);
    const auto told = group.Update(in);
    EXPECT_TRUE(told);
    EXPECT_EQ(group.told().size, 3);
    return group.told().index;
  };
  EXPECT_EQ(index([](GroupInput* in) { in->known = false; }), -1);
  EXPECT_EQ(index([](GroupInput* in) { in->view_age = 6 * kSecond; }), -1);
  EXPECT_EQ(index([](GroupInput* in) { in->held_until = in->now; }), -1);  // others may count without us
  EXPECT_EQ(index([](GroupInput* in) { in->names = {"d0", "d2"}; }), -1);
  EXPECT_EQ(index([](GroupInput* in) { in->names.clear(); }), -1);
}

TEST(Group, DoubtThatPassesIsUndisturbedOnlyInTheSameHistory) {
  Group group({"d1"});
  GroupInput in = Good();
  in.history = 7;
  EXPECT_FALSE(group.Update(in)->undisturbed);
  in.held_until = in.now;
  EXPECT_EQ(group.Update(in)->index, -1);
  in.held_until = in.now + kSecond;
  const auto back = group.Update(in);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->index, 1);
  EXPECT_TRUE(back->undisturbed);
  EXPECT_EQ(back->valid_until, in.held_until);
  in.held_until = in.now;
  group.Update(in);
  in.held_until = in.now + kSecond;
  in.history = 8;
  EXPECT_FALSE(group.Update(in)->undisturbed);
}

TEST(Group, DoubtComesByItselfWithTime) {
  Group group({"d1"});
  GroupInput in = Good();
  in.view_age = 2 * kSecond;
  group.Update(in);
  EXPECT_EQ(group.NextTimer(), in.now + 3 * kSecond + 1);
  in.now = group.NextTimer();
  in.view_age = 5 * kSecond + 1;
  ASSERT_TRUE(group.Update(in));
  EXPECT_EQ(group.told().index, -1);
}

}  // namespace
}  // namespace mountflow::membership
