// Tests rule 4, the slow-start budget, while schedulers join and leave the group.
#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

// One node that is warming up for a minute.
struct WarmingNodeFixture : SchedulerFixture {
  WarmingNodeFixture() : SchedulerFixture(LongSlowStart()) {
    NodeEntry warming_node = MakeNodeEntry(1);
    warming_node.started_at = now - kSecond;
    UpdateNodes({warming_node});
  }
  static Settings LongSlowStart() {
    Settings settings = DefaultSettings();
    settings.slow_start_duration = 60 * kSecond;
    return settings;
  }
};

// Shares computed from the old and from the new group size must not add up to more than the budget. Warming
// nodes get no attempts until all schedulers know of the change.
TEST(GroupMembership, ChangeStopsAttemptsAtWarmingNodesUntilAllSchedulersKnowIt) {
  WarmingNodeFixture fixture;
  fixture.now += 4 * kSecond;
  fixture.Submit();
  EXPECT_EQ(fixture.AllActions<StartAttempt>().size(), 1u);  // membership from the settings
  fixture.Handle(MembershipChange{3, 1});
  const Micros changed = fixture.now;
  for (; fixture.now < changed + 15 * kSecond; fixture.now += kSecond) {
    fixture.Submit();
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty()) << (fixture.now - changed) / kMillisecond;
  }
  fixture.now = changed + 16 * kSecond;
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    fixture.Submit();
    sent += static_cast<int>(fixture.AllActions<StartAttempt>().size());
  }
  EXPECT_EQ(sent, 2);                      // budget of 8, three schedulers
  fixture.Handle(MembershipChange{3, 1});  // repeated event: no change
  fixture.now += 4 * kSecond;
  fixture.Submit();
  EXPECT_EQ(fixture.AllActions<StartAttempt>().size(), 1u);
}

// The membership becomes uncertain when a lease is renewed late or a list arrives late. Without a change of
// the group, there must be no wait afterwards.
TEST(GroupMembership, UndisturbedUncertaintyEndsAtOnce) {
  WarmingNodeFixture fixture;
  fixture.Handle(MembershipChange{3, 1});
  const auto sends = [&fixture] {
    fixture.now += 4 * kSecond;
    fixture.Submit();
    return fixture.AllActions<StartAttempt>().size();
  };
  EXPECT_EQ(sends(), 0u);
  fixture.now += 12 * kSecond;
  EXPECT_EQ(sends(), 1u);
  fixture.Handle(MembershipChange{3, -1});
  EXPECT_EQ(sends(), 0u);
  fixture.Handle(MembershipChange{3, 1, ~Micros{0}, true});
  EXPECT_EQ(sends(), 1u);
  fixture.Handle(MembershipChange{3, -1});
  fixture.Handle(MembershipChange{3, 1, ~Micros{0}, false});  // a member joined and left
  EXPECT_EQ(sends(), 0u);
}

// A process that was suspended must not continue with a membership that was certain before.
TEST(GroupMembership, IsCertainOnlyUntilItsExpiry) {
  WarmingNodeFixture fixture;
  fixture.Handle(MembershipChange{3, 1});
  fixture.now += 16 * kSecond;
  fixture.Handle(MembershipChange{3, 1, fixture.now + kSecond, true});
  fixture.Submit();
  EXPECT_EQ(fixture.AllActions<StartAttempt>().size(), 1u);
  fixture.now += 4 * kSecond;
  fixture.Submit();
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  fixture.Handle(MembershipChange{3, 1, fixture.now + kSecond, true});
  fixture.Submit();
  EXPECT_EQ(fixture.AllActions<StartAttempt>().size(), 1u);
}

TEST(GroupMembership, UncertainSchedulerSendsOnlyToWarmNodes) {
  SchedulerFixture fixture(DefaultSettings());
  NodeEntry warming_node = MakeNodeEntry(1);
  warming_node.started_at = fixture.now - kSecond;
  fixture.UpdateNodes({warming_node});
  fixture.now += 4 * kSecond;
  for (const MembershipChange uncertain :
       {MembershipChange{2, -1}, MembershipChange{0, 0}, MembershipChange{2, 2}}) {
    fixture.Handle(uncertain);
    fixture.now += 1;
    fixture.Submit();
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  }
  fixture.UpdateNodes({warming_node, MakeNodeEntry(2)});
  fixture.Submit();
  ASSERT_EQ(fixture.AllActions<StartAttempt>().size(), 1u);
  EXPECT_EQ(fixture.AllActions<StartAttempt>()[0].node, 2u);
}

}  // namespace
}  // namespace mountflow::testing
