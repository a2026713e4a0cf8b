// Tests which nodes may get an attempt at all.
#include "scheduler/admission_rules.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kNow = 100 * kSecond;

class AdmissionRulesTest : public ::testing::Test {
 protected:
  AdmissionRulesTest() : settings(DefaultSettings()), group(settings), slow_start(settings, group) {
    NodeListUpdate update;
    update.kind = NodeListKind::kSnapshot;
    update.nodes = {MakeNodeEntry(1), MakeNodeEntry(2), MakeNodeEntry(11), MakeNodeEntry(101)};
    nodes.Apply(update, kNow);
    request.task.cores = 2.0;
    request.task.memory = 4.0;
  }

  bool Allows(NodeId node, const DomainCounts& counts = {}) const {
    return AdmissionRules(settings, nodes, slow_start).Allows(*nodes.Find(node), request, counts, kNow);
  }
  bool Qualifies(NodeId node, Micros now = kNow) {
    std::vector<NodeLoad> loads(1);
    loads[0].node = nodes.Find(node);
    loads[0].qualifies = true;
    AdmissionRules(settings, nodes, slow_start).Filter(request, {}, now, &loads);
    return loads[0].qualifies;
  }

  Settings settings;
  GroupMembership group;
  SlowStart slow_start;
  NodeTable nodes;
  RequestRecord request;
};

TEST_F(AdmissionRulesTest, DrainingAndUnlistedNodesGetNothing) {
  EXPECT_TRUE(Allows(1));
  nodes.Find(1)->entry.state = NodeState::kDraining;
  EXPECT_FALSE(Allows(1));
  nodes.Find(2)->listed = false;
  EXPECT_FALSE(Allows(2));
}

TEST_F(AdmissionRulesTest, RepeatStaysInTheDeduplicationScopeAndWindow) {
  request.first_effect = {true, kNow - kSecond, 1};
  EXPECT_TRUE(Allows(101)) << "idempotent";
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  EXPECT_FALSE(Allows(1));
  settings.classes[0].idempotency = Idempotency::kWithKey;
  EXPECT_TRUE(Allows(2));
  EXPECT_FALSE(Allows(11));
  settings.classes[0].deduplication_scope = DeduplicationScope::kZone;
  EXPECT_TRUE(Allows(11));
  EXPECT_FALSE(Allows(101));
  settings.classes[0].deduplication_scope = DeduplicationScope::kAll;
  EXPECT_TRUE(Allows(101));
  request.first_effect.node = 999;
  EXPECT_FALSE(Allows(1)) << "the node where it may have run is no longer known";
  request.first_effect = {true, kNow - 5 * kSecond, 1};
  EXPECT_FALSE(Allows(1)) << "the window has ended";
}

TEST_F(AdmissionRulesTest, SpreadCountsPresentTasksByDomain) {
  OwnTasks tasks;
  const TaskLoad load{1, 1.0, 1.0, 1.0, kNow};
  tasks.Start(5, load, nodes.Find(1));
  tasks.Start(5, load, nodes.Find(2));
  tasks.Start(5, load, nodes.Find(11));
  tasks.End(5, load, nodes.Find(11), kNow);
  request.task.service = 5;
  const auto count = [&](TopologySpread spread) {
    settings.classes[0].topology_spread = spread;
    return AdmissionRules(settings, nodes, slow_start).CountByDomain(request.task, tasks.OfService(5));
  };
  EXPECT_TRUE(count(TopologySpread::kRack).empty()) << "no limit is set";
  settings.classes[0].max_per_domain = 2;
  EXPECT_TRUE(count(TopologySpread::kNone).empty());
  EXPECT_EQ(count(TopologySpread::kNode), (DomainCounts{{1, 1}, {2, 1}}));
  EXPECT_EQ(count(TopologySpread::kZone), (DomainCounts{{0, 2}}));
  const DomainCounts by_rack = count(TopologySpread::kRack);
  EXPECT_EQ(by_rack, (DomainCounts{{0, 2}}));
  EXPECT_FALSE(Allows(1, by_rack));
  EXPECT_TRUE(Allows(11, by_rack));
}

TEST_F(AdmissionRulesTest, FilterSkipsTriedNodesAndOtherKinds) {
  EXPECT_TRUE(Qualifies(1));
  request.tried_nodes = {2, 1};
  EXPECT_FALSE(Qualifies(1));
  EXPECT_TRUE(Qualifies(11));
  settings.classes[0].node_kind = 1;
  EXPECT_FALSE(Qualifies(11));
  nodes.Find(11)->entry.kind = 1;
  EXPECT_TRUE(Qualifies(11));
}

TEST_F(AdmissionRulesTest, CapacityRejectionSkipsTasksAsLargeForThreeSecondsOrUntilALaterList) {
  NodeRecord* node = nodes.Find(1);
  AdmissionRules::NoteCapacityRejection(request.task, node, kNow);
  EXPECT_FALSE(Qualifies(1, kNow + 3 * kSecond - 1));
  EXPECT_TRUE(Qualifies(1, kNow + 3 * kSecond));
  request.task.cores = 1.9;
  EXPECT_FALSE(Qualifies(1)) << "it requests as much memory";
  request.task.memory = 3.9;
  EXPECT_TRUE(Qualifies(1));
  request.task.cores = 2.0;
  AdmissionRules::NoteObserved(node, kNow);
  EXPECT_FALSE(Qualifies(1));
  AdmissionRules::NoteObserved(node, kNow + 1);
  EXPECT_TRUE(Qualifies(1));
}

TEST_F(AdmissionRulesTest, LikelyDrainingNodeIsSkippedForSixSecondsOrUntilItRestarts) {
  NodeRecord* node = nodes.Find(1);
  AdmissionRules::NoteLikelyDraining(node, kNow);
  EXPECT_FALSE(Qualifies(1, kNow + 6 * kSecond - 1));
  EXPECT_TRUE(Qualifies(1, kNow + 6 * kSecond));
  AdmissionRules::NoteRestart(node);
  EXPECT_TRUE(Qualifies(1));
}

}  // namespace
}  // namespace mountflow::testing
