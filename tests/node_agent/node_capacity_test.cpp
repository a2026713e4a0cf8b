#include "node_agent/node_capacity.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

NodeConfig SmallNode() {
  NodeConfig config;
  config.cores = 4.0;
  config.memory = 8.0;
  config.overcommit_cores = 2.0;
  return config;
}

TaskSpec Task(double cores, double memory) {
  TaskSpec spec;
  spec.cores = cores;
  spec.memory = memory;
  return spec;
}

TEST(NodeCapacity, ReportsWhichResourceIsShortWithinItsOvercommitment) {
  NodeCapacity capacity(SmallNode());
  EXPECT_FALSE(capacity.FindShortage(Task(8.0, 8.0)));
  EXPECT_EQ(capacity.FindShortage(Task(8.5, 9.0)), RejectionReason::kNoCores);
  EXPECT_EQ(capacity.FindShortage(Task(8.0, 9.0)), RejectionReason::kNoMemory);
}

TEST(NodeCapacity, ReservationsReduceFreeResourcesUntilTheyAreReleased) {
  NodeCapacity capacity(SmallNode());
  capacity.Reserve(Task(6.0, 3.0));
  EXPECT_EQ(capacity.free_cores(), -2.0);
  EXPECT_EQ(capacity.free_memory(), 5.0);
  EXPECT_FALSE(capacity.FitsAfterRelease(Task(4.0, 1.0), 1.0, 1.0));
  EXPECT_TRUE(capacity.FitsAfterRelease(Task(4.0, 1.0), 2.0, 1.0));
  capacity.Release(Task(6.0, 3.0));
  EXPECT_EQ(capacity.free_cores(), 4.0);
}

TEST(NodeCapacity, TheDescriptionNamesFreeAndRequestedAmounts) {
  NodeCapacity capacity(SmallNode());
  capacity.Reserve(Task(3.0, 7.5));
  EXPECT_EQ(capacity.DescribeShortage(RejectionReason::kNoCores, Task(2.0, 1.0)),
            "no cores: 1 of 4 free, asked for 2");
  EXPECT_EQ(capacity.DescribeShortage(RejectionReason::kNoMemory, Task(2.0, 1.0)),
            "no memory: 0.5 of 8 free, asked for 1");
}

}  // namespace
}  // namespace mountflow::node_agent
