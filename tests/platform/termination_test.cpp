// Tests of the terminations of running tasks and the cancellations of written attempts: bytes that the kernel
// accepted may never be read by the node, so both are repeated until the node confirms them.
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr RequestUid kOtherUid = kUid + 0x100;
const std::string kNodeAddress = "10.0.0.1:1";

struct TerminationFixture : PlatformFixture {
  ConnId conn = 0;
  std::uint64_t last_event = 1;

  explicit TerminationFixture(const std::string& config_text = kPlatformConfig)
      : PlatformFixture(config_text) {
    ListNode("m-2", "10.0.0.2:1", "draining");  // every attempt is sent to m-1
    conn = StartTask(kUid);
  }
  void ListNode(const std::string& name, const std::string& address, const std::string& status = "ready",
                Micros started_at = 0) {
    NodeListEvent event;
    event.number = ++last_event;
    event.nodes = {Listed(name, address)};
    event.nodes[0].status = status;
    event.nodes[0].started_at = started_at;
    dispatcher.ApplyNodeList(now, event);
    client_connections.DeliverNotifications(now);
  }
  // Returns the uids of the stop messages that were sent since the last call, and notes the health checks.
  std::vector<RequestUid> Stops(ConnId conn_id) {
    std::vector<RequestUid> stops;
    for (const NodeMessage& message : transport.SentToNode(conn_id)) {
      if (message.kind == NodeMessageKind::kHealthCheck) last_health_check = message.uid;
      if (message.kind == NodeMessageKind::kLaunch) launches.push_back(message.uid);
      if (message.kind == NodeMessageKind::kStop) stops.push_back(message.uid);
    }
    return stops;
  }
  void ReplyToHealthCheck(ConnId conn_id) {
    NodeSends(conn_id, NodeMessageBytes(NodeMessageKind::kHealthCheckReply, last_health_check, 1));
  }
  // Establishes the next connection to an address, and returns it.
  ConnId ConnectAgain(const std::string& address = kNodeAddress) {
    const Micros until = now + kLostNodeReconnectDelayMax;
    while (transport.ConnTo(address) == 0 && now < until) AdvanceTime(10 * kMilli);
    const ConnId next = transport.ConnTo(address);
    EXPECT_NE(next, 0u);
    Establish(next);
    return next;
  }
  bool IsPending(RequestUid uid = kUid) { return node_connections.IsTerminationPending(NodeOf("m-1"), uid); }
  NodeId NodeOf(const std::string& name) const { return NodeDirectory().IdOf(name); }

  std::uint64_t last_health_check = 0;
  std::vector<RequestUid> launches;
};

const std::vector<RequestUid> kOneStop = {kUid};

// Guards against tasks that run for nobody: the node forgets its connections, and the termination that the
// client requested is answered with a reset, unread.
TEST(Termination, IsSentAgainOnEachConnectionUntilTheNodeConfirmsIt) {
  TerminationFixture fixture;
  fixture.ClientSends(StopLine(kUid));
  ConnId conn = fixture.conn;
  EXPECT_EQ(fixture.Stops(conn), kOneStop);
  for (int lost = 0; lost < 3; ++lost) {
    fixture.EndNodeConnection(conn);
    conn = fixture.ConnectAgain();
    EXPECT_EQ(fixture.Stops(conn), kOneStop) << lost;
  }
  fixture.NodeSends(conn, EndedBytes(kUid, 31));
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  EXPECT_FALSE(fixture.IsPending());
  fixture.EndNodeConnection(conn);
  EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  fixture.AdvanceTime(kSec);
  EXPECT_EQ(fixture.transport.ConnTo(kNodeAddress), 0u);  // nothing is left to do there
}

