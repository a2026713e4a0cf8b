// Tests the table of listed nodes.
#include "scheduler/node_table.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <utility>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

NodeListUpdate List(NodeListKind kind, std::vector<NodeEntry> nodes) {
  NodeListUpdate update;
  update.kind = kind;
  update.nodes = std::move(nodes);
  return update;
}

TEST(NodeTable, SnapshotUnlistsWhatADeltaKeeps) {
  NodeTable table;
  table.Apply(List(NodeListKind::kSnapshot, {MakeNodeEntry(1), MakeNodeEntry(2)}), 10);
  table.Apply(List(NodeListKind::kDelta, {MakeNodeEntry(2)}), 20);
  EXPECT_TRUE(table.Find(1)->listed);
  table.Apply(List(NodeListKind::kSnapshot, {MakeNodeEntry(2)}), 30);
  EXPECT_FALSE(table.Find(1)->listed);
  table.RefreshReady();
  ASSERT_EQ(table.ready().size(), 1u);
  EXPECT_EQ(table.ready()[0], table.Find(2));
  EXPECT_EQ(table.Find(3), nullptr);
}

TEST(NodeTable, DrainingAndGoneNodesAreNotReady) {
  NodeTable table;
  NodeEntry draining = MakeNodeEntry(1);
  draining.state = NodeState::kDraining;
  NodeEntry gone = MakeNodeEntry(2);
  gone.state = NodeState::kGone;
  table.Apply(List(NodeListKind::kSnapshot, {draining, gone}), 10);
  table.RefreshReady();
  EXPECT_TRUE(table.ready().empty());
  EXPECT_TRUE(table.Find(1)->listed);
  EXPECT_FALSE(table.Find(2)->listed);
}

TEST(NodeTable, ReportsRestartsOfListedNodes) {
  NodeTable table;
  NodeEntry entry = MakeNodeEntry(1);
  EXPECT_TRUE(table.Apply(List(NodeListKind::kSnapshot, {entry}), 10).empty()) << "new, not restarted";
  entry.started_at = 15;
  const auto restarted = table.Apply(List(NodeListKind::kDelta, {entry}), 20);
  ASSERT_EQ(restarted.size(), 1u);
  EXPECT_EQ(restarted[0], table.Find(1));
  EXPECT_TRUE(table.Apply(List(NodeListKind::kDelta, {entry}), 30).empty());
}

TEST(NodeTable, StoresWhenFreeCapacityChangedAndItsPreviousValue) {
  NodeTable table;
  table.Apply(List(NodeListKind::kSnapshot, {MakeNodeEntry(1, 30.0)}), 10);
  table.Apply(List(NodeListKind::kDelta, {MakeNodeEntry(1, 30.0)}), 20);
  EXPECT_EQ(table.Find(1)->entry_changed_at, 10u);
  table.Apply(List(NodeListKind::kDelta, {MakeNodeEntry(1, 25.0)}), 30);
  EXPECT_EQ(table.Find(1)->entry_changed_at, 30u);
  EXPECT_EQ(table.Find(1)->previous_free_cores, 30.0);
  table.Apply(List(NodeListKind::kDelta, {MakeNodeEntry(1, std::nan(""))}), 40);
  EXPECT_EQ(table.Find(1)->entry.free_cores, 0.0);
}

TEST(NodeTable, RemovesNodesNeitherListedNorWithOwnTasks) {
  NodeTable table;
  table.Apply(List(NodeListKind::kSnapshot, {MakeNodeEntry(1)}), 10);
  TaskLoad load;
  load.sent_at = 10;
  table.FindOrAdd(2).own_load.Start(load);
  table.ForgetUnneeded(10, 100);
  table.Apply(List(NodeListKind::kSnapshot, {}), 20);
  table.ForgetUnneeded(110, 100);
  EXPECT_NE(table.Find(1), nullptr);
  table.ForgetUnneeded(111, 100);
  EXPECT_EQ(table.Find(1), nullptr);
  EXPECT_NE(table.Find(2), nullptr);
  EXPECT_EQ(table.Find(2)->entry.node, 2u);
}

}  // namespace
}  // namespace mountflow::testing
