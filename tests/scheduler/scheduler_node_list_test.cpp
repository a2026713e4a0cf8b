// Tests when the scheduler subscribes to the node list.
#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(NodeList, IsWatchedWhereItComesOnRequest) {
  Settings settings = DefaultSettings();
  settings.list_on_request = true;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1)}, NodeListKind::kCached);
  EXPECT_EQ(fixture.AllActions<WatchNodes>().size(), 1u);
  fixture.UpdateNodes({}, NodeListKind::kUnavailable);
  EXPECT_TRUE(fixture.AllActions<WatchNodes>().empty());
  fixture.TickUntil(fixture.now + 5 * kSecond);
  EXPECT_EQ(fixture.AllActions<WatchNodes>().size(), 1u);  // no second retry before the first has a result
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());  // the earlier list remains in use
}

TEST(NodeList, IsNotWatchedWhereItIsPushed) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1)}, NodeListKind::kCached);
  fixture.TickUntil(fixture.now + 20 * kSecond);
  EXPECT_TRUE(fixture.AllActions<WatchNodes>().empty());
}

}  // namespace
}  // namespace mountflow::testing