// The node may confirm by the end of the task, by its receipt, or by the reply to a later health check.
TEST(Termination, IsConfirmedByAMessageAboutTheTaskOrByALaterHealthCheck) {
  for (const NodeMessageKind kind :
       {NodeMessageKind::kStop, NodeMessageKind::kStopped, NodeMessageKind::kHealthCheckReply}) {
    TerminationFixture fixture;
    fixture.ClientSends(StopLine(kUid));
    EXPECT_EQ(fixture.Stops(fixture.conn), kOneStop);
    EXPECT_TRUE(fixture.IsPending());
    fixture.AdvanceTime(kHealthCheckInterval);
    EXPECT_TRUE(fixture.Stops(fixture.conn).empty());
    if (kind == NodeMessageKind::kHealthCheckReply) {
      fixture.ReplyToHealthCheck(fixture.conn);
    } else {
      fixture.NodeSends(fixture.conn, NodeMessageBytes(kind, kUid, 31));
    }
    EXPECT_FALSE(fixture.IsPending()) << static_cast<int>(kind);
    fixture.EndNodeConnection(fixture.conn);
    fixture.AdvanceTime(kTerminationTimeout);
    EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  }
}

// Messages that do not show that the node has read the termination.
TEST(Termination, IsNotConfirmedByOtherMessages) {
  TerminationFixture fixture;
  fixture.AdvanceTime(kHealthCheckInterval);
  EXPECT_TRUE(fixture.Stops(fixture.conn).empty());  // a health check from before the termination
  fixture.ClientSends(StopLine(kUid));
  fixture.ReplyToHealthCheck(fixture.conn);
  EXPECT_TRUE(fixture.IsPending());
  fixture.NodeSends(fixture.conn, NodeMessageBytes(NodeMessageKind::kHealthCheckReply,
                                                   fixture.last_health_check + 1000, 1));
  EXPECT_TRUE(fixture.IsPending());  // no such health check was sent
  fixture.NodeSends(fixture.conn, StartedBytes(kUid));
  fixture.NodeSends(fixture.conn,
                    NodeMessageBytes(NodeMessageKind::kNote, kUid, -1, {{kStatusText, "runs"}}));
  fixture.NodeSends(fixture.conn, EndedBytes(kOtherUid, 31));
  EXPECT_TRUE(fixture.IsPending());
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
}

// Guards against a record that is removed, and capacity that counts as free, while the task still runs.
TEST(Termination, TheRecordStaysUntilTheTerminationIsConfirmedOrTheNodeIsLost) {
  TerminationFixture fixture;
  fixture.ClientSends(StopLine(kUid));
  fixture.EndNodeConnection(fixture.conn);
  while (fixture.now < 1'800'000'000 * kSec + kNodeLostTimeout - kSec) {
    fixture.AdvanceTime(kSec);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
  }
  fixture.AdvanceTime(2 * kSec);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  EXPECT_TRUE(fixture.IsPending());  // the node may come back as the same process
}

// A lost node may come back as the same process, long after its tasks were counted as ended.
TEST(Termination, IsSentWhenALostNodeComesBackWithinTheRetention) {
  for (const bool in_time : {true, false}) {
    TerminationFixture fixture;
    fixture.ClientSends(StopLine(kUid));
    fixture.EndNodeConnection(fixture.conn);
    fixture.AdvanceTime(kTerminationRetention - (in_time ? 5 * kSec : 0));
    EXPECT_EQ(fixture.IsPending(), in_time);
    if (!in_time) {
      EXPECT_EQ(fixture.transport.ConnTo(kNodeAddress), 0u);
      continue;
    }
    const ConnId next = fixture.ConnectAgain();
    EXPECT_EQ(fixture.Stops(next), kOneStop);
  }
}

// The end of the node's process ends its tasks. Guards against a termination that reaches a new process.
TEST(Termination, IsDroppedWithTheProcessOfItsTask) {
  enum class Shown { kConnectionFailed, kRestartListed, kAddressTaken };
  for (const Shown shown : {Shown::kConnectionFailed, Shown::kRestartListed, Shown::kAddressTaken}) {
    TerminationFixture fixture;
    fixture.ClientSends(StopLine(kUid));
    fixture.EndNodeConnection(fixture.conn);
    fixture.AdvanceTime(0);
    fixture.now += 2 * kMilli;
    if (shown == Shown::kConnectionFailed)
      fixture.EndNodeConnection(fixture.transport.ConnTo(kNodeAddress), true);
    if (shown == Shown::kRestartListed) fixture.ListNode("m-1", kNodeAddress, "ready", fixture.now);
    if (shown == Shown::kAddressTaken) fixture.ListNode("m-3", kNodeAddress);
    EXPECT_FALSE(fixture.IsPending()) << static_cast<int>(shown);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
    EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
  }
}

