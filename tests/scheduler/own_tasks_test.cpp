// Tests the counts of own tasks by service and node.
#include "scheduler/own_tasks.hpp"

#include <gtest/gtest.h>

#include "scheduler/node_table.hpp"

namespace mountflow::testing {
namespace {

TaskLoad LoadOf(RequestId request) { return {request, 2.0, 4.0, 3.0, 10}; }

TEST(OwnTasks, CountByServiceAndNode) {
  NodeTable nodes;
  OwnTasks tasks;
  tasks.Start(5, LoadOf(1), &nodes.FindOrAdd(7));
  tasks.Start(5, LoadOf(2), &nodes.FindOrAdd(7));
  tasks.Start(6, LoadOf(3), &nodes.FindOrAdd(8));
  ASSERT_EQ(tasks.OfService(5).size(), 1u);
  EXPECT_EQ(tasks.OfService(5).at(7).present, 2);
  EXPECT_EQ(tasks.OfService(6).at(8).present, 1);
  EXPECT_TRUE(tasks.OfService(9).empty());
  EXPECT_EQ(nodes.Find(7)->own_load.task_count(), 2u);
}

TEST(OwnTasks, CountAnEndedTaskAsRecentUntilItIsForgotten) {
  NodeTable nodes;
  OwnTasks tasks;
  tasks.Start(5, LoadOf(1), &nodes.FindOrAdd(7));
  tasks.End(5, LoadOf(1), &nodes.FindOrAdd(7), 20);
  EXPECT_EQ(tasks.OfService(5).at(7).present, 0);
  EXPECT_EQ(tasks.OfService(5).at(7).recent, 1);
  tasks.ForgetEndedBefore(20, &nodes);
  EXPECT_EQ(tasks.OfService(5).at(7).recent, 1);
  tasks.ForgetEndedBefore(21, &nodes);
  EXPECT_TRUE(tasks.OfService(5).empty());
  EXPECT_EQ(nodes.Find(7)->own_load.present().cores, 0);
}

TEST(OwnTasks, RemovedTaskLeavesNothingBehind) {
  NodeTable nodes;
  OwnTasks tasks;
  tasks.Start(5, LoadOf(1), &nodes.FindOrAdd(7));
  tasks.Remove(5, LoadOf(1), &nodes.FindOrAdd(7));
  EXPECT_TRUE(tasks.OfService(5).empty());
  EXPECT_EQ(nodes.Find(7)->own_load.unobserved().cores, 0);
  EXPECT_EQ(nodes.Find(7)->own_load.task_count(), 0u);
}

}  // namespace
}  // namespace mountflow::testing
