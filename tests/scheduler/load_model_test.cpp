// Tests the capacity, load and free capacity of nodes.
#include "scheduler/load_model.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kNow = 100 * kSecond;

class LoadModelTest : public ::testing::Test {
 protected:
  LoadModelTest() : settings(SingleSchedulerSettings()) {}

  NodeRecord* Add(const NodeEntry& entry) {
    records.push_back(std::make_unique<NodeRecord>());
    records.back()->entry = entry;
    ready.push_back(records.back().get());
    return ready.back();
  }
  ClusterState Cluster() const { return {ready, kNow, kNow, kNow - 2 * kSecond, start_rate}; }
  // Returns the loads according to a new model with the current settings.
  std::vector<NodeLoad> Loads() const {
    const PriorityWeights weights(settings.classes);
    const GroupMembership group(settings);
    LoadModel model(settings, weights, group);
    model.ChooseReferenceKind(ready);
    return model.LoadOfEach(Cluster());
  }
  ClusterLoad Total() const {
    const PriorityWeights weights(settings.classes);
    const GroupMembership group(settings);
    return LoadModel(settings, weights, group).LoadOfAll(Loads(), Cluster());
  }
  bool Fits(double cores, double memory, const ClusterLoad& total = {}) const {
    const PriorityWeights weights(settings.classes);
    const GroupMembership group(settings);
    Task task;
    task.cores = cores;
    task.memory = memory;
    std::vector<NodeLoad> loads = Loads();
    LoadModel(settings, weights, group).Filter(task, total, &loads);
    return loads[0].qualifies;
  }

  Settings settings;
  std::vector<std::unique_ptr<NodeRecord>> records;
  std::vector<NodeRecord*> ready;
  double start_rate = 0.0;
};

TEST_F(LoadModelTest, MeasuresCapacityAgainstTheMostCommonKind) {
  settings.node_kinds = {{40.0, 100.0}, {80.0, 200.0}};
  NodeEntry large = MakeNodeEntry(1);
  large.kind = 1;
  Add(MakeNodeEntry(2));
  Add(large);
  Add(large);
  EXPECT_EQ(Loads()[0].capacity, 0.5);
  EXPECT_EQ(Loads()[1].capacity, 1.0);
}

TEST_F(LoadModelTest, LoadIsTheSumOfListedAndUnobservedLoad) {
  NodeRecord* node = Add(MakeNodeEntry(1, 30.0));
  EXPECT_EQ(Loads()[0].load, 40.0) << "ten tasks of the only weight, 4";
  node->own_load.Start({1, 1.0, 2.0, 4.0, kNow});
  EXPECT_EQ(Loads()[0].load, 44.0);
  settings.list_has_free_capacity = false;
  settings.group_size = 3;
  EXPECT_EQ(Loads()[0].load, 12.0) << "each scheduler is assumed to have sent as much";
}

TEST_F(LoadModelTest, ReportedLoadCountsForFiveSeconds) {
  NodeRecord* node = Add(MakeNodeEntry(1));
  LoadReport report;
  report.utilisation = 0.5;
  LoadModel::NoteReport(report, node, kNow - 5 * kSecond);
  EXPECT_DOUBLE_EQ(Loads()[0].reported_load, 1.1 * 0.5 * 40.0 * 4.0);
  for (const double invalid : {-0.1, std::nan("")}) {
    report.utilisation = invalid;
    LoadModel::NoteReport(report, node, kNow);
    EXPECT_EQ(node->utilisation.share, 0.5);
  }
  report.utilisation = 1.5;
  LoadModel::NoteReport(report, node, kNow - 5 * kSecond - 1);
  EXPECT_EQ(node->utilisation.share, 1.0);
  EXPECT_EQ(Loads()[0].reported_load, 0.0);
}

TEST_F(LoadModelTest, FitsWithinFreeCapacityAndOvercommit) {
  Add(MakeNodeEntry(1, 4.0, 10.0));
  EXPECT_TRUE(Fits(4.0, 10.0));
  EXPECT_FALSE(Fits(4.5, 10.0));
  EXPECT_FALSE(Fits(4.0, 10.5));
  settings.overcommit_cores = 1.25;
  EXPECT_TRUE(Fits(14.0, 10.0));
  EXPECT_FALSE(Fits(14.5, 10.0));
}

TEST_F(LoadModelTest, PreemptibleTasksLeaveCapacityForUnobservedTasksOfOthers) {
  Add(MakeNodeEntry(1, 4.0));
  ClusterLoad total;
  total.unobserved_tasks_by_capacity = 3.0;
  settings.nodes_preempt = true;
  EXPECT_TRUE(Fits(4.0, 1.0, total)) << "no class has a higher priority";
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].priority = 1;
  EXPECT_FALSE(Fits(1.5, 1.0, total));
  EXPECT_TRUE(Fits(1.0, 1.0, total));
  settings.nodes_preempt = false;
  EXPECT_TRUE(Fits(4.0, 1.0, total));
}

TEST_F(LoadModelTest, OthersFillTheLeastLoadedNodesFirst) {
  settings.group_size = 2;
  Add(MakeNodeEntry(1, 40.0));
  Add(MakeNodeEntry(2, 37.5));  // weighted load 10
  Add(MakeNodeEntry(3, 20.0));
  start_rate = 2.5 / (2.0 * kSecond);  // doubled, half of it by the other scheduler: weighted load 10
  EXPECT_DOUBLE_EQ(Total().fill_level, 10.0);
  EXPECT_DOUBLE_EQ(Total().unobserved_tasks_by_capacity, 2.5 / 3.0);
  start_rate *= 3.0;  // weighted load 30: 10 on the first node, then 10 more on each of two
  EXPECT_DOUBLE_EQ(Total().fill_level, 20.0);
  settings.group_size = 1;
  EXPECT_EQ(Total().fill_level, 0.0) << "there are no other schedulers";
}

TEST_F(LoadModelTest, NodesThatWarmUpDoNotCountInTheTotal) {
  Add(MakeNodeEntry(1, 30.0));
  NodeEntry warming = MakeNodeEntry(2);
  warming.started_at = kNow - kSecond;
  Add(warming);
  EXPECT_FALSE(Loads()[0].is_warming_up);
  EXPECT_TRUE(Loads()[1].is_warming_up);
  EXPECT_EQ(Total().capacity, 1.0);
  EXPECT_EQ(Total().mean_load, 40.0);
}

}  // namespace
}  // namespace mountflow::testing
