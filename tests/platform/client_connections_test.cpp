// Tests of ClientConnections: reading and rejecting messages, evicting connections, and sending
// notifications.
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(ClientConnectionsTest, NotifiesAClientOnAnotherConnection) {
  PlatformFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  fixture.client_connections.OnClosed(fixture.now, fixture.client);
  // Connection 2 is from the same host, but no task was started on it yet. Connection 3 is from another host.
  fixture.client_connections.Accept(fixture.now, 2, "10.9.0.1:6");
  fixture.client_connections.Accept(fixture.now, 3, "10.9.0.2:6");
  fixture.NodeSends(conn, EndedBytes(kUid, 41));
  EXPECT_TRUE(fixture.transport.SentToClient(2).empty());
  fixture.ClientSends(LaunchLine(kUid + 9, "service", 0, ";at:m-1"), 2);
  const auto answers = fixture.transport.SentToClient(2);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].uid, kUid);
  EXPECT_TRUE(fixture.transport.SentToClient(3).empty());
}

TEST(ClientConnectionsTest, SendsNoFinalAnswerOnAnotherConnection) {
  PlatformFixture fixture;
  const ConnId conn = fixture.LaunchAttempt(kUid);
  fixture.client_connections.OnClosed(fixture.now, fixture.client);
  // No client waits for the answer, so the attempt is cancelled.
  EXPECT_EQ(fixture.transport.SentToNode(conn).at(0).kind, NodeMessageKind::kStop);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// For each malformed input the scheduler rejects the request or closes the connection, and sends nothing to a
// node.
TEST(ClientConnectionsTest, RejectsOrClosesOnMalformedInput) {
  const auto with = [](const std::string& from, const std::string& to) {
    std::string line = LaunchLine(kUid);
    line.replace(line.find(from), from.size(), to);
    return line;
  };
  struct Row {
    const char* name;
    std::string bytes;
    bool closed;
  };
  const std::vector<Row> rows = {
      {"not to be read", "GET / HTTP/1.1\r\n\r\n", true},
      {"no id", with("\"uid\":\"" + WriteHex(kUid) + "\",", ""), true},
      {"without end", std::string(20 << 10, 'x'), true},
      {"unknown class", with("\"service\"", "\"x\""), false},
      {"unknown tenant", with("acme", "x"), false},
      {"no number", with("\"2000\"", "\"soon\""), false},
      {"negative", with("\"2000\"", "\"-1\""), false},
      {"out of range", with("\"2000\"", "\"99999999999\""), false},
      {"not a number", with("cores:1", "cores:nan"), false},
      {"negative cores", with("cores:1", "cores:-1"), false},
      {"infinite", with("memory:2", "memory:1e999"), false},
      {"no key", with("\"key\"", "\"kee\""), false},
      {"no cores", with("cores:1;", ""), false},
      {"huge cores", with("cores:1", "cores:99999999"), false},
      {"fields of a wrong form", with("\"2000\"", "{}"), false},
  };
  for (const Row& row : rows) {
    PlatformFixture fixture;
    fixture.ClientSends(row.bytes);
    EXPECT_EQ(fixture.transport.closed.size(), row.closed ? 1u : 0u) << row.name;
    const auto answers = fixture.transport.SentToClient(fixture.client);
    ASSERT_EQ(answers.size(), row.closed ? 0u : 1u) << row.name;
    if (!row.closed) {
      EXPECT_EQ(answers[0].cause, kCauseInvalidRequest) << row.name;
    }
    EXPECT_TRUE(fixture.transport.outgoing.empty()) << row.name;
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  }
}

// Guards against two answers with the same uid.
TEST(ClientConnectionsTest, ClosesOnASecondRequestUnderOneUid) {
  PlatformFixture fixture;
  fixture.LaunchAttempt(kUid);
  fixture.client_connections.Accept(fixture.now, 2, "10.9.0.7:1");
  fixture.ClientSends(LaunchLine(kUid, "service", 2000, "", "other"), 2);
  EXPECT_EQ(fixture.transport.closed, std::vector<ConnId>{2});
  EXPECT_TRUE(fixture.dispatcher.requests().Contains(kUid));  // the first request still waits for its answer
  fixture.ClientSends(LaunchLine(kUid), fixture.client);
  EXPECT_EQ(fixture.transport.closed.back(), fixture.client);
  EXPECT_EQ(fixture.dispatcher.requests().unanswered(), 0u);
}

TEST(ClientConnectionsTest, EvictsSilentAndUnusedConnections) {
  PlatformFixture fixture;
  fixture.StartTask(kUid);
  for (ConnId conn = 100; conn < 400; ++conn)
    fixture.client_connections.Accept(fixture.now, conn, "10.9.0.9:1");
  EXPECT_EQ(fixture.client_connections.connection_count(), 40u);
  EXPECT_TRUE(fixture.client_connections.HasConnection(fixture.client));  // it has sent a message
  fixture.AdvanceTime(kFirstMessageTimeout);
  EXPECT_EQ(fixture.client_connections.connection_count(), 1u);
  // Clients that send one message and stay connected do not block new clients. No client that waits for an
  // answer is disconnected.
  fixture.LaunchAttempt(kUid + 0x100);
  for (ConnId conn = 1000; conn < 1100; ++conn) {
    fixture.now += kMilli;
    fixture.client_connections.Accept(fixture.now, conn, "10.9.0.9:1");
    fixture.ClientSends("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n", conn);
    EXPECT_EQ(fixture.transport.SentToClient(conn).size(), 1u);
  }
  EXPECT_EQ(fixture.client_connections.connection_count(), 40u);
  EXPECT_TRUE(fixture.client_connections.HasConnection(fixture.client));
  EXPECT_FALSE(fixture.client_connections.HasConnection(1000));
  for (ConnId conn = 1000; conn < 1100; ++conn) fixture.client_connections.OnClosed(fixture.now, conn);
  fixture.client_connections.Accept(fixture.now, 500, "10.9.0.9:1");
  fixture.ClientSends(
      "{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n{\"kind\":", 500);
  EXPECT_EQ(fixture.transport.SentToClient(500).at(0).cause, 1);
  fixture.AdvanceTime(kPartialMessageTimeout);
  EXPECT_FALSE(fixture.client_connections.HasConnection(500));  // its second message is incomplete
}

TEST(ClientConnectionsTest, FailsHealthChecksDuringShutdown) {
  PlatformFixture fixture;
  fixture.client_connections.SetReady(false);
  fixture.ClientSends("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n");
  const auto answers = fixture.transport.SentToClient(fixture.client);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, ClientMessageKind::kHealthCheckReply);
  EXPECT_EQ(answers[0].cause, 0);
}

