#include "node_agent/warm_up.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStarted = 100 * kSecond;

NodeConfig WarmingUpNode() {
  NodeConfig config;
  config.slow_start_initial_pace = 0.25;
  config.slow_start_duration = 10 * kSecond;
  config.slow_start_window = kSecond;
  config.max_concurrent_starts = 1;
  config.start_time = 100'000;
  config.uncached_start_factor = 1.0;  // 10 starts a second
  config.overload_multiple = 2.0;
  config.min_overload_attempts = 0.0;
  return config;
}

TEST(WarmUp, ThePaceGrowsLinearlyToTheFullPace) {
  const WarmUp warm_up(WarmingUpNode(), kStarted);
  EXPECT_DOUBLE_EQ(warm_up.Pace(kStarted - kSecond), 0.25);
  EXPECT_DOUBLE_EQ(warm_up.Pace(kStarted), 0.25);
  EXPECT_DOUBLE_EQ(warm_up.Pace(kStarted + 5 * kSecond), 0.625);
  EXPECT_DOUBLE_EQ(warm_up.Pace(kStarted + 10 * kSecond), 1.0);
}

TEST(WarmUp, MoreAttemptsInAWindowThanItsPaceAllowsAreAFailure) {
  WarmUp warm_up(WarmingUpNode(), kStarted);
  for (int i = 0; i < 5; ++i) EXPECT_FALSE(warm_up.RecordAttempt(kStarted));  // 2 x 0.25 x 10 per second
  const auto failure = warm_up.RecordAttempt(kStarted);
  ASSERT_TRUE(failure.has_value());
  EXPECT_EQ(failure->attempts, 6u);
  EXPECT_DOUBLE_EQ(failure->max_attempts, 5.0);
}

TEST(WarmUp, AttemptsLeaveTheWindowWithTime) {
  WarmUp warm_up(WarmingUpNode(), kStarted);
  for (int i = 0; i < 5; ++i) EXPECT_FALSE(warm_up.RecordAttempt(kStarted));
  for (int i = 0; i < 5; ++i) EXPECT_FALSE(warm_up.RecordAttempt(kStarted + kSecond));
}

TEST(WarmUp, AWarmNodeNeverFailsByOverload) {
  WarmUp warm_up(WarmingUpNode(), 0);
  EXPECT_DOUBLE_EQ(warm_up.Pace(1), 1.0);
  for (int i = 0; i < 1000; ++i) ASSERT_FALSE(warm_up.RecordAttempt(1));
}

}  // namespace
}  // namespace mountflow::node_agent
