#include "job_manager/key_index.hpp"

#include <gtest/gtest.h>

namespace mountflow::job_manager {
namespace {

JobSpec SpecOf(const std::string& user, const std::string& key) {
  JobSpec spec;
  spec.user = user;
  spec.key = key;
  return spec;
}

TEST(KeyIndex, FindsAJobByUserAndKey) {
  KeyIndex keys;
  keys.Add(1, SpecOf("thandi", "k"));
  keys.Add(2, SpecOf("sipho", "k"));
  EXPECT_EQ(keys.Find("thandi", "k"), 1u);
  EXPECT_EQ(keys.Find("sipho", "k"), 2u);
  EXPECT_EQ(keys.Find("thandi", "other"), 0u);
}

TEST(KeyIndex, IgnoresJobsWithoutAKey) {
  KeyIndex keys;
  keys.Add(1, SpecOf("thandi", ""));
  EXPECT_EQ(keys.size(), 0u);
  EXPECT_EQ(keys.Find("thandi", ""), 0u);
}

TEST(KeyIndex, RemovesAKeyOnlyForTheJobThatHasIt) {
  KeyIndex keys;
  keys.Add(1, SpecOf("thandi", "k"));
  keys.Add(2, SpecOf("thandi", "k"));
  keys.Remove(1, SpecOf("thandi", "k"));
  EXPECT_EQ(keys.Find("thandi", "k"), 2u);
  keys.Remove(2, SpecOf("thandi", "k"));
  EXPECT_EQ(keys.size(), 0u);
}

TEST(KeyIndex, DoesNotGrowWhenAKeyIsUsedAgain) {
  KeyIndex keys;
  for (std::uint64_t job = 1; job <= 100; ++job) keys.Add(job, SpecOf("thandi", "k"));
  EXPECT_EQ(keys.size(), 1u);
}

}  // namespace
}  // namespace mountflow::job_manager
