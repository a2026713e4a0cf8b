// Tests the group of schedulers, and the budget of nodes that are warming up.
#include "scheduler/slow_start.hpp"

#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(GroupMembershipState, IsUnsettledAfterAChangeUntilAllSchedulersKnowIt) {
  const Settings settings = DefaultSettings();
  GroupMembership group(settings);
  EXPECT_TRUE(group.IsSettled(0));
  group.Update({3, 1}, 100 * kSecond);
  EXPECT_EQ(group.size(), 3);
  EXPECT_EQ(group.index(), 1);
  const Micros settled_at = 100 * kSecond + 12250 * kMillisecond + settings.slow_start_window;
  EXPECT_FALSE(group.IsSettled(settled_at - 1));
  EXPECT_TRUE(group.IsSettled(settled_at));
  group.Update({3, 1}, settled_at);
  EXPECT_TRUE(group.IsSettled(settled_at)) << "repeated event";
}

TEST(GroupMembershipState, IsUnsettledWithoutAValidIndexAndAfterItsExpiry) {
  Settings settings = DefaultSettings();
  settings.group_size = 0;
  GroupMembership group(settings);
  EXPECT_EQ(group.size(), 1) << "so that loads may be multiplied by it";
  EXPECT_FALSE(group.IsSettled(0));
  GroupMembership certain(DefaultSettings());
  certain.Update({2, 0, 50}, 10);
  EXPECT_TRUE(certain.IsSettled(49));
  EXPECT_FALSE(certain.IsSettled(50));
  certain.Update({2, -1}, 10);
  EXPECT_FALSE(certain.IsSettled(10));
  certain.Update({2, 0, ~Micros{0}, true}, 10);
  EXPECT_TRUE(certain.IsSettled(10)) << "no member joined or left";
}

TEST(SlowStartBudget, CountsOwnAttemptsWithinTheWindow) {
  const Settings settings = DefaultSettings();
  const GroupMembership group(settings);
  const SlowStart slow_start(settings, group);
  NodeRecord node;
  node.entry.started_at = 100 * kSecond;
  const Micros now = 101 * kSecond;
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(slow_start.Allows(node, now));
    slow_start.RecordAttempt(&node, now);
  }
  EXPECT_FALSE(slow_start.Allows(node, now)) << "half of the budget of 8";
  EXPECT_FALSE(slow_start.Allows(node, now + settings.slow_start_window));
  EXPECT_TRUE(slow_start.Allows(node, now + settings.slow_start_window + 1));
  const Micros warm_at = node.entry.started_at + settings.slow_start_duration;
  slow_start.RecordAttempt(&node, warm_at);
  EXPECT_EQ(node.slow_start_attempts.size(), 4u) << "not recorded once it is warm";
}

TEST(SlowStartBudget, GivesALargeGroupTurnsOfOneWindow) {
  Settings settings = DefaultSettings();
  settings.group_size = 8;
  settings.slow_start_budget = 4.0;  // teams of two, therefore four turns
  NodeRecord node;
  node.entry.node = 1;
  node.entry.started_at = 100 * kSecond;
  for (Micros turn = 0; turn < 4; ++turn) {
    int allowed = 0;
    for (settings.self_index = 0; settings.self_index < 8; ++settings.self_index) {
      const GroupMembership group(settings);
      allowed += SlowStart(settings, group).Allows(node, 100 * kSecond + turn * settings.slow_start_window);
    }
    EXPECT_EQ(allowed, 2) << turn;
  }
}

TEST(SlowStartBudget, AllowsNothingWhereItCannotBeShared) {
  Settings settings = DefaultSettings();
  NodeRecord node;
  node.entry.started_at = 100 * kSecond;
  const auto allows = [&](Micros now) {
    const GroupMembership group(settings);
    return SlowStart(settings, group).Allows(node, now);
  };
  EXPECT_TRUE(allows(101 * kSecond));
  EXPECT_FALSE(allows(99 * kSecond)) << "its start is in the future";
  settings.slow_start_budget = 1.0;
  EXPECT_FALSE(allows(101 * kSecond));
  settings.slow_start_budget = 8.0;
  settings.slow_start_window = 0;
  EXPECT_FALSE(allows(101 * kSecond));
}

TEST(SlowStartBudget, WaitsWhereAnEarlierRunMayHaveSpentIt) {
  const Settings settings = DefaultSettings();
  const GroupMembership group(settings);
  SlowStart slow_start(settings, group);
  NodeRecord node;
  node.entry.started_at = 100 * kSecond;
  slow_start.set_scheduler_started_at(101 * kSecond);
  EXPECT_FALSE(slow_start.Allows(node, 101 * kSecond));
  EXPECT_TRUE(slow_start.Allows(node, 101 * kSecond + settings.slow_start_window));
}

}  // namespace
}  // namespace mountflow::testing
