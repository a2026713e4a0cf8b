// Tests the table of requests and the state of their attempts.
#include "scheduler/request_table.hpp"

#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

Task MakeTask(RequestId request) {
  Task task;
  task.request = request;
  task.deadline = 50;
  task.cores = 2.0;
  return task;
}

TEST(RequestTable, AddsARequestOnce) {
  RequestTable table;
  const RequestRecord* request = table.Add(MakeTask(7), 3.0);
  ASSERT_NE(request, nullptr);
  EXPECT_EQ(request->load.cores, 2.0);
  EXPECT_EQ(request->load.priority_weight, 3.0);
  EXPECT_EQ(table.Add(MakeTask(7), 3.0), nullptr);
  EXPECT_EQ(table.Find(7), request);
  EXPECT_EQ(table.Find(8), nullptr);
}

TEST(RequestTable, FindsOnlyTheLatestAttemptInFlight) {
  RequestTable table;
  NodeRecord node;
  node.entry.node = 4;
  RequestRecord* request = table.Add(MakeTask(7), 3.0);
  EXPECT_EQ(table.FindInFlight(7, 0), nullptr);
  EXPECT_EQ(table.Start(request, &node, 10).attempt, 0u);
  EXPECT_EQ(table.FindInFlight(7, 0), request);
  table.End(request, &node, true);
  EXPECT_EQ(table.FindInFlight(7, 0), nullptr);
  const StartAttempt second = table.Start(request, &node, 20);
  EXPECT_EQ(second.attempt, 1u);
  EXPECT_EQ(second.node, 4u);
  EXPECT_EQ(second.deadline, 50u);
  EXPECT_EQ(table.FindInFlight(7, 0), nullptr);
  EXPECT_EQ(table.FindInFlight(7, 1), request);
}

TEST(RequestTable, CountsPendingStartsOnce) {
  RequestTable table;
  NodeRecord node;
  RequestRecord* request = table.Add(MakeTask(7), 3.0);
  table.Start(request, &node, 10);
  EXPECT_EQ(node.pending_starts, 1u);
  EXPECT_EQ(table.pending_starts().count(7), 1u);
  table.StopPending(*request, &node);
  table.End(request, &node, false);
  EXPECT_EQ(node.pending_starts, 0u);
  EXPECT_TRUE(table.pending_starts().empty());
}

TEST(RequestTable, StoresTheFirstAttemptThatMayHaveRun) {
  RequestTable table;
  NodeRecord nodes[3];
  for (NodeId id = 0; id < 3; ++id) nodes[id].entry.node = id;
  RequestRecord* request = table.Add(MakeTask(7), 3.0);
  for (NodeId id = 0; id < 3; ++id) {
    table.Start(request, &nodes[id], 10 + id);
    table.End(request, &nodes[id], id == 0);
  }
  EXPECT_TRUE(request->first_effect.may_have_run);
  EXPECT_EQ(request->first_effect.node, 1u);
  EXPECT_EQ(request->first_effect.sent_at, 11u);
  EXPECT_EQ(request->tried_nodes.size(), 3u);
}

TEST(RequestTable, ErasesARequestOnceItIsAnsweredAndNothingIsInFlight) {
  RequestTable table;
  NodeRecord node;
  RequestRecord* request = table.Add(MakeTask(7), 3.0);
  table.Start(request, &node, 10);
  request->answered = true;
  table.EraseIfDone(7);
  ASSERT_NE(table.Find(7), nullptr);
  table.End(request, &node, false);
  table.EraseIfDone(7);
  EXPECT_EQ(table.Find(7), nullptr);
  table.EraseIfDone(7);
}

TEST(RequestTable, TreatsARecoveredTaskAsStartedAndAnswered) {
  RequestTable table;
  RequestRecord* request = table.Add(MakeTask(7), 3.0);
  RequestTable::Recover(request, 4);
  EXPECT_TRUE(request->started);
  EXPECT_TRUE(request->answered);
  EXPECT_EQ(request->node, 4u);
  EXPECT_EQ(table.FindInFlight(7, 0), request);
  EXPECT_TRUE(table.pending_starts().empty());
}

}  // namespace
}  // namespace mountflow::testing
