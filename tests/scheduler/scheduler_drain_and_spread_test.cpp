// Tests rules 3 and 5: draining nodes get no attempts, and tasks of one service stay spread over the failure
// domains.
#include <gtest/gtest.h>

#include <map>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(Drain, StartsNothingOnANodeListedAsDrainingOrGone) {
  for (NodeState state : {NodeState::kDraining, NodeState::kGone}) {
    SchedulerFixture fixture(DefaultSettings());
    fixture.UpdateNodes({MakeNodeEntry(1)});
    NodeEntry entry = MakeNodeEntry(1);
    entry.state = state;
    fixture.UpdateNodes({entry}, NodeListKind::kDelta);
    fixture.Submit();
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  }
}

TEST(Drain, TreatsANodeAbsentFromASnapshotAsGone) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  fixture.UpdateNodes({MakeNodeEntry(2, 0.0)});
  fixture.Submit();
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
}

TEST(TopologySpreadRule, CountsAttemptsAndRunningTasksByFailureDomain) {
  for (TopologySpread spread : {TopologySpread::kNode, TopologySpread::kRack, TopologySpread::kZone}) {
    Settings settings = DefaultSettings();
    settings.classes[0].topology_spread = spread;
    settings.classes[0].max_per_domain = 2;
    SchedulerFixture fixture(settings);
    fixture.UpdateNodes(
        {MakeNodeEntry(1), MakeNodeEntry(2, 20.0), MakeNodeEntry(11, 20.0), MakeNodeEntry(101, 20.0)});
    TaskRecovered running;  // recovered tasks count too
    running.task = fixture.MakeTask(0, 1.0, 5);
    running.node = 1;
    fixture.Handle(running);
    std::map<NodeId, int> sent;
    for (int i = 0; i < 20; ++i) {
      fixture.Submit(0, 0.1, 5);
      for (const StartAttempt& attempt : fixture.AllActions<StartAttempt>()) ++sent[attempt.node];
    }
    const int node = 1 + sent[1];
    const int rack = node + sent[2];
    const int zone = rack + sent[11];
    if (spread == TopologySpread::kNode) {
      EXPECT_EQ(node, 2);
      EXPECT_EQ(sent[2], 2);
      EXPECT_EQ(sent[101], 2);
    } else if (spread == TopologySpread::kRack) {
      EXPECT_EQ(rack, 2);
      EXPECT_EQ(sent[11], 2);
      EXPECT_EQ(sent[101], 2);
    } else {
      EXPECT_EQ(zone, 2);
      EXPECT_EQ(sent[101], 2);
    }
  }
}

TEST(TopologySpreadRule, EndedAttemptNoLongerCounts) {
  Settings settings = DefaultSettings();
  settings.classes[0].topology_spread = TopologySpread::kNode;
  settings.classes[0].max_per_domain = 1;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1)});
  const RequestId id = fixture.Submit(0, 1.0, 5);
  fixture.ReportStarted(id, 0, 1);
  fixture.Submit(0, 1.0, 5);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  fixture.ReportEnded(id, 0, 1, AttemptResult::kCompleted, RejectionReason::kUnspecified, true);
  fixture.Submit(0, 1.0, 5);
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

}  // namespace
}  // namespace mountflow::testing
