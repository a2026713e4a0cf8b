#include <gtest/gtest.h>

#include <limits>

#include "job_manager/timer_queue.hpp"

namespace mountflow::job_manager {
namespace {

std::uint64_t PopToken(TimerQueue* timers, Micros now) {
  const auto timer = timers->PopDue(now);
  return timer ? std::get<SchedulerTimer>(*timer).token : 0;
}

TEST(TimerQueue, HasNoNextTimeWhenEmpty) {
  TimerQueue timers;
  EXPECT_EQ(timers.NextDue(), std::numeric_limits<Micros>::max());
  EXPECT_FALSE(timers.PopDue(std::numeric_limits<Micros>::max()));
}

TEST(TimerQueue, ReturnsTimersInTheOrderOfTheirTimesAndOfAdding) {
  TimerQueue timers;
  timers.Add(20, SchedulerTimer{1});
  timers.Add(10, SchedulerTimer{2});
  timers.Add(20, SchedulerTimer{3});
  timers.Add(10, SchedulerTimer{4});
  EXPECT_EQ(timers.NextDue(), 10u);
  EXPECT_EQ(PopToken(&timers, 20), 2u);
  EXPECT_EQ(PopToken(&timers, 20), 4u);
  EXPECT_EQ(PopToken(&timers, 20), 1u);
  EXPECT_EQ(PopToken(&timers, 20), 3u);
}

TEST(TimerQueue, KeepsTimersThatAreNotDue) {
  TimerQueue timers;
  timers.Add(10, ReconcileRetry{7});
  EXPECT_FALSE(timers.PopDue(9));
  const auto timer = timers.PopDue(10);
  ASSERT_TRUE(timer);
  EXPECT_EQ(std::get<ReconcileRetry>(*timer).node, 7u);
}

}  // namespace
}  // namespace mountflow::job_manager
