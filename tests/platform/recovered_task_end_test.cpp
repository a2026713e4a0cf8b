// Tests of tasks that end while their clients do not know which scheduler serves them: a node may report an
// end before the client names the task as running, and it reports the end to this process only once.
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr RequestUid kOtherUid = kUid + 0x100;
const std::string kNodeAddress = "10.0.0.1:1";
const std::string kOtherAddress = "10.0.0.2:1";

struct RecoveredTaskFixture : PlatformFixture {
  using PlatformFixture::PlatformFixture;

  void Name(RequestUid uid, const std::string& node = "m-1", ConnId conn = 1) {
    ClientSends(LaunchLine(uid, "service", 0, ";at:" + node), conn);
  }
  // Names a task that goes on running, so that its node is connected. Returns the node's connection.
  ConnId ConnectNode() {
    Name(kOtherUid);
    const ConnId conn = transport.ConnTo(kNodeAddress);
    Establish(conn);
    return conn;
  }
  std::vector<ClientMessage> Answers(ConnId conn = 1) { return transport.SentToClient(conn); }
  // Counts the events of a kind in the trace that begin with `text`.
  void CollectTrace() {
    dispatcher.SetTrace([this](Micros, const std::string& line) { trace.push_back(line); });
  }
  std::size_t Traced(const std::string& text) const {
    return static_cast<std::size_t>(std::count_if(trace.begin(), trace.end(), [&](const std::string& line) {
      return line.find(text) != std::string::npos;
    }));
  }
  std::vector<std::string> trace;
};

// Guards against clients that wait for the end of a task for ever: after a restart the first named task
// connects its node, which reports all ends, before the clients of the other tasks have named theirs.
TEST(RecoveredTaskEnd, AnEndThatIsReportedBeforeTheClientNamesTheTaskReachesTheClient) {
  for (const int cause : {16, 41, 31}) {
    RecoveredTaskFixture fixture;
    const ConnId conn = fixture.ConnectNode();
    fixture.NodeSends(conn, EndedBytes(kUid, cause));
    EXPECT_TRUE(fixture.Answers().empty());
    fixture.AdvanceTime(5 * kMilli);
    fixture.Name(kUid);
    const auto answers = fixture.Answers();
    ASSERT_EQ(answers.size(), 1u) << cause;
    EXPECT_EQ(answers[0].uid, kUid);
    EXPECT_EQ(answers[0].kind, ClientMessageKind::kStop);
    EXPECT_EQ(answers[0].cause, cause);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);  // the task that goes on running
  }
}

// The end may be reported before the first, between, or after the last of the tasks that are named.
TEST(RecoveredTaskEnd, EachEndReachesItsClientOnceWheneverItIsReported) {
  constexpr int kTasks = 5;
  for (int reported_after = 0; reported_after <= kTasks; ++reported_after) {
    RecoveredTaskFixture fixture;
    const ConnId conn = fixture.ConnectNode();
    std::size_t notified = 0;
    for (int task = 0; task <= kTasks; ++task) {
      if (task == reported_after) {
        for (int ended = 0; ended < kTasks; ++ended)
          fixture.NodeSends(conn, EndedBytes(kUid + static_cast<RequestUid>(ended), 16));
      }
      if (task < kTasks) fixture.Name(kUid + static_cast<RequestUid>(task));
      fixture.AdvanceTime(kMilli);
      notified += fixture.Answers().size();
    }
    EXPECT_EQ(notified, static_cast<std::size_t>(kTasks)) << reported_after;
    EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
  }
}

// Guards against a task that is reported as ended because another node has reported an end of the same uid.
TEST(RecoveredTaskEnd, AnEndOfAnotherNodeDoesNotCount) {
  RecoveredTaskFixture fixture;
  const ConnId conn = fixture.ConnectNode();
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  fixture.Name(kUid, "m-2");
  EXPECT_TRUE(fixture.Answers().empty());
  EXPECT_EQ(fixture.dispatcher.requests().size(), 2u);
  const ConnId other = fixture.transport.ConnTo(kOtherAddress);
  fixture.Establish(other);
  fixture.NodeSends(other, EndedBytes(kUid, 41));
  const auto answers = fixture.Answers();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].cause, 41);
}

// Guards against an end of an earlier task with the uid that ends the new one.
TEST(RecoveredTaskEnd, AUidThatIsUsedForANewRequestLosesItsStoredEnd) {
  RecoveredTaskFixture fixture;
  const ConnId conn = fixture.ConnectNode();
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  const ConnId started_on = fixture.StartTask(kUid);
  EXPECT_TRUE(fixture.dispatcher.requests().Contains(kUid));
  const std::string node = started_on == conn ? "m-1" : "m-2";
  fixture.Name(kUid, node);
  EXPECT_TRUE(fixture.Answers().empty());
  fixture.NodeSends(started_on, EndedBytes(kUid, 16));
  EXPECT_EQ(fixture.Answers().size(), 1u);
}

