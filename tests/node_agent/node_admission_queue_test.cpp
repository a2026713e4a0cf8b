#include <gtest/gtest.h>

#include "node_agent/admission_queue.hpp"

namespace mountflow::node_agent {
namespace {

TEST(AdmissionQueue, OneAttemptIsInDecisionAndTheOthersWaitInOrder) {
  AdmissionQueue queue(1);
  EXPECT_FALSE(queue.TakeNext());
  queue.Add("first");
  EXPECT_FALSE(queue.IsFull());  // no attempt is in decision yet
  EXPECT_TRUE(queue.TakeNext());
  queue.Add("second");
  EXPECT_TRUE(queue.IsFull());
  EXPECT_EQ(queue.size(), 2u);
  EXPECT_EQ(queue.in_decision(), "first");
  queue.EndDecisionOn("second");
  EXPECT_TRUE(queue.IsDeciding());
  queue.EndDecisionOn("first");
  EXPECT_FALSE(queue.IsDeciding());
  EXPECT_TRUE(queue.TakeNext());
  EXPECT_EQ(queue.in_decision(), "second");
}

TEST(AdmissionQueue, TakeWaitingDoesNotAffectTheAttemptInDecision) {
  AdmissionQueue queue(4);
  for (const char* const attempt : {"a", "b", "c"}) queue.Add(attempt);
  EXPECT_TRUE(queue.TakeNext());
  EXPECT_EQ(queue.TakeWaiting(), (std::deque<std::string>{"b", "c"}));
  EXPECT_EQ(queue.in_decision(), "a");
  EXPECT_EQ(queue.size(), 1u);
}

}  // namespace
}  // namespace mountflow::node_agent
