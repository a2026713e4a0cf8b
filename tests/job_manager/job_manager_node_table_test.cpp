#include <gtest/gtest.h>

#include "job_manager/node_table.hpp"

namespace mountflow::job_manager {
namespace {

NodeRecord& AddPresent(NodeTable* nodes, NodeId id) {
  NodeRecord& node = nodes->FindOrCreate(id);
  node.present = true;
  node.listed.name = "node-" + std::to_string(id);
  return node;
}

TEST(NodeTable, FindsNodesAndTheirNames) {
  NodeTable nodes(1);
  AddPresent(&nodes, 7);
  EXPECT_NE(nodes.Find(7), nullptr);
  EXPECT_EQ(nodes.Find(8), nullptr);
  EXPECT_EQ(nodes.NameOf(7), "node-7");
  EXPECT_EQ(nodes.NameOf(8), "");
  EXPECT_EQ(nodes.NameOf(8, "?"), "?");
  nodes.Erase(7);
  EXPECT_EQ(nodes.size(), 0u);
}

TEST(NodeTable, ListsOnlyNodesThatArePresentInTheOrderOfTheirIds) {
  NodeTable nodes(1);
  for (const NodeId id : {9u, 3u, 5u}) AddPresent(&nodes, id);
  nodes.FindOrCreate(5).present = false;
  EXPECT_EQ(nodes.PresentNodes(), (std::vector<NodeId>{3, 9}));
}

TEST(NodeTable, GivesEqualIdsToEqualNames) {
  EXPECT_EQ(NodeTable::IdOf("a"), NodeTable::IdOf("a"));
  EXPECT_NE(NodeTable::IdOf("a"), NodeTable::IdOf("b"));
}

TEST(NodeTable, ReconcilesAsManyNodesAtATimeAsItsBound) {
  NodeTable nodes(2);
  for (const NodeId id : {1u, 2u, 3u}) {
    AddPresent(&nodes, id);
    nodes.QueueReconciliation(id);
  }
  nodes.QueueReconciliation(3);  // is queued already
  EXPECT_EQ(nodes.StartReconciliations(5), (std::vector<NodeId>{1, 2}));
  EXPECT_EQ(nodes.Find(1)->reconcile_sent, 5u);
  EXPECT_TRUE(nodes.StartReconciliations(6).empty());
  nodes.EndReconciliation(nodes.Find(1));
  nodes.EndReconciliation(nodes.Find(1));  // the second call has no effect
  EXPECT_EQ(nodes.StartReconciliations(7), (std::vector<NodeId>{3}));
}

TEST(NodeTable, DoesNotReconcileANodeThatLeftWhileItWaited) {
  NodeTable nodes(1);
  for (const NodeId id : {1u, 2u, 3u}) {
    AddPresent(&nodes, id);
    nodes.QueueReconciliation(id);
  }
  nodes.Find(1)->present = false;
  nodes.Erase(2);
  EXPECT_EQ(nodes.StartReconciliations(1), (std::vector<NodeId>{3}));
  EXPECT_FALSE(nodes.Find(1)->reconciling);
}

}  // namespace
}  // namespace mountflow::job_manager
