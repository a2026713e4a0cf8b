// Tests the priority weights of the task classes.
#include "scheduler/priority_weights.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace mountflow::testing {
namespace {

std::vector<TaskClass> ClassesOf(const std::vector<int>& priorities) {
  std::vector<TaskClass> classes;
  for (const int priority : priorities) {
    classes.emplace_back();
    classes.back().priority = priority;
  }
  return classes;
}

TEST(PriorityWeights, AreFourThreeTwoForThreePriorities) {
  const PriorityWeights weights(ClassesOf({1, 9, 5, 9}));
  EXPECT_EQ(weights.Of(0), 2.0);
  EXPECT_EQ(weights.Of(1), 4.0);
  EXPECT_EQ(weights.Of(2), 3.0);
  EXPECT_EQ(weights.Of(3), 4.0);
  EXPECT_EQ(weights.mean(), 3.25);
  EXPECT_EQ(weights.highest_priority(), 9);
}

TEST(PriorityWeights, AreTheHighestWhereAllPrioritiesAreEqual) {
  const PriorityWeights weights(ClassesOf({-3, -3}));
  EXPECT_EQ(weights.Of(1), PriorityWeights::Highest());
  EXPECT_EQ(weights.highest_priority(), 0);
}

TEST(PriorityWeights, HaveAMeanOfZeroWithoutClasses) { EXPECT_EQ(PriorityWeights({}).mean(), 0.0); }

}  // namespace
}  // namespace mountflow::testing
