// Tests which node the scheduler picks.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(NodeRanking, PicksTheLargestNormalizedCapacity) {
  SchedulerFixture fixture(SingleSchedulerSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 10.0), MakeNodeEntry(2, 30.0), MakeNodeEntry(3, 20.0)});
  fixture.Submit();
  ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 2u);
}

TEST(NodeRanking, MeasuresCapacityAgainstTheMostCommonKind) {
  Settings settings = DefaultSettings();
  settings.node_kinds = {{40.0, 100.0}, {80.0, 200.0}};
  SchedulerFixture fixture(settings);
  NodeEntry large = MakeNodeEntry(3, 50.0);  // 30 cores requested, twice the capacity
  large.kind = 1;
  fixture.UpdateNodes({MakeNodeEntry(1, 18.0), MakeNodeEntry(2, 18.0), large});  // 22 cores requested
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 3u);
}

TEST(NodeRanking, DrawsAmongNearTiesFromTheSeed) {
  std::map<NodeId, int> drawn;
  for (std::uint64_t seed = 0; seed < 64; ++seed) {
    SchedulerFixture fixture(DefaultSettings(), seed);
    fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 30.2), MakeNodeEntry(3, 5.0)});
    fixture.Submit(0, 1.0, 5000 + seed);
    ++drawn[fixture.OnlyAction<StartAttempt>()->node];
  }
  EXPECT_GT(drawn[1], 10);
  EXPECT_GT(drawn[2], 10);
  EXPECT_EQ(drawn.count(3), 0u);
}

// Many schedulers see the same late list. If each picked the emptiest node in it, all would pick the same
// node.
TEST(NodeRanking, RanksNodesEquallyThatOtherSchedulersFillUnobserved) {
  std::map<NodeId, int> drawn;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SchedulerFixture fixture(DefaultSettings(), seed);
    double free = 40.0;
    for (int i = 0; i < 12; ++i, fixture.now += kSecond) {  // others start three tasks a second on node 3
      fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 25.0), MakeNodeEntry(3, free -= 3.0)},
                          i == 0 ? NodeListKind::kSnapshot : NodeListKind::kDelta);
    }
    fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 25.0), MakeNodeEntry(3, 0.0)},
                        NodeListKind::kDelta);
    fixture.Submit(0, 1.0, 5000 + seed);
    ++drawn[fixture.OnlyAction<StartAttempt>()->node];
  }
  EXPECT_GT(drawn[2], 5);  // the list shows 15 of 40 cores requested there, and 10 on node 1
  EXPECT_EQ(drawn.count(3), 0u);
}

TEST(NodeRanking, CountsRunningTasksAndPendingAttemptsBetweenLists) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 35.0), MakeNodeEntry(2, 25.0)});
  std::map<NodeId, int> sent;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = fixture.Submit();
    const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
    ++sent[node];
    if (i % 2 == 0) fixture.ReportStarted(id, 0, node);
  }
  // 5 and 15 cores are requested at first, so 20 more tasks result in about 20 on each node.
  EXPECT_GE(sent[1], 11);
  EXPECT_LE(sent[1], 18);
}

TEST(NodeRanking, DropsEndedTasksFromTheLoad) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 30.0)});
  std::vector<std::pair<RequestId, NodeId>> running;
  for (int i = 0; i < 16; ++i) {
    const RequestId id = fixture.Submit();
    const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
    fixture.ReportStarted(id, 0, node);
    running.emplace_back(id, node);
  }
  for (const auto& [id, node] : running) {
    if (node == 1)
      fixture.ReportEnded(id, 0, node, AttemptResult::kCompleted, RejectionReason::kUnspecified, true);
  }
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
}

TEST(NodeRanking, RejectsAtOnceAboveTheCap) {
  Settings settings = DefaultSettings();
  settings.mean_cores = 4.0;  // the cap is the highest weight x 40 / 4 cores: ten tasks
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1, 1.0)});  // 39 requested cores: 9.75 tasks; one more is over the cap
  fixture.Submit(0, 0.5);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  ASSERT_TRUE(fixture.OnlyAction<RejectTask>());
  EXPECT_TRUE(fixture.AllActions<FailTask>().empty());
}

TEST(NodeRanking, StartsAnAttemptJustUnderTheCap) {
  Settings settings = DefaultSettings();
  settings.mean_cores = 4.0;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1, 4.0)});  // 36 requested cores: 9 tasks; a tenth is within the cap
  fixture.Submit(0, 0.5);
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

// With many schedulers, each has hardly any task of a service. Starts on nodes without the program cost many
// times as much.
TEST(NodeRanking, AllSchedulersAgreeOnTheAffinityNodesOfAService) {
  std::vector<NodeEntry> cluster;
  for (NodeId id = 1; id <= 20; ++id) cluster.push_back(MakeNodeEntry(id, 25.0));
  std::set<NodeId> all;
  for (std::uint64_t service = 500; service < 520; ++service) {
    std::set<NodeId> affinity_nodes;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      SchedulerFixture fixture(DefaultSettings(), seed);
      fixture.UpdateNodes(cluster);
      fixture.Submit(0, 1.0, service);
      affinity_nodes.insert(fixture.OnlyAction<StartAttempt>()->node);
    }
    EXPECT_EQ(affinity_nodes.size(), 2u);
    all.insert(affinity_nodes.begin(), affinity_nodes.end());
  }
  EXPECT_GT(all.size(), 12u);  // different services have different affinity nodes
}

