// Tests of the order of timers.
#include "event_loop/timer_queue.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mountflow::event_loop {
namespace {

class TimerQueueTest : public ::testing::Test {
 protected:
  TimerQueue::Callback Record(const std::string& name) {
    return [this, name] { ran_.push_back(name); };
  }

  TimerQueue queue_;
  std::vector<std::string> ran_;
};

using Names = std::vector<std::string>;

TEST_F(TimerQueueTest, RunsByDueTimeAndEqualOnesInOrderAdded) {
  queue_.Add(1, 30, Record("late"));
  queue_.Add(2, 10, Record("first"));
  queue_.Add(3, 20, Record("second"));
  queue_.Add(4, 20, Record("third"));
  EXPECT_EQ(queue_.NextDue(), 10u);
  queue_.RunDue(9);
  EXPECT_EQ(ran_, Names{});
  queue_.RunDue(20);
  EXPECT_EQ(ran_, (Names{"first", "second", "third"}));
  EXPECT_EQ(queue_.NextDue(), 30u);
  queue_.RunDue(30);
  EXPECT_EQ(ran_, (Names{"first", "second", "third", "late"}));
  EXPECT_EQ(queue_.NextDue(), kNever);
}

TEST_F(TimerQueueTest, DoesNotRunCancelledTimer) {
  queue_.Add(1, 10, Record("cancelled"));
  queue_.Add(2, 10, Record("remaining"));
  queue_.Cancel(1);
  queue_.Cancel(1);
  queue_.Cancel(99);
  queue_.RunDue(10);
  EXPECT_EQ(ran_, Names{"remaining"});
  queue_.Cancel(2);  // has run already
  EXPECT_EQ(queue_.NextDue(), kNever);
}

TEST_F(TimerQueueTest, CallbackMayCancelTimerThatIsDueToo) {
  queue_.Add(1, 10, [this] { queue_.Cancel(2); });
  queue_.Add(2, 10, Record("cancelled"));
  queue_.RunDue(10);
  EXPECT_EQ(ran_, Names{});
}

TEST_F(TimerQueueTest, RunsTimerThatCallbackAddsWhenItIsDue) {
  queue_.Add(1, 10, [this] {
    queue_.Add(2, 5, Record("due"));
    queue_.Add(3, 11, Record("not due"));
  });
  queue_.RunDue(10);
  EXPECT_EQ(ran_, Names{"due"});
  EXPECT_EQ(queue_.NextDue(), 11u);
}

TEST_F(TimerQueueTest, MainTimerRunsAfterTheOthersAndOnce) {
  queue_.SetMain(5, Record("main"));
  queue_.Add(1, 10, Record("other"));
  EXPECT_EQ(queue_.NextDue(), 5u);
  queue_.RunDue(10);
  EXPECT_EQ(ran_, (Names{"other", "main"}));
  queue_.RunDue(20);
  EXPECT_EQ(ran_, (Names{"other", "main"}));
}

TEST_F(TimerQueueTest, MovesMainTimerAndKeepsItsCallback) {
  queue_.SetMain(5, Record("main"));
  queue_.SetMain(15, nullptr);
  EXPECT_EQ(queue_.NextDue(), 15u);
  queue_.RunDue(10);
  EXPECT_EQ(ran_, Names{});
  queue_.RunDue(15);
  EXPECT_EQ(ran_, Names{"main"});
  queue_.SetMain(kNever, nullptr);
  EXPECT_EQ(queue_.NextDue(), kNever);
}

TEST_F(TimerQueueTest, MainCallbackMayArmItselfAgain) {
  queue_.SetMain(5, [this] {
    ran_.emplace_back("main");
    queue_.SetMain(25, nullptr);
  });
  queue_.RunDue(10);
  EXPECT_EQ(queue_.NextDue(), 25u);
  queue_.RunDue(25);
  EXPECT_EQ(ran_, (Names{"main", "main"}));
}

}  // namespace
}  // namespace mountflow::event_loop
