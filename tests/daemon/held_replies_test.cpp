// Tests which replies a durable turn releases, and which connections have other replies held.
#include "daemon/held_replies.hpp"

#include <gtest/gtest.h>

#include <variant>
#include <vector>

namespace mountflow::daemon {
namespace {

constexpr Micros kNow = 1'000'000;

using Connections = std::vector<event_loop::ConnId>;

TEST(HeldReplies, TurnIsReleasedWholeByItsNumber) {
  HeldReplies held;
  EXPECT_TRUE(held.IsCurrentTurnEmpty());
  held.SetNodeActions({node_sessions::CloseConn{5}});
  held.AddBatchConnection(7);
  held.AddHttpReply({8, "reply", true});
  EXPECT_FALSE(held.IsCurrentTurnEmpty());
  EXPECT_EQ(held.CurrentHttpBytes(), 5u);
  held.CloseTurn(1, kNow);
  EXPECT_TRUE(held.IsCurrentTurnEmpty());
  EXPECT_EQ(held.CurrentHttpBytes(), 0u);

  const HeldTurn turn = held.ReleaseTurn(1);
  ASSERT_EQ(turn.node_actions.size(), 1u);
  EXPECT_EQ(std::get<node_sessions::CloseConn>(turn.node_actions[0]).conn, 5u);
  EXPECT_EQ(turn.batch_connections, Connections({7}));
  ASSERT_EQ(turn.http_replies.size(), 1u);
  EXPECT_EQ(turn.http_replies[0].bytes, "reply");
  EXPECT_TRUE(turn.http_replies[0].close);
}

TEST(HeldReplies, TurnWithoutOutputIsEmpty) {
  HeldReplies held;
  held.SetNodeActions({});
  EXPECT_TRUE(held.IsCurrentTurnEmpty());
  EXPECT_TRUE(held.ReleaseTurn(3).empty());
}

TEST(HeldReplies, BatchConnectionIsFlushedWithTheLastTurnThatHasOutputOfIt) {
  HeldReplies held;
  held.AddBatchConnection(7);
  held.AddBatchConnection(9);
  held.CloseTurn(1, kNow);
  held.AddBatchConnection(7);
  held.CloseTurn(2, kNow);
  EXPECT_EQ(held.ReleaseTurn(1).batch_connections, Connections({9}));
  EXPECT_TRUE(held.HoldsBatchConnection(7));
  EXPECT_FALSE(held.HoldsBatchConnection(9));
  EXPECT_EQ(held.ReleaseTurn(2).batch_connections, Connections({7}));
  EXPECT_FALSE(held.HoldsBatchConnection(7));
}

TEST(HeldReplies, BatchConnectionIsFlushedOnceATurn) {
  HeldReplies held;
  held.AddBatchConnection(7);
  held.AddBatchConnection(7);
  held.CloseTurn(1, kNow);
  EXPECT_EQ(held.ReleaseTurn(1).batch_connections, Connections({7}));
}

TEST(HeldReplies, BatchConnectionOfTheCurrentTurnIsNotHeldYet) {
  HeldReplies held;
  held.AddBatchConnection(7);
  EXPECT_FALSE(held.HoldsBatchConnection(7));
  held.CloseTurn(1, kNow);
  EXPECT_TRUE(held.HoldsBatchConnection(7));
}

TEST(HeldReplies, HttpConnectionIsFreeAfterItsLastReply) {
  HeldReplies held;
  EXPECT_FALSE(held.HoldsHttpConnection(8));
  held.AddHttpReply({8, "first", false});
  EXPECT_TRUE(held.HoldsHttpConnection(8));  // includes replies of the current turn
  held.CloseTurn(1, kNow);
  held.AddHttpReply({8, "second", false});
  held.CloseTurn(2, kNow);
  EXPECT_EQ(held.ReleaseTurn(1).http_replies.size(), 1u);
  EXPECT_FALSE(held.FinishHttpReply(8));
  EXPECT_TRUE(held.HoldsHttpConnection(8));
  EXPECT_EQ(held.ReleaseTurn(2).http_replies.size(), 1u);
  EXPECT_TRUE(held.FinishHttpReply(8));
  EXPECT_FALSE(held.HoldsHttpConnection(8));
}

TEST(HeldReplies, AgeIsThatOfTheOldestClosedTurn) {
  HeldReplies held;
  EXPECT_EQ(held.OldestAge(kNow), 0u);
  held.AddBatchConnection(7);
  EXPECT_EQ(held.OldestAge(kNow), 0u);
  held.CloseTurn(1, kNow);
  held.AddBatchConnection(7);
  held.CloseTurn(2, kNow + 100);
  EXPECT_EQ(held.OldestAge(kNow + 300), 300u);
  EXPECT_TRUE(held.ReleaseTurn(1).batch_connections.empty());
  EXPECT_EQ(held.OldestAge(kNow + 300), 200u);
}

}  // namespace
}  // namespace mountflow::daemon
