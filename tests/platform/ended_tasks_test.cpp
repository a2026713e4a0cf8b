#include "platform/ended_tasks.hpp"

#include <gtest/gtest.h>

namespace mountflow::platform {
namespace {

constexpr NodeId kNode = 7;
constexpr NodeId kOtherNode = 8;
constexpr RequestUid kUid = 0x5000'0000'0000'0001;
constexpr Micros kNow = 1'800'000'000'000'000;

// Guards against an end that counts for a task of another node: attempts of one request share their uid.
TEST(EndedTasksTest, FindsAnEndOnlyForTheNodeThatReportedIt) {
  EndedTasks ends;
  ends.Add(kNow, kNode, kUid, {16});
  ASSERT_TRUE(ends.Find(kNow, kNode, kUid).has_value());
  EXPECT_EQ(ends.Find(kNow, kNode, kUid)->cause, 16);
  EXPECT_FALSE(ends.Find(kNow, kOtherNode, kUid).has_value());
  EXPECT_FALSE(ends.Find(kNow, kNode, kUid + 1).has_value());
  ends.Add(kNow, kOtherNode, kUid, {41});
  EXPECT_EQ(ends.Find(kNow, kNode, kUid)->cause, 16);
  EXPECT_EQ(ends.Find(kNow, kOtherNode, kUid)->cause, 41);
}

TEST(EndedTasksTest, StoresAnEndForItsRetentionFromTheLatestReport) {
  EndedTasks ends;
  ends.Add(kNow, kNode, kUid, {41});
  ends.Add(kNow + 1, kNode, kUid, {16});
  ends.Add(kNow + 2, kOtherNode, kUid, {16});
  EXPECT_TRUE(ends.Find(kNow + kEndedTaskRetention, kNode, kUid).has_value());
  EXPECT_FALSE(ends.Find(kNow + 1 + kEndedTaskRetention, kNode, kUid).has_value());
  EXPECT_TRUE(ends.Find(kNow + 1 + kEndedTaskRetention, kOtherNode, kUid).has_value());
  ends.Add(kNow + 2 + kEndedTaskRetention, kNode, kUid + 1, {16});
  EXPECT_EQ(ends.size(), 1u);
}

// Guards against an end of an earlier task that is taken for the end of a new one with its uid.
TEST(EndedTasksTest, DiscardsTheEndsAtAllNodesOfAUidThatIsUsedAgain) {
  EndedTasks ends;
  for (const NodeId node : {NodeId{0}, kNode, ~NodeId{0}}) {
    for (const RequestUid uid : {kUid - 1, kUid, kUid + 1}) ends.Add(kNow, node, uid, {16});
  }
  ends.Discard(kUid);
  EXPECT_EQ(ends.size(), 6u);
  EXPECT_FALSE(ends.Find(kNow, kNode, kUid).has_value());
  EXPECT_TRUE(ends.Find(kNow, kNode, kUid + 1).has_value());
  // An end that is reported after that has its full retention, although an earlier one was discarded.
  ends.Add(kNow + 1, kNode, kUid, {41});
  EXPECT_TRUE(ends.Find(kNow + kEndedTaskRetention, kNode, kUid).has_value());
}

// Guards against memory that grows with the reports of nodes.
TEST(EndedTasksTest, DiscardsTheOldestEndBeyondItsBound) {
  EndedTasks ends;
  for (RequestUid uid = 0; uid <= kMaxEndedTasks; ++uid) ends.Add(kNow + uid, kNode, uid, {16});
  EXPECT_EQ(ends.size(), kMaxEndedTasks);
  EXPECT_FALSE(ends.Find(kNow + kMaxEndedTasks, kNode, 0).has_value());
  EXPECT_TRUE(ends.Find(kNow + kMaxEndedTasks, kNode, 1).has_value());
  for (int i = 0; i < 3; ++i) ends.Add(kNow + kMaxEndedTasks, kNode, kMaxEndedTasks, {16});
  EXPECT_LE(ends.size(), kMaxEndedTasks);
  EXPECT_TRUE(ends.Find(kNow + kMaxEndedTasks, kNode, kMaxEndedTasks).has_value());
}

}  // namespace
}  // namespace mountflow::platform
