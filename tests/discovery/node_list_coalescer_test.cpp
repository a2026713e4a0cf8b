// Tests of how changes of keys become node list events and how frequent changes are coalesced.
#include "discovery/node_list_coalescer.hpp"

#include <gtest/gtest.h>

#include "discovery/entry.hpp"

namespace mountflow::discovery {
namespace {

constexpr Micros kStart = 1'000'000'000, kInterval = 100'000;

KeyChange Changed(const std::string& key, double cores, NodeState state = NodeState::kReady,
                  std::uint64_t revision = 1) {
  job_manager::ListedNode node;
  node.name = key, node.address = "h:1", node.free_cores = cores, node.state = state;
  return {key, EncodeNodeEntry(node), revision, false};
}
KeyChange Removed(const std::string& key) { return {key, "", 1, true}; }

// Returns a coalescer that has published node "a".
NodeListCoalescer MakePublished() {
  NodeListCoalescer coalescer(kInterval);
  EXPECT_TRUE(coalescer.Merge({Changed("a", 1)}).empty());
  coalescer.OnFullRead();
  EXPECT_TRUE(coalescer.TakeEvent(kStart).has_value());
  return coalescer;
}

TEST(NodeListCoalescer, PublishesASnapshotFirstAndDeltasAfter) {
  NodeListCoalescer coalescer(kInterval);
  EXPECT_FALSE(coalescer.TakeEvent(kStart));
  EXPECT_TRUE(coalescer.Merge({Changed("a", 1), Changed("b", 2)}).empty());
  coalescer.OnFullRead();
  const auto snapshot = coalescer.TakeEvent(kStart);
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->kind, NodeListKind::kSnapshot);
  EXPECT_EQ(snapshot->nodes.size(), 2u);
  EXPECT_TRUE(coalescer.Merge({Changed("b", 3)}).empty());
  coalescer.OnFullRead();
  const auto delta = coalescer.TakeEvent(kStart + kInterval);
  ASSERT_TRUE(delta);
  EXPECT_EQ(delta->kind, NodeListKind::kDelta);
  ASSERT_EQ(delta->nodes.size(), 1u);
  EXPECT_EQ(delta->nodes[0].free_cores, 3.0);
}

TEST(NodeListCoalescer, PublishesAnEmptyRegistryAsAnEmptySnapshot) {
  NodeListCoalescer coalescer(kInterval);
  coalescer.OnFullRead();
  EXPECT_FALSE(coalescer.has_published());
  const auto snapshot = coalescer.TakeEvent(kStart);
  ASSERT_TRUE(snapshot);
  EXPECT_TRUE(snapshot->nodes.empty());
  EXPECT_TRUE(coalescer.has_published());
}

TEST(NodeListCoalescer, PublishesTheLatestStateOnceInAnInterval) {
  NodeListCoalescer coalescer = MakePublished();
  for (int i = 0; i < 50; ++i) {
    EXPECT_TRUE(coalescer.Merge({Changed("a", i)}).empty());
    EXPECT_FALSE(coalescer.TakeEvent(kStart + kInterval - 1));
  }
  EXPECT_EQ(coalescer.NextTimer(), kStart + kInterval);
  const auto event = coalescer.TakeEvent(kStart + kInterval);
  ASSERT_TRUE(event);
  ASSERT_EQ(event->nodes.size(), 1u);
  EXPECT_EQ(event->nodes[0].free_cores, 49.0);
  EXPECT_FALSE(coalescer.NextTimer());
}

TEST(NodeListCoalescer, PublishesANodeThatDrainsImmediatelyAndOnce) {
  NodeListCoalescer coalescer = MakePublished();
  EXPECT_TRUE(coalescer.Merge({Changed("a", 1, NodeState::kDraining)}).empty());
  EXPECT_EQ(coalescer.NextTimer(), 0u);
  EXPECT_TRUE(coalescer.TakeEvent(kStart + 1));
  EXPECT_TRUE(coalescer.Merge({Changed("a", 2, NodeState::kDraining)}).empty());  // already draining
  EXPECT_FALSE(coalescer.TakeEvent(kStart + 2));
}

TEST(NodeListCoalescer, PublishesARemovedNodeImmediatelyAsGone) {
  NodeListCoalescer coalescer = MakePublished();
  EXPECT_TRUE(coalescer.Merge({Removed("a"), Removed("never seen")}).empty());
  const auto event = coalescer.TakeEvent(kStart + 1);
  ASSERT_TRUE(event);
  ASSERT_EQ(event->nodes.size(), 1u);
  EXPECT_EQ(event->nodes[0].name, "a");
  EXPECT_EQ(event->nodes[0].state, NodeState::kGone);
  EXPECT_EQ(coalescer.node_count(), 0u);
}

TEST(NodeListCoalescer, WarnsOnceForEachRevisionOfAValueThatIsNoEntry) {
  NodeListCoalescer coalescer = MakePublished();
  const auto warnings = coalescer.Merge({{"a", "{", 7, false}});
  ASSERT_EQ(warnings.size(), 1u);
  EXPECT_EQ(warnings[0].code, RegistryWarning::Code::kEntrySkipped);
  EXPECT_EQ(warnings[0].key, "a");
  EXPECT_EQ(warnings[0].reason, "a JSON object");
  EXPECT_TRUE(coalescer.Merge({{"a", "{", 7, false}}).empty());
  EXPECT_EQ(coalescer.Merge({{"a", "[", 8, false}}).size(), 1u);
  EXPECT_EQ(coalescer.node_count(), 1u);  // the last valid state is retained
  EXPECT_FALSE(coalescer.NextTimer());
}

TEST(RegistryWarning, IsDescribedInOneLineOfTheLog) {
  using Code = RegistryWarning::Code;
  RegistryWarning warning;
  warning.endpoint = "e0", warning.next_endpoint = "e1", warning.delay = 250'999, warning.revision = 7;
  warning.key = std::string(300, 'k'), warning.reason = "a reason";
  const auto describe = [&warning](Code code) {
    warning.code = code;
    return Describe(warning);
  };
  EXPECT_EQ(describe(Code::kReadFailed), "registry e0: a reason; next at e1 in 250 ms");
  EXPECT_EQ(describe(Code::kCompacted), "registry: what came since was compacted away, all is read anew");
  EXPECT_EQ(describe(Code::kClusterChanged), "registry: it is another cluster now, all is read anew");
  EXPECT_EQ(describe(Code::kWatchBehind), "registry e0: it is behind at revision 7");
  EXPECT_EQ(describe(Code::kFullReadBehind), "registry e0: it is behind at revision 7, not taken");
  EXPECT_EQ(describe(Code::kHistoryRestarted), "registry: its history began anew at revision 7");
  EXPECT_EQ(describe(Code::kMostEntriesRemoved),
            "registry: more than half of the entries are gone at once, at revision 7");
  EXPECT_EQ(describe(Code::kEntrySkipped), "entry " + std::string(200, 'k') + " skipped: expected a reason");
  EXPECT_EQ(describe(Code::kOwnEntryNotStored), "own entry: a reason");
}

}  // namespace
}  // namespace mountflow::discovery
