// Tests of the dispatcher: requests and running tasks, from client messages to node messages and back.
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(DispatcherTest, ForwardsARequestAndItsAnswerUnchanged) {
  PlatformFixture fixture;
  fixture.ClientSends(LaunchLine(kUid, "service", 2000, "", "v=0\\r\\n\\u00e9"));
  const ConnId conn = fixture.transport.outgoing.begin()->first;
  fixture.Establish(conn);
  const auto sent = fixture.transport.SentToNode(conn);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].kind, NodeMessageKind::kLaunch);
  EXPECT_EQ(sent[0].uid, kUid);
  EXPECT_EQ(sent[0].Text(kClass), "service");
  EXPECT_EQ(sent[0].Text(kWait), "2000");
  EXPECT_EQ(sent[0].Text(kTaskName), WriteHex(kUid + 1));
  EXPECT_EQ(sent[0].Text(kDeduplicationKey), WriteHex(kUid) + WriteHex(kUid));
  EXPECT_EQ(sent[0].Text(kDescription), "v=0\r\n\xc3\xa9");
  EXPECT_EQ(sent[0].params.size(), 5u);
  fixture.NodeSends(
      conn, NodeMessageBytes(NodeMessageKind::kProgress, kUid) +
                NodeMessageBytes(NodeMessageKind::kAnswer, kUid, -1, {{kDescription, "c=\xc3\xa9\r\n"}}));
  const auto answers = fixture.transport.SentToClient(fixture.client);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, ClientMessageKind::kAnswer);
  EXPECT_EQ(answers[0].description, "c=\xc3\xa9\r\n");
  // The client is notified of the end once, although the node reports it twice.
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  const auto notifications = fixture.transport.SentToClient(fixture.client);
  ASSERT_EQ(notifications.size(), 1u);
  EXPECT_EQ(notifications[0].kind, ClientMessageKind::kStop);
  EXPECT_EQ(notifications[0].cause, 16);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// Guards against losing running tasks at a restart. The client of a running task waits for no answer and has
// no remaining time. When such launch messages were rejected, clients lost 164 of 200 running tasks.
TEST(DispatcherTest, RecoversARunningTaskWhateverTimeIsLeft) {
  for (const int time_left : {0, -5000}) {
    PlatformFixture fixture;
    fixture.ClientSends(LaunchLine(kUid, "service", time_left, ";at:m-1"));
    fixture.ClientSends(LaunchLine(kUid, "service", time_left, ";at:m-1"));  // a repetition has no effect
    EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
    ASSERT_EQ(fixture.dispatcher.requests().size(), 1u);
    const ConnId conn = fixture.transport.ConnTo("10.0.0.1:1");
    ASSERT_NE(conn, 0u);  // the node reports the task's end on it
    fixture.Establish(conn);
    // A node notices a connection only by its first message. Without one, ends were reported a second late.
    EXPECT_EQ(fixture.transport.SentToNode(conn).at(0).kind, NodeMessageKind::kHealthCheck);
    fixture.NodeSends(conn, EndedBytes(kUid, 16));
    EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).kind, ClientMessageKind::kStop);
  }
  PlatformFixture fixture;  // a task on an unknown node counts as lost, and its record is removed
  fixture.ClientSends(LaunchLine(kUid, "service", 100, ";at:s-unknown"));
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
  fixture.AdvanceTime(kNodeLostTimeout + kSec);
  EXPECT_EQ(fixture.transport.SentToClient(fixture.client).at(0).cause, kCauseFailed);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  EXPECT_EQ(fixture.node_connections.node_count(), 2u);
}

TEST(DispatcherTest, RetriesARejectionElsewhereThenRejects) {
  PlatformFixture fixture;
  const ConnId first = fixture.LaunchAttempt(kUid);
  fixture.NodeSends(
      first,
      EndedBytes(kUid, 34, {{kStatusText, "no_cores"}, {kReport, "x0:1;x1:-2;pending:3;cpu_share:0.5"}}));
  ConnId second = 0;
  for (const auto& [conn, address] : fixture.transport.outgoing) second = conn != first ? conn : second;
  ASSERT_NE(second, 0u);
  fixture.Establish(second);
  ASSERT_EQ(fixture.transport.SentToNode(second).at(0).uid, kUid);
  // Late messages about the first attempt do not affect the second.
  fixture.NodeSends(first, StartedBytes(kUid));
  fixture.NodeSends(first, EndedBytes(kUid, 47));
  EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  fixture.NodeSends(second, EndedBytes(kUid, 34, {{kStatusText, "no_memory"}}));
  const auto answers = fixture.transport.SentToClient(fixture.client);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].cause, kCauseRejected);
  fixture.NodeSends(second, StartedBytes(kUid));
  EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
}

// A timeout and a cancellation both cancel the attempt on its node. The attempt times out at the client's
// deadline.
TEST(DispatcherTest, CancelsAnAttemptAtItsNodeOnTimeoutAndOnCancel) {
  for (const bool cancelled : {false, true}) {
    PlatformFixture fixture;
    const ConnId conn = fixture.LaunchAttempt(kUid);
    if (cancelled) {
      fixture.ClientSends(StopLine(kUid));
    } else {
      fixture.NodeSends(conn, NodeMessageBytes(NodeMessageKind::kProgress, kUid));
      for (int i = 0; i < 4; ++i) {  // the node responds, so the scheduler waits until the deadline
        fixture.AdvanceTime(500 * kMilli);
        fixture.NodeSends(conn, NodeMessageBytes(NodeMessageKind::kHealthCheckReply, 1, 1));
      }
    }
    bool stop_sent = false;
    for (const NodeMessage& message : fixture.transport.SentToNode(conn)) {
      stop_sent |= message.kind == NodeMessageKind::kStop && message.uid == kUid && message.cause == 16;
    }
    EXPECT_TRUE(stop_sent);
    EXPECT_EQ(fixture.transport.SentToClient(fixture.client).size(), cancelled ? 0u : 1u);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
    fixture.NodeSends(conn, StartedBytes(kUid));
    EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  }
}

// A node that confirms nothing may still run the task, so its record stays until the node counts as lost.
TEST(DispatcherTest, EndsATaskThatItsClientStopsWithoutNotification) {
  enum class Reply { kEnd, kReceipt, kNone };
  for (const Reply reply : {Reply::kEnd, Reply::kReceipt, Reply::kNone}) {
    PlatformFixture fixture;
    const ConnId conn = fixture.StartTask(kUid);
    fixture.client_connections.Accept(fixture.now, 2, "10.9.0.1:6");
    fixture.ClientSends(StopLine(kUid), 2);  // on another connection
    EXPECT_EQ(fixture.transport.SentToNode(conn).at(0).kind, NodeMessageKind::kStop);
    if (reply == Reply::kEnd) fixture.NodeSends(conn, EndedBytes(kUid, 31));
    if (reply == Reply::kReceipt) fixture.NodeSends(conn, NodeMessageBytes(NodeMessageKind::kStopped, kUid));
    fixture.AdvanceTime(kTerminationTimeout);
    EXPECT_EQ(fixture.dispatcher.requests().size(), reply == Reply::kNone ? 1u : 0u);
    if (reply == Reply::kNone) fixture.AdvanceTime(kNodeLostTimeout);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
    EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
    EXPECT_TRUE(fixture.transport.SentToClient(2).empty());
  }
}

}  // namespace
}  // namespace mountflow::testing
