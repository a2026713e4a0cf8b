// Tests the connections to nodes, their deadlines and their actions.
#include "node_sessions/session_connections.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <variant>

namespace mountflow::node_sessions {
namespace {

TEST(SessionConnectionsTest, HoldsBytesUntilTheConnectionIsOpen) {
  SessionConnections connections;
  const ConnId id = connections.Open(3, ConnectionKind::kAttempt, "10.0.0.1:1", 100);
  connections.Send(id, "a");
  connections.Send(id, "b");
  ASSERT_EQ(connections.actions().size(), 1u);
  EXPECT_EQ(std::get<OpenConn>(connections.actions()[0]).address, "10.0.0.1:1");
  connections.SetOpen(id, kNoDeadline);
  connections.Send(id, "c");
  ASSERT_EQ(connections.actions().size(), 3u);
  EXPECT_EQ(std::get<SendBytes>(connections.actions()[1]).bytes, "ab");
  EXPECT_EQ(std::get<SendBytes>(connections.actions()[2]).bytes, "c");
}

TEST(SessionConnectionsTest, FindsTheFirstExpiredDeadline) {
  SessionConnections connections;
  EXPECT_EQ(connections.NextDeadline(), std::numeric_limits<Micros>::max());
  const ConnId late = connections.Open(1, ConnectionKind::kAttempt, "", 200);
  const ConnId soon = connections.Open(1, ConnectionKind::kAttempt, "", 100);
  EXPECT_EQ(connections.NextDeadline(), 100u);
  EXPECT_EQ(connections.FindExpired(99), std::nullopt);
  EXPECT_EQ(connections.FindExpired(100), soon);
  connections.SetDeadline(soon, kNoDeadline);
  EXPECT_EQ(connections.FindExpired(199), std::nullopt);
  EXPECT_EQ(connections.FindExpired(200), late);
  connections.Remove(late);
  EXPECT_EQ(connections.NextDeadline(), std::numeric_limits<Micros>::max());
}

TEST(SessionConnectionsTest, ClosesOnceAndRemovesWithoutAnAction) {
  SessionConnections connections;
  const ConnId closed = connections.Open(1, ConnectionKind::kAttempt, "", 100);
  const ConnId removed = connections.Open(2, ConnectionKind::kControl, "", 100);
  connections.actions().clear();
  connections.Close(closed);
  connections.Close(closed);
  connections.Remove(removed);
  ASSERT_EQ(connections.actions().size(), 1u);
  EXPECT_EQ(std::get<CloseConn>(connections.actions()[0]).conn, closed);
  EXPECT_EQ(connections.Find(closed), nullptr);
  EXPECT_EQ(connections.size(), 0u);
}

TEST(SessionConnectionsTest, ListsConnectionsOfOneNode) {
  SessionConnections connections;
  const ConnId first = connections.Open(1, ConnectionKind::kAttempt, "", 100);
  connections.Open(2, ConnectionKind::kAttempt, "", 100);
  const ConnId second = connections.Open(1, ConnectionKind::kControl, "", 100);
  EXPECT_EQ(connections.OfNode(1), (std::vector<ConnId>{first, second}));
  EXPECT_TRUE(connections.OfNode(9).empty());
}

}  // namespace
}  // namespace mountflow::node_sessions
