// Tests of the conclusions about attempts and running tasks that NodeConnections draws from connections.
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

// A request may be rejected after a connection has ended only if no attempt of it may have run.
TEST(NodeConnectionsTest, FailsOnlyWhatMayHaveRunWhenAConnectionBreaks) {
  for (const bool written : {false, true}) {
    PlatformFixture fixture;
    fixture.transport.kernel_accepts = written;
    const ConnId first = fixture.LaunchAttempt(kUid);
    fixture.EndNodeConnection(first);
    const std::size_t open_connections = fixture.transport.outgoing.size();
    if (written) {  // the attempt may have run, and the other node is in another rack: no retry, no rejection
      EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).cause, kCauseFailed);
      continue;
    }
    EXPECT_EQ(open_connections, 1u);  // the attempt never ran: it is retried on the other node
    fixture.EndNodeConnection(fixture.transport.outgoing.begin()->first, true);
    EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).cause, kCauseRejected);
  }
}

TEST(NodeConnectionsTest, RetriesWhenAConnectionIsNotEstablishedInTime) {
  PlatformFixture fixture;
  fixture.ClientSends(LaunchLine(kUid));
  const std::string first = fixture.transport.outgoing.begin()->second;
  fixture.AdvanceTime(250 * kMilli);
  ASSERT_EQ(fixture.transport.outgoing.size(), 1u);
  EXPECT_NE(fixture.transport.outgoing.begin()->second, first);
  fixture.AdvanceTime(250 * kMilli);
  EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).cause, kCauseRejected);
}

// After random bytes, an incomplete message or a description that is not UTF-8, the connection is closed and
// every attempt on it gets its outcome. Running tasks are not affected.
TEST(NodeConnectionsTest, ClosesAfterAMalformedAnswerAndKeepsRunningTasks) {
  const std::vector<std::string> rows = {
      "\x01\x02garbage",
      std::string("\xff\xff\x09", 3),
      NodeMessageBytes(NodeMessageKind::kAnswer, kUid, -1, {{kDescription, "\xff\xfe"}}),
      NodeMessageBytes(NodeMessageKind::kAnswer, kUid, -1, {{kDescription, std::string(5000, 'x')}})
          .substr(0, 3000),
  };
  for (const std::string& malformed : rows) {
    PlatformFixture fixture;
    const ConnId conn = fixture.StartTask(kUid + 5);
    fixture.ClientSends(LaunchLine(kUid));
    const ConnId other = fixture.transport.SentToNode(conn).empty() ? fixture.transport.last_conn : conn;
    if (other != conn) fixture.Establish(other);
    fixture.NodeSends(other, malformed);
    fixture.AdvanceTime(kPartialNodeMessageTimeout);
    EXPECT_EQ(fixture.transport.closed.at(0), other) << malformed.substr(0, 9);
    const auto answers = fixture.transport.SentToClient(fixture.client);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].uid, kUid);
    EXPECT_EQ(answers[0].cause, kCauseFailed);  // it may have run
    EXPECT_TRUE(fixture.dispatcher.requests().Contains(kUid + 5));
  }
}

TEST(NodeConnectionsTest, IgnoresADuplicateAnswerAndOneOfAnUnknownRequest) {
  PlatformFixture fixture;
  const ConnId conn = fixture.LaunchAttempt(kUid);
  fixture.NodeSends(conn, StartedBytes(0x1234) + StartedBytes(kUid) + StartedBytes(kUid));
  EXPECT_EQ(fixture.transport.SentToClient(fixture.client).size(), 1u);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
}

// A connection reset does not end running tasks: the node reports their ends on the next connection, which is
// made immediately. A refused connection means that the node's process has ended, and its tasks with it.
TEST(NodeConnectionsTest, KeepsTasksOverAReconnectAndLosesThemWithTheProcess) {
  PlatformFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  const std::string address = fixture.transport.outgoing.at(conn);
  fixture.EndNodeConnection(conn);
  fixture.AdvanceTime(0);
  const ConnId next = fixture.transport.ConnTo(address);
  ASSERT_NE(next, 0u);
  EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  fixture.Establish(next);
  fixture.NodeSends(next, NodeMessageBytes(NodeMessageKind::kNote, kUid, -1,
                                           {{kStatusText, "runs"}, {kProgressValue, "1"}}));
  fixture.EndNodeConnection(next);
  fixture.AdvanceTime(0);
  fixture.EndNodeConnection(fixture.transport.ConnTo(address), true);
  const auto answers = fixture.transport.SentToClient(fixture.client);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].cause, kCauseFailed);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// Connections to a node that fails silently stay open, so only a health check detects the failure. Clients
// must be notified of the end of its tasks within 8 s.
TEST(NodeConnectionsTest, FindsASilentNodeByHealthChecksAndLosesItsTasksInTime) {
  PlatformFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  fixture.AdvanceTime(kHealthCheckInterval);
  ASSERT_EQ(fixture.transport.SentToNode(conn).at(0).kind, NodeMessageKind::kHealthCheck);
  fixture.NodeSends(conn, NodeMessageBytes(NodeMessageKind::kHealthCheckReply, 1, 1));
  fixture.AdvanceTime(kHealthCheckInterval + kHealthCheckTimeout);
  EXPECT_EQ(fixture.transport.closed.at(0), conn);
  // After a network failure of 6 s the node is reachable again with its tasks. Reporting them as lost before
  // would end them.
  fixture.AdvanceTime(7 * kSec - kHealthCheckInterval - kHealthCheckTimeout);
  EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
  // The notification is due 8 s after the end of the task, which may follow directly on the node's last
  // message.
  fixture.AdvanceTime(8 * kSec - 7 * kSec - 200 * kMilli);
  EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).cause, kCauseFailed);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

TEST(NodeConnectionsTest, GivesANewNodeAtAnOldAddressNoTasks) {
  PlatformFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  const std::string address = fixture.transport.outgoing.at(conn);
  NodeListEvent change;
  change.nodes = {Listed("m-9", address)};
  fixture.dispatcher.ApplyNodeList(fixture.now, change);
  fixture.EndNodeConnection(conn);
  fixture.AdvanceTime(kSec);
  EXPECT_EQ(fixture.transport.ConnTo(address), 0u);  // a connection would reach the new node
  fixture.AdvanceTime(kNodeLostTimeout);
  EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).cause, kCauseFailed);
}

TEST(NodeConnectionsTest, ClosesIdleConnectionsBeforeTheNodeDoes) {
  PlatformFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  fixture.AdvanceTime(11 * kSec);
  EXPECT_TRUE(fixture.transport.outgoing.empty());
}

}  // namespace
}  // namespace mountflow::testing