// An end is stored for a bounded time. A client that names the task later is notified of its end when the
// node is lost, as if this process had started then.
TEST(RecoveredTaskEnd, AnEndIsStoredForItsRetention) {
  for (const bool in_time : {true, false}) {
    RecoveredTaskFixture fixture;
    const ConnId conn = fixture.ConnectNode();
    fixture.NodeSends(conn, EndedBytes(kUid, 16));
    fixture.now += kEndedTaskRetention - (in_time ? 1 : 0);
    fixture.Name(kUid);
    EXPECT_EQ(fixture.Answers().size(), in_time ? 1u : 0u);
  }
}

// The node may have been replaced, or may have left the list, before the client names the task.
TEST(RecoveredTaskEnd, AnEndIsStoredWhenItsNodeIsReplaced) {
  for (const bool listed_again : {false, true}) {
    RecoveredTaskFixture fixture;
    const ConnId conn = fixture.ConnectNode();
    fixture.NodeSends(conn, EndedBytes(kUid, 16));
    NodeListEvent change;
    change.nodes = {Listed("m-1", kNodeAddress)};
    change.nodes[0].status = "gone";
    fixture.dispatcher.ApplyNodeList(fixture.now, change);
    fixture.EndNodeConnection(conn);
    if (listed_again) {
      change.nodes[0].status = "ready";
      change.nodes[0].started_at = fixture.now;
      fixture.dispatcher.ApplyNodeList(fixture.now, change);
    }
    static_cast<void>(fixture.Answers());  // of the task that ended with its node
    fixture.Name(kUid);
    ASSERT_EQ(fixture.Answers().size(), 1u) << listed_again;
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  }
}

// Guards against a node that is ejected for more failures than it had: the scheduler counts each end once,
// however often the task is named.
TEST(RecoveredTaskEnd, TheSchedulerCountsAnEndOnceAndEachClientThatNamesTheTaskIsNotified) {
  RecoveredTaskFixture fixture;
  const ConnId conn = fixture.ConnectNode();
  fixture.NodeSends(conn, EndedBytes(kUid, 41));
  fixture.CollectTrace();
  fixture.client_connections.Accept(fixture.now, 2, "10.9.0.2:6");
  for (const ConnId client : {ConnId{1}, ConnId{2}}) {
    fixture.Name(kUid, "m-1", client);
    const auto answers = fixture.Answers(client);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].cause, 41);
  }
  EXPECT_EQ(fixture.Traced("recovered"), 1u);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
}

// Guards against a task that runs in the books for ever because its client named it again while the
// notification of its end was on the way.
TEST(RecoveredTaskEnd, AClientThatNamesATaskAfterItsNotificationIsNotifiedAgain) {
  RecoveredTaskFixture fixture;
  const ConnId conn = fixture.StartTask(kUid);
  const std::string node = conn == fixture.transport.ConnTo(kNodeAddress) ? "m-1" : "m-2";
  fixture.NodeSends(conn, EndedBytes(kUid, 16));
  EXPECT_EQ(fixture.Answers().size(), 1u);
  fixture.Name(kUid, node);
  EXPECT_EQ(fixture.Answers().size(), 1u);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// Guards against a client that is not notified of an end because an earlier process terminated the task, and
// was killed before it could tell the client to migrate it.
TEST(RecoveredTaskEnd, ATaskThatAnEarlierProcessTerminatedIsReported) {
  RecoveredTaskFixture fixture;
  fixture.Name(kUid);
  const ConnId conn = fixture.transport.ConnTo(kNodeAddress);
  fixture.Establish(conn);
  fixture.NodeSends(conn, EndedBytes(kUid, 31));
  const auto answers = fixture.Answers();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].cause, 31);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// A task of which nothing was reported runs on, also if its node has reported progress of it or a repeated
// start before.
TEST(RecoveredTaskEnd, OtherMessagesAboutAnUnknownTaskDoNotEndIt) {
  RecoveredTaskFixture fixture;
  const ConnId conn = fixture.ConnectNode();
  static_cast<void>(fixture.transport.SentToNode(conn));
  fixture.NodeSends(conn, NodeMessageBytes(NodeMessageKind::kNote, kUid, -1, {{kStatusText, "runs"}}));
  fixture.NodeSends(conn, StartedBytes(kUid));
  EXPECT_TRUE(fixture.transport.SentToNode(conn).empty());  // the task is not terminated
  fixture.Name(kUid);
  EXPECT_TRUE(fixture.Answers().empty());
  EXPECT_EQ(fixture.dispatcher.requests().size(), 2u);
}

}  // namespace
}  // namespace mountflow::testing
