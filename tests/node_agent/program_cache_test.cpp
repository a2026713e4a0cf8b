#include "node_agent/program_cache.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

TEST(ProgramCache, AProgramIsCachedWhileATaskOfItsServiceRuns) {
  ProgramCache programs(0);
  EXPECT_FALSE(programs.Contains("a"));
  programs.AddRunningTask("a");
  programs.AddRunningTask("a");
  EXPECT_EQ(programs.running_tasks(), 2u);
  programs.RemoveRunningTask("a");
  EXPECT_TRUE(programs.Contains("a"));
  programs.RemoveRunningTask("a");
  EXPECT_FALSE(programs.Contains("a"));
  EXPECT_EQ(programs.running_tasks(), 0u);
}

TEST(ProgramCache, TheLongestUnusedProgramIsEvictedBeyondTheLimit) {
  ProgramCache programs(2);
  for (const char* const service : {"a", "b", "a", "c"}) {
    programs.AddRunningTask(service);
    programs.RemoveRunningTask(service);
  }
  EXPECT_TRUE(programs.Contains("a"));
  EXPECT_FALSE(programs.Contains("b"));
  EXPECT_TRUE(programs.Contains("c"));
}

}  // namespace
}  // namespace mountflow::node_agent