// A node that leaves the list and comes back as the same process still runs the task, whatever its address.
TEST(Termination, FollowsTheNodeThroughTheListAndToAnotherAddress) {
  for (const bool leaves_list : {true, false}) {
    TerminationFixture fixture;
    fixture.ClientSends(StopLine(kUid));
    static_cast<void>(fixture.Stops(fixture.conn));
    fixture.EndNodeConnection(fixture.conn);
    if (leaves_list) fixture.ListNode("m-1", kNodeAddress, "gone");
    fixture.AdvanceTime(3 * kSec);
    fixture.ListNode("m-1", "10.0.0.9:1");
    const ConnId next = fixture.ConnectAgain("10.0.0.9:1");
    EXPECT_EQ(fixture.Stops(next), kOneStop) << leaves_list;
  }
}

// Guards against a new task that is ended by the termination of an earlier one with its uid, and against an
// answer about the earlier task that is taken for the outcome of the new attempt.
TEST(Termination, ANewAttemptWithTheUidIsSentAfterTheNodeHasConfirmed) {
  for (const bool connection_lost : {false, true}) {
    TerminationFixture fixture;
    fixture.ClientSends(StopLine(kUid));
    fixture.NodeSends(fixture.conn, NodeMessageBytes(NodeMessageKind::kStopped, kUid));
    fixture.AdvanceTime(kTerminationTimeout);
    ASSERT_EQ(fixture.dispatcher.requests().size(), 0u);
    // An attempt of the uid is in flight and cancelled. The uid is used a third time at once.
    fixture.ClientSends(LaunchLine(kUid, "service", 2000));
    static_cast<void>(fixture.Stops(fixture.conn));
    ASSERT_EQ(fixture.launches, kOneStop);
    fixture.ClientSends(StopLine(kUid));
    EXPECT_EQ(fixture.Stops(fixture.conn), kOneStop);
    fixture.ClientSends(LaunchLine(kUid, "service", 2000));
    EXPECT_TRUE(fixture.Stops(fixture.conn).empty());
    EXPECT_EQ(fixture.launches.size(), 1u);  // the new attempt waits
    if (connection_lost) {
      fixture.EndNodeConnection(fixture.conn);  // the new attempt never ran
      const auto answers = fixture.transport.SentToClient(fixture.client);
      ASSERT_EQ(answers.size(), 1u);
      EXPECT_EQ(answers[0].cause, kCauseRejected);
      fixture.conn = fixture.ConnectAgain();
      EXPECT_EQ(fixture.Stops(fixture.conn), kOneStop);
      EXPECT_EQ(fixture.launches.size(), 1u);
      continue;
    }
    fixture.NodeSends(fixture.conn, EndedBytes(kUid, 31));  // of the cancelled attempt
    EXPECT_TRUE(fixture.transport.SentToClient(fixture.client).empty());
    EXPECT_TRUE(fixture.Stops(fixture.conn).empty());
    EXPECT_EQ(fixture.launches.size(), 2u);
    fixture.NodeSends(fixture.conn, StartedBytes(kUid));
    EXPECT_EQ(fixture.transport.SentToClient(fixture.client).size(), 1u);
    fixture.EndNodeConnection(fixture.conn);
    const ConnId last = fixture.ConnectAgain();
    EXPECT_TRUE(fixture.Stops(last).empty());  // the new task is not ended
  }
}