// Guards against losing a notification: if a client's only connection is evicted while its task runs, the
// notification of the task's end may find no connection within 8 s. In a long run, 2 notifications were lost
// this way.
TEST(ClientConnectionsTest, EvictsAConnectionWithRunningTasksLast) {
  PlatformFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  for (ConnId other = 100; other < 200; ++other) {
    fixture.now += kMilli;
    fixture.client_connections.Accept(fixture.now, other, "10.9.0.9:1");
    fixture.ClientSends("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n",
                        other);
  }
  EXPECT_EQ(fixture.client_connections.connection_count(), 40u);
  ASSERT_TRUE(fixture.client_connections.HasConnection(fixture.client));
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  EXPECT_EQ(fixture.transport.SentToClient(fixture.client).size(), 1u);
  EXPECT_EQ(fixture.dispatcher.requests().running_on(fixture.client), 0u);
  fixture.now += kMilli;
  fixture.client_connections.Accept(fixture.now, 900, "10.9.0.9:1");
  // The connection has no running task any more and is the least recently used one.
  EXPECT_FALSE(fixture.client_connections.HasConnection(fixture.client));
}

// Guards against running out of memory: 2,048 descriptions of 16 KiB would fill the smallest memory limit.
TEST(ClientConnectionsTest, BoundsTheMemoryOfDescriptions) {
  PlatformFixture fixture;
  for (RequestUid uid = 1; uid <= 300; ++uid) {
    fixture.ClientSends(LaunchLine(0x100 * uid, "service", 2000, "", std::string(15 << 10, 'x')));
    ASSERT_LE(fixture.dispatcher.requests().description_bytes(), 100u << 10);
  }
  EXPECT_GT(fixture.dispatcher.requests().description_bytes(), 50u << 10);
  fixture.client_connections.OnClosed(fixture.now, fixture.client);
  EXPECT_EQ(fixture.dispatcher.requests().description_bytes(), 0u);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// Messages of one connection beyond the limit per turn wait for the next turn.
TEST(ClientConnectionsTest, ReadsAFloodInPieces) {
  PlatformFixture fixture;
  std::string flood;
  std::size_t answered = 0;
  for (RequestUid uid = 1; uid <= 2 * kMaxMessagesPerTurn; ++uid) flood += LaunchLine(0x100 * uid);
  const auto requests_read = [&] {
    answered += fixture.transport.SentToClient(fixture.client).size();
    return answered + fixture.dispatcher.requests().unanswered();
  };
  fixture.ClientSends(flood);
  EXPECT_EQ(requests_read(), kMaxMessagesPerTurn);
  EXPECT_TRUE(fixture.client_connections.HasBacklog(fixture.client));
  EXPECT_TRUE(fixture.client_connections.ProcessBacklog(fixture.now).empty());
  EXPECT_EQ(requests_read(), 2 * kMaxMessagesPerTurn);
  EXPECT_EQ(fixture.client_connections.ProcessBacklog(fixture.now), std::vector<ConnId>{fixture.client});
  EXPECT_FALSE(fixture.client_connections.HasBacklog(fixture.client));
}

}  // namespace
}  // namespace mountflow::testing
