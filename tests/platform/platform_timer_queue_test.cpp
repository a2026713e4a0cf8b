// Tests of the timer queue: the order in which timers are due.
#include <gtest/gtest.h>

#include "platform/timer_queue.hpp"

namespace mountflow::platform {
namespace {

TEST(TimerQueue, IsNeverDueWhenEmpty) {
  TimerQueue<int> timers;
  EXPECT_EQ(timers.NextDue(), kNever);
  EXPECT_EQ(timers.TakeDue(kNever), std::nullopt);
}

TEST(TimerQueue, ReturnsDueTimersInOrderOfTimeAndId) {
  TimerQueue<int> timers;
  timers.Add(20, 1);
  timers.Add(10, 3);
  timers.Add(10, 2);
  timers.Add(10, 2);  // has no effect
  EXPECT_EQ(timers.size(), 3u);
  EXPECT_EQ(timers.NextDue(), 10u);
  EXPECT_EQ(timers.TakeDue(9), std::nullopt);
  EXPECT_EQ(timers.TakeDue(10), 2);
  EXPECT_EQ(timers.TakeDue(10), 3);
  EXPECT_EQ(timers.TakeDue(19), std::nullopt);
  EXPECT_EQ(timers.TakeDue(25), 1);
}

TEST(TimerQueue, RemovesATimerByItsTimeAndId) {
  TimerQueue<int> timers;
  timers.Add(10, 1);
  timers.Remove(11, 1);
  EXPECT_EQ(timers.size(), 1u);
  timers.Remove(10, 1);
  EXPECT_EQ(timers.NextDue(), kNever);
}

}  // namespace
}  // namespace mountflow::platform