TEST(NodeRanking, PrefersAFarEmptierNodeToAffinityNodes) {
  for (std::uint64_t service = 500; service < 520; ++service) {
    SchedulerFixture fixture(DefaultSettings());
    fixture.UpdateNodes(
        {MakeNodeEntry(1, 5.0), MakeNodeEntry(2, 5.0), MakeNodeEntry(3, 5.0), MakeNodeEntry(4, 40.0)});
    fixture.Submit(0, 1.0, service);
    EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 4u);
  }
}

// Own tasks show which nodes have the program. They take precedence over the affinity nodes.
TEST(NodeRanking, PrefersANodeKnownToHaveTheProgramToAffinityNodes) {
  std::vector<NodeEntry> cluster;
  for (NodeId id = 1; id <= 6; ++id) cluster.push_back(MakeNodeEntry(id, 25.0));
  int there = 0;
  for (std::uint64_t service = 500; service < 564; ++service) {
    SchedulerFixture fixture(DefaultSettings(), service);
    fixture.UpdateNodes(cluster);
    fixture.Handle(TaskRecovered{fixture.MakeTask(0, 1.0, service), 5});
    fixture.Submit(0, 1.0, service);
    there += fixture.OnlyAction<StartAttempt>()->node == 5u;
  }
  EXPECT_EQ(there, 64);
}

TEST(NodeRanking, PrefersItsOwnZoneAmongNearTiesWhereOthersHaveAPrice) {
  Settings settings = DefaultSettings();
  settings.cross_zone_price = 0.05;
  settings.own_zone = 1;
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    SchedulerFixture fixture(settings, seed);
    fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(101)});
    fixture.Submit();
    EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 101u);
  }
}

// A node whose tasks use far more than they requested looks empty in the list. Its own report shows the use.
TEST(NodeRanking, RanksANodeAsFullAsItReportsItself) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 20.0)});
  const RequestId id = fixture.Submit();
  ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  fixture.ReportStarted(id, 0, 1);
  AttemptEnded ended;
  ended.request = id;
  ended.node = 1;
  ended.request_closed = true;
  ended.report.utilisation = 0.9;
  fixture.Handle(ended);
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 2u);
  fixture.now += 6 * kSecond;  // an old report is ignored
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  ended.report.utilisation = std::nan("");
  fixture.Handle(ended);
}

// Starts queue one behind the other, so a node with pending attempts starts the next one later than its free
// capacity suggests.
TEST(NodeRanking, WeighsPendingAttemptsMoreThanRunningTasks) {
  SchedulerFixture fixture(SingleSchedulerSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 28.0)});  // 10 and 12 cores requested
  const RequestId first = fixture.Submit();
  ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  const RequestId second = fixture.Submit();
  ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 2u);  // 11 + 3 on node 1, 12 on node 2
  fixture.ReportStarted(first, 0, 1);
  fixture.ReportStarted(second, 0, 2);
  fixture.Submit();
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);  // running they count one each
}

// An acceptance arrives within milliseconds, but the start can follow seconds later. If accepted tasks do not
// count as pending, a new node is overloaded: in one case 125 tasks were sent to a node that had just
// started, and waited a median of 2.6 s in its queue of starts.
TEST(NodeRanking, WeighsAnAcceptedTaskAsPendingUntilItsStartIsReported) {
  for (const bool starts_are_reported : {false, true}) {
    SchedulerFixture fixture(SingleSchedulerSettings());
    fixture.UpdateNodes({MakeNodeEntry(1, 40.0), MakeNodeEntry(2, 38.0)});  // 0 and 2 cores requested
    if (starts_are_reported) {
      const RequestId before = fixture.Submit();
      const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
      fixture.ReportStarted(before, 0, node);
      fixture.Handle(TaskProgress{before, 0, node, ProgressKind::kRunning, 1.0});
      fixture.ReportEnded(before, 0, node, AttemptResult::kCompleted, RejectionReason::kUnspecified, true);
    }
    const RequestId first = fixture.Submit();
    ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
    fixture.ReportStarted(first, 0, 1);
    const RequestId second = fixture.Submit();
    EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, starts_are_reported ? 2u : 1u);
    fixture.ReportStarted(second, 0, fixture.OnlyAction<StartAttempt>()->node);
    if (!starts_are_reported) continue;
    fixture.Handle(TaskProgress{first, 0, 1, ProgressKind::kRunning, 1.0});
    fixture.Handle(TaskProgress{second, 0, 2, ProgressKind::kRunning, 1.0});
    fixture.Submit();
    EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);  // running they count one each
  }
}

}  // namespace
}  // namespace mountflow::testing
