// Tests of node ids by name, listed nodes, and the running tasks of each node.
#include "platform/node_directory.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace mountflow::platform {
namespace {

// Node ids must be the same in all schedulers and after a restart, so the hash values are fixed.
TEST(NodeDirectory, DerivesTheIdFromTheNameAlone) {
  NodeDirectory nodes;
  EXPECT_EQ(nodes.IdOf(""), 2166136261u);
  EXPECT_EQ(nodes.IdOf("a"), 0xe40c292cu);  // published test vectors of FNV-1a
  EXPECT_EQ(nodes.IdOf("foobar"), 0xbf9cf968u);
  EXPECT_EQ(nodes.IdOf("a"), 0xe40c292cu);
  EXPECT_EQ(nodes.size(), 3u);
}

TEST(NodeDirectory, GivesCollidingNamesDifferentIds) {
  NodeDirectory nodes;
  const NodeId first = nodes.IdOf("costarring");  // a known collision of this hash
  EXPECT_EQ(nodes.IdOf("liquid"), first + 1);
  EXPECT_EQ(nodes.IdOf("costarring"), first);
}

// Entries may be repeated, come late or lack a start time; only a later start is a restart.
TEST(NodeDirectory, RecordsOnlyLaterProcessStarts) {
  NodeDirectory nodes;
  const NodeId node = nodes.IdOf("node");
  EXPECT_FALSE(nodes.RecordProcessStart(node, 0));
  EXPECT_TRUE(nodes.RecordProcessStart(node, 20));
  EXPECT_FALSE(nodes.RecordProcessStart(node, 20));
  EXPECT_FALSE(nodes.RecordProcessStart(node, 10));
  EXPECT_FALSE(nodes.RecordProcessStart(node, 0));
  EXPECT_TRUE(nodes.RecordProcessStart(node, 21));
  EXPECT_EQ(nodes.NameOf(node), "node");
  EXPECT_EQ(nodes.NameOf(node + 1), "");
}

TEST(NodeDirectory, ForgetsNamesThatAreNeitherListedNorUsed) {
  NodeDirectory nodes;
  nodes.MarkListed(nodes.IdOf("listed"));
  nodes.AddRunningTask(nodes.IdOf("used"), 1);
  nodes.IdOf("unused");
  nodes.ForgetUnlisted();
  EXPECT_EQ(nodes.size(), 2u);
  nodes.MarkUnlisted(nodes.IdOf("listed"));
  nodes.ForgetUnlisted();
  EXPECT_EQ(nodes.size(), 1u);
}

TEST(NodeDirectory, ForgetsAnUnlistedNodeWithItsLastTask) {
  NodeDirectory nodes;
  const NodeId node = nodes.IdOf("node");
  nodes.AddRunningTask(node, 1);
  nodes.AddRunningTask(node, 2);
  EXPECT_EQ(nodes.RunningTasks(node), (std::set<RequestId>{1, 2}));
  EXPECT_TRUE(nodes.RemoveRunningTask(node, 1));
  EXPECT_FALSE(nodes.RemoveRunningTask(node, 1));
  EXPECT_EQ(nodes.size(), 1u);
  EXPECT_TRUE(nodes.RemoveRunningTask(node, 2));
  EXPECT_EQ(nodes.size(), 0u);
  EXPECT_FALSE(nodes.RemoveRunningTask(node, 2));
  EXPECT_TRUE(nodes.RunningTasks(node).empty());
}

TEST(NodeDirectory, KeepsAListedNodeWithoutTasks) {
  NodeDirectory nodes;
  const NodeId node = nodes.IdOf("node");
  nodes.MarkListed(node);
  nodes.AddRunningTask(node, 1);
  EXPECT_TRUE(nodes.RemoveRunningTask(node, 1));
  EXPECT_EQ(nodes.size(), 1u);
}

TEST(NodeDirectory, ReturnsTheNodesThatASnapshotLacks) {
  NodeDirectory nodes;
  const NodeId first = nodes.IdOf("a");
  nodes.IdOf("b");
  const NodeId third = nodes.IdOf("c");
  EXPECT_EQ(nodes.NotNamedIn({"b", "d"}), (std::vector<NodeId>{first, third}));
}

TEST(ToNodeEntry, MapsNamesAndStatesToTheSchedulersNumbers) {
  settings::WireSettings wire;
  wire.zone_names = {"left", "right"};
  wire.kind_names = {"small", "big"};
  ListedNode node;
  node.zone = "right";
  node.kind = "big";
  node.rack = 3;
  node.started_at = 9;
  node.free_cores = 4;
  node.free_memory = 8;
  node.status = "ready";
  NodeEntry entry = ToNodeEntry(node, 7, wire);
  EXPECT_EQ(entry.node, 7u);
  EXPECT_EQ(entry.zone, 1u);
  EXPECT_EQ(entry.kind, 1u);
  EXPECT_EQ(entry.rack, 3u);
  EXPECT_EQ(entry.started_at, 9u);
  EXPECT_EQ(entry.free_cores, 4);
  EXPECT_EQ(entry.free_memory, 8);
  EXPECT_EQ(entry.state, NodeState::kReady);
  node.status = "draining";
  node.zone = "unknown";
  entry = ToNodeEntry(node, 7, wire);
  EXPECT_EQ(entry.state, NodeState::kDraining);
  EXPECT_EQ(entry.zone, 0u);
  node.status = "gone";
  EXPECT_EQ(ToNodeEntry(node, 7, wire).state, NodeState::kGone);
}

}  // namespace
}  // namespace mountflow::platform
