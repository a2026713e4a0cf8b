#include "node_agent/tombstones.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

TEST(Tombstones, TheOldestIsRemovedBeyondTheLimit) {
  Tombstones tombstones(2);
  tombstones.AddTombstone("first");
  tombstones.AddTombstone("second");
  tombstones.AddTombstone("first");  // retains its position
  EXPECT_TRUE(tombstones.Contains("first"));
  tombstones.AddTombstone("third");
  EXPECT_FALSE(tombstones.Contains("first"));
  EXPECT_TRUE(tombstones.Contains("second"));
  EXPECT_TRUE(tombstones.Contains("third"));
}

}  // namespace
}  // namespace mountflow::node_agent