// An attempt that was cancelled after it was written may have started its task before the node could read the
// cancellation.
TEST(Termination, TheCancellationOfAWrittenAttemptIsRepeatedToo) {
  for (const bool client_leaves : {true, false}) {
    TerminationFixture fixture;
    fixture.ClientSends(LaunchLine(kOtherUid));
    static_cast<void>(fixture.Stops(fixture.conn));
    if (client_leaves) {
      fixture.client_connections.OnClosed(fixture.now, fixture.client);
    } else {
      fixture.ClientSends(StopLine(kOtherUid));
    }
    EXPECT_EQ(fixture.Stops(fixture.conn), std::vector<RequestUid>{kOtherUid});
    fixture.EndNodeConnection(fixture.conn);
    const ConnId next = fixture.ConnectAgain();
    EXPECT_EQ(fixture.Stops(next), std::vector<RequestUid>{kOtherUid});
    fixture.ReplyToHealthCheck(next);
    EXPECT_FALSE(fixture.IsPending(kOtherUid));
  }
}

// Guards against a connection that is closed because more is queued on it than its limit.
TEST(Termination, ThousandsAreSentAsFastAsTheNodeReadsThem) {
  TerminationFixture fixture;
  constexpr RequestUid kTasks = 5000;
  for (RequestUid task = 1; task <= kTasks; ++task) {
    fixture.ClientSends(LaunchLine(kOtherUid + task, "service", 0, ";at:m-1"));
  }
  fixture.EndNodeConnection(fixture.conn);
  for (RequestUid task = 1; task <= kTasks; ++task) fixture.ClientSends(StopLine(kOtherUid + task));
  const ConnId next = fixture.ConnectAgain();
  std::size_t stops = fixture.Stops(next).size();
  EXPECT_EQ(stops, kTasks);
  fixture.EndNodeConnection(next);
  fixture.AdvanceTime(kReconnectDelayMax);
  const ConnId slow = fixture.transport.ConnTo(kNodeAddress);
  fixture.transport.kernel_accepts = false;
  fixture.Establish(slow);
  EXPECT_LE(fixture.Stops(slow).size(), 1u);  // the rest waits until the kernel has accepted it
  for (stops = 1; stops < kTasks; ++stops) {
    fixture.transport.unwritten.clear();
    fixture.node_connections.OnWritten(fixture.now, slow);
    ASSERT_EQ(fixture.Stops(slow).size(), 1u);
  }
  fixture.transport.kernel_accepts = true;
  fixture.transport.unwritten.clear();
  fixture.ReplyToHealthCheck(slow);
  EXPECT_TRUE(fixture.Stops(slow).empty());
  EXPECT_EQ(fixture.dispatcher.requests().size(), kTasks + 1);
}

// A busy node never leaves its connection quiet for the interval of health checks.
TEST(Termination, IsCheckedOnAConnectionThatIsNeverQuiet) {
  TerminationFixture fixture;
  fixture.ClientSends(StopLine(kUid));
  static_cast<void>(fixture.Stops(fixture.conn));
  for (int i = 0; i < 30; ++i) {
    fixture.AdvanceTime(100 * kMilli);
    fixture.NodeSends(fixture.conn,
                      NodeMessageBytes(NodeMessageKind::kNote, kOtherUid, -1, {{kStatusText, "runs"}}));
  }
  const std::uint64_t first_check = fixture.last_health_check;
  static_cast<void>(fixture.Stops(fixture.conn));
  EXPECT_GT(fixture.last_health_check, first_check);
  EXPECT_LE(fixture.last_health_check, first_check + 3);
  fixture.ReplyToHealthCheck(fixture.conn);
  EXPECT_FALSE(fixture.IsPending());
}

// Guards against an exit that leaves tasks running because their terminations were not read.
TEST(Termination, IsAwaitedAtAShutdownUnlessTheNodeIsLost) {
  TerminationFixture fixture;
  EXPECT_FALSE(fixture.node_connections.AwaitsTerminations(fixture.now));
  fixture.ClientSends(StopLine(kUid));
  EXPECT_TRUE(fixture.node_connections.AwaitsTerminations(fixture.now));
  fixture.EndNodeConnection(fixture.conn);
  EXPECT_TRUE(fixture.node_connections.AwaitsTerminations(fixture.now));
  fixture.AdvanceTime(kNodeLostTimeout + kSec);
  EXPECT_FALSE(fixture.node_connections.AwaitsTerminations(fixture.now));
}

}  // namespace
}  // namespace mountflow::testing
