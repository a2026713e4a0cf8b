#include "node_agent/preemption.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

NodeCapacity FullNode(double cores) {
  NodeConfig config;
  config.cores = cores;
  config.memory = 100.0;
  NodeCapacity capacity(config);
  TaskSpec all;
  all.cores = cores;
  capacity.Reserve(all);
  return capacity;
}

TaskSpec Task(double cores, int priority) {
  TaskSpec spec;
  spec.cores = cores;
  spec.priority = priority;
  return spec;
}

TEST(Preemption, SelectsTheLowestPriorityAndThenTheYoungest) {
  const std::vector<PreemptionCandidate> candidates = {
      {"middle", 1, Task(1.0, 1)}, {"oldest", 2, Task(1.0, 0)}, {"youngest", 3, Task(1.0, 0)}};
  using Attempts = std::vector<std::string>;
  EXPECT_EQ(SelectPreempted(candidates, Task(1.0, 2), FullNode(3.0)), Attempts{"youngest"});
  EXPECT_EQ(SelectPreempted(candidates, Task(3.0, 2), FullNode(3.0)),
            (Attempts{"youngest", "oldest", "middle"}));
}

TEST(Preemption, NoTaskIsEndedUnnecessarily) {
  const std::vector<PreemptionCandidate> candidates = {{"low", 1, Task(1.0, 0)}, {"equal", 2, Task(2.0, 1)}};
  EXPECT_TRUE(SelectPreempted(candidates, Task(2.0, 1), FullNode(3.0)).empty());
}

}  // namespace
}  // namespace mountflow::node_agent
