// Tests ejection times, failures by class, stale entries and health checks.
#include "scheduler/outlier_ejection.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kNow = 100 * kSecond;

// Ready nodes without tasks.
struct IdleNodes {
  explicit IdleNodes(std::size_t count) : records(count) {
    for (NodeRecord& record : records) {
      ready.push_back(&record);
      NodeLoad load{};
      load.node = &record;
      load.kind = {40.0, 100.0};
      load.capacity = 1.0;
      load.qualifies = true;
      loads.push_back(load);
    }
    total.capacity = static_cast<double>(count);
  }

  std::vector<bool> Filter(const OutlierEjection& ejection, Micros now, unsigned task_class = 0) {
    for (NodeLoad& load : loads) load.qualifies = true;
    ejection.Filter({ready, now, now, now, start_rate}, total, task_class, &loads);
    std::vector<bool> qualifies;
    for (const NodeLoad& load : loads) qualifies.push_back(load.qualifies);
    return qualifies;
  }

  std::vector<NodeRecord> records;
  std::vector<NodeRecord*> ready;
  std::vector<NodeLoad> loads;
  ClusterLoad total;
  double start_rate = 0.0;
};

TEST(OutlierEjectionTime, DoublesWithEachFailureUpToEightSeconds) {
  NodeHealth health;
  Micros now = kNow;
  for (const Micros seconds : {1, 2, 4, 8, 8}) {
    EXPECT_EQ(OutlierEjection::RecordFailure(&health, now), seconds == 1)
        << "only the first failure is reported";
    EXPECT_EQ(health.ejected_until, now + seconds * kSecond);
    EXPECT_FALSE(OutlierEjection::RecordFailure(&health, now)) << "ejected already";
    now = health.ejected_until;
  }
  OutlierEjection::NoteAlive(&health, now);
  EXPECT_EQ(health.failures, 0);
  EXPECT_TRUE(OutlierEjection::RecordFailure(&health, now));
  EXPECT_EQ(health.ejected_until, now + kSecond);
}

TEST(OutlierEjectionTime, OfAClassDoublesUpToThirtyTwoSecondsAndIsNotClearedByAResponse) {
  NodeHealth health;
  for (const Micros seconds : {8, 16, 32, 32}) {
    OutlierEjection::FailClass(&health, 3, kNow);
    OutlierEjection::NoteAlive(&health, kNow);
    EXPECT_EQ(health.class_health.at(3).ejected_until, kNow + seconds * kSecond);
  }
  OutlierEjection::ClearClass(&health, 3);
  OutlierEjection::FailClass(&health, 3, kNow);
  EXPECT_EQ(health.class_health.at(3).ejected_until, kNow + 8 * kSecond);
  OutlierEjection::NoteRestart(&health, kNow);
  EXPECT_TRUE(health.class_health.empty());
}

TEST(OutlierEjectionFilter, ReadmitsANodeWithOneAttemptAtATime) {
  const Settings settings = DefaultSettings();
  const OutlierEjection ejection(settings);
  IdleNodes nodes(3);
  OutlierEjection::RecordFailure(&nodes.records[0].health, kNow);
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{false, true, true}));
  EXPECT_EQ(nodes.Filter(ejection, kNow + kSecond), (std::vector<bool>{true, true, true}));
  nodes.records[0].pending_starts = 1;
  EXPECT_EQ(nodes.Filter(ejection, kNow + kSecond), (std::vector<bool>{false, true, true}));
}

TEST(OutlierEjectionFilter, IgnoresAllButFailuresByClassWhenMoreThanHalfLookFaulty) {
  const Settings settings = DefaultSettings();
  const OutlierEjection ejection(settings);
  IdleNodes nodes(4);
  OutlierEjection::FailClass(&nodes.records[3].health, 2, kNow);
  for (int i = 0; i < 2; ++i) OutlierEjection::RecordFailure(&nodes.records[i].health, kNow);
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{false, false, true, true}));
  OutlierEjection::RecordFailure(&nodes.records[2].health, kNow);
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{true, true, true, true}));
  EXPECT_EQ(nodes.Filter(ejection, kNow, 2), (std::vector<bool>{true, true, true, false}));
}

TEST(OutlierEjectionFilter, SkipsALoadedNodeWhoseEntryIsStale) {
  Settings settings = DefaultSettings();
  const OutlierEjection ejection(settings);
  IdleNodes nodes(3);
  for (NodeRecord& record : nodes.records) {
    record.entry.free_cores = 20.0;
    record.entry_changed_at = kNow;
  }
  nodes.start_rate = 9.0 / (10.0 * kSecond);  // three starts per node in ten seconds, doubled
  nodes.records[0].entry_changed_at = kNow - 10 * kSecond;
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{true, true, true})) << "six are not enough";
  nodes.records[0].entry_changed_at = kNow - 11 * kSecond;
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{false, true, true}));
  nodes.records[0].health.last_alive_at = kNow;
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{true, true, true}));
  nodes.records[0].health.last_alive_at = 0;
  nodes.records[0].entry.free_cores = 40.0;
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{true, true, true})) << "it has no tasks";
  nodes.records[0].entry.free_cores = 20.0;
  settings.list_has_free_capacity = false;
  EXPECT_EQ(nodes.Filter(ejection, kNow), (std::vector<bool>{true, true, true}));
}

TEST(OutlierEjectionSilence, IsLongerWhereOnlyTheStartIsReported) {
  Settings settings = DefaultSettings();
  const OutlierEjection ejection(settings);
  NodeHealth health;
  EXPECT_FALSE(ejection.IsSilent(health, 799 * kMillisecond));
  EXPECT_TRUE(ejection.IsSilent(health, 800 * kMillisecond));
  settings.started_means_running = true;
  EXPECT_FALSE(ejection.IsSilent(health, 2499 * kMillisecond));
  EXPECT_TRUE(ejection.IsSilent(health, 2500 * kMillisecond));
}

TEST(OutlierEjectionSilence, IsDetectedByTwoFailedHealthChecks) {
  Settings settings = DefaultSettings();
  const OutlierEjection ejection(settings);
  NodeHealth health;
  EXPECT_FALSE(ejection.IsCheckDue(health, kSecond, kNow)) << "not allowed";
  settings.may_check_health = true;
  EXPECT_FALSE(ejection.IsCheckDue(health, 499 * kMillisecond, kNow));
  EXPECT_TRUE(ejection.IsCheckDue(health, 500 * kMillisecond, kNow));
  OutlierEjection::NoteCheckStart(&health, kNow);
  EXPECT_FALSE(ejection.IsCheckDue(health, kSecond, kNow + kSecond)) << "one is in flight";
  OutlierEjection::NoteCheckResult(&health, false, kNow);
  EXPECT_FALSE(ejection.IsCheckDue(health, kSecond, kNow + 499 * kMillisecond));
  EXPECT_TRUE(ejection.IsCheckDue(health, kSecond, kNow + 500 * kMillisecond));
  EXPECT_FALSE(ejection.IsSilent(health, 0));
  OutlierEjection::NoteCheckResult(&health, false, kNow);
  EXPECT_TRUE(ejection.IsSilent(health, 0));
  OutlierEjection::NoteCheckResult(&health, true, kNow);
  EXPECT_FALSE(ejection.IsSilent(health, 0));
}

}  // namespace
}  // namespace mountflow::testing
