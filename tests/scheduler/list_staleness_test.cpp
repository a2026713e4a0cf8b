// Tests the estimates of the age of node lists and of the start rate of all schedulers.
#include "scheduler/list_staleness.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

// Passes `lists` node lists, one per second, to `staleness`. Each shows the state at `age` before its
// arrival. There is one node, on which only this scheduler starts tasks: each second one task of 1 to 9
// cores.
void LearnFrom(Micros age, int lists, ListStaleness* staleness) {
  NodeTable::Nodes nodes;
  NodeRecord& node = nodes[1];
  node.listed = true;
  std::vector<TaskLoad> sent;
  double free_cores = 0.0;
  Micros previous_at = 0;
  for (int i = 0; i < lists; ++i) {
    const Micros now = (100 + i) * kSecond;
    TaskLoad load;
    load.request = i;
    load.cores = 1.0 + (i * i) % 9;
    load.sent_at = now - 100 * kMillisecond;
    node.own_load.Start(load);
    sent.push_back(load);
    node.previous_free_cores = free_cores;
    free_cores = 0.0;
    for (const TaskLoad& task : sent) {
      if (task.sent_at <= now - age) free_cores -= task.cores;
    }
    node.entry.free_cores = free_cores;
    if (previous_at != 0) staleness->Learn(nodes, previous_at, now);
    previous_at = now;
  }
}

TEST(ListStaleness, IsTwoSecondsAtFirst) {
  const ListStaleness staleness;
  EXPECT_EQ(staleness.ObservedAt(100 * kSecond), 98 * kSecond);
  EXPECT_EQ(staleness.ObservedAt(2 * kSecond), 1u) << "never 0";
  EXPECT_EQ(ListStaleness::MaxAge(), 12 * kSecond);
  EXPECT_GT(ListStaleness::Horizon(), ListStaleness::MaxAge());
}

TEST(ListStaleness, LearnsTheAgeThatExplainsTheChanges) {
  for (const Micros age : {500 * kMillisecond, 3500 * kMillisecond, 5500 * kMillisecond}) {
    ListStaleness staleness;
    LearnFrom(age, 40, &staleness);
    const Micros learned = 1000 * kSecond - staleness.ObservedAt(1000 * kSecond);
    EXPECT_NEAR(static_cast<double>(learned), static_cast<double>(age), 500.0 * kMillisecond);
  }
}

TEST(ListStaleness, KeepsItsFirstEstimateForTheFirstLists) {
  ListStaleness staleness;
  LearnFrom(5500 * kMillisecond, 8, &staleness);  // seven changes
  EXPECT_EQ(staleness.ObservedAt(100 * kSecond), 98 * kSecond);
}

TEST(ClusterStartRate, IsGuessedFromRunningTasksUntilStartsAreObserved) {
  const Settings settings = DefaultSettings();
  NodeTable::Nodes nodes;
  nodes[1].entry = MakeNodeEntry(1, 20.0);
  nodes[1].listed = true;
  nodes[2].entry = MakeNodeEntry(2, 0.0);  // not listed
  ClusterStartRate rate;
  rate.GuessIfUnknown(nodes, settings);
  EXPECT_DOUBLE_EQ(rate.value(), 20.0 / (20.0 * kSecond));
  rate.GuessIfUnknown(nodes, settings);
  EXPECT_DOUBLE_EQ(rate.value(), 20.0 / (20.0 * kSecond)) << "once";
  nodes[1].previous_free_cores = 26.0;
  rate.Learn(nodes, settings, kSecond);  // six starts, weighted by a fifth
  EXPECT_DOUBLE_EQ(rate.value(), 2.0 / kSecond);
  nodes[1].previous_free_cores = 10.0;  // freed capacity is not a start
  rate.Learn(nodes, settings, kSecond);
  EXPECT_DOUBLE_EQ(rate.value(), 1.6 / kSecond);
}

}  // namespace
}  // namespace mountflow::testing
