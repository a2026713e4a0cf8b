// Tests of nodes that restart under their name and address. Only the start time of their entry in the node
// list shows it: the new process accepts connections and answers health checks, and reports nothing about the
// tasks of the earlier one.
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr RequestUid kOtherUid = kUid + 0x100;
constexpr Micros kNotice = kSec;  // from the start of a node's process to its entry in the node list

// How the scheduler came to know a task, and in which state its node's connection is when the node restarts.
enum class Known { kConnected, kReconnected, kConnecting, kWithoutConnection, kHandedOver };
constexpr Known kAllKnown[] = {Known::kConnected, Known::kReconnected, Known::kConnecting,
                               Known::kWithoutConnection, Known::kHandedOver};

struct NodeRestartFixture : PlatformFixture {
  using PlatformFixture::PlatformFixture;
  std::uint64_t last_event = 1;

  // Applies an entry of node m-1 with a start time, as a delta or in a snapshot of both nodes.
  void ListStart(Micros started_at, bool snapshot = false, const std::string& status = "ready") {
    NodeListEvent event;
    event.number = ++last_event;
    event.whole = snapshot;
    event.nodes = {Listed("m-1", "10.0.0.1:1")};
    event.nodes[0].started_at = started_at;
    event.nodes[0].status = status;
    if (snapshot) event.nodes.push_back(Listed("m-2", "10.0.0.2:1", 1));
    dispatcher.ApplyNodeList(now, event);
    client_connections.DeliverNotifications(now);
  }
  // Drains m-2, so that every attempt is sent to m-1.
  void DrainOtherNode() {
    NodeListEvent event;
    event.number = ++last_event;
    event.nodes = {Listed("m-2", "10.0.0.2:1", 1)};
    event.nodes[0].status = "draining";
    dispatcher.ApplyNodeList(now, event);
  }
  // Ends the connection to m-1 and establishes the next one, which is made immediately.
  ConnId Reconnect(ConnId conn) {
    EndNodeConnection(conn);
    AdvanceTime(0);
    const ConnId next = transport.ConnTo("10.0.0.1:1");
    Establish(next);
    transport.Sent(next);
    return next;
  }
  // Makes a task run on m-1 as `known` says. The node then restarts at the returned time.
  Micros RunTaskOverRestart(Known known) {
    DrainOtherNode();
    if (known == Known::kHandedOver) {
      ClientSends(LaunchLine(kUid, "service", 0, ";at:m-1"));
      Establish(transport.ConnTo("10.0.0.1:1"));
    } else {
      const ConnId conn = StartTask(kUid);
      AdvanceTime(kMilli);
      if (known == Known::kReconnected) Reconnect(conn);
      if (known == Known::kConnecting) {
        EndNodeConnection(conn);
        AdvanceTime(0);
      }
      if (known == Known::kWithoutConnection) EndNodeConnection(conn);
    }
    AdvanceTime(2 * kMilli);
    return now;
  }
  // Returns how many records of lost tasks were written since the last call.
  std::size_t LostTasksLogged() {
    std::size_t count = 0;
    for (const logging::LogRecord& record : dispatcher.TakeLogRecords()) {
      if (record.event != logging::LogEvent::kNodeTasksLost) continue;
      EXPECT_EQ(logging::FormatKeyValue(record),
                "event=node_tasks_lost node=m-1 tasks=1 reason=\"the node has restarted\"");
      ++count;
    }
    return count;
  }
  std::vector<ClientMessage> Answers() { return transport.SentToClient(client); }
};

// Guards against clients that wait for the end of a task for ever: its node was away for less than
// kNodeLostTimeout, and only the scheduler library learned of the new process.
TEST(NodeRestart, ReleasesEachTaskOfTheEarlierProcessOnce) {
  for (const Known known : kAllKnown) {
    for (const bool snapshot : {false, true}) {
      NodeRestartFixture fixture;
      const Micros started_at = fixture.RunTaskOverRestart(known);
      fixture.now += kNotice;
      fixture.ListStart(started_at, snapshot);
      const auto answers = fixture.Answers();
      ASSERT_EQ(answers.size(), 1u) << static_cast<int>(known) << snapshot;
      EXPECT_EQ(answers[0].uid, kUid);
      EXPECT_EQ(answers[0].kind, ClientMessageKind::kStop);
      EXPECT_EQ(answers[0].cause, kCauseFailed);
      EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
      EXPECT_EQ(fixture.LostTasksLogged(), 1u);
      for (const bool repeated_in_snapshot : {false, true})
        fixture.ListStart(started_at, repeated_in_snapshot);
      fixture.AdvanceTime(kNodeLostTimeout + kSec);
      EXPECT_TRUE(fixture.Answers().empty());
    }
  }
}

// The node is silent, its connection is closed, and the new process is connected before the change log tells
// of it. Nothing shows the restart until then; the event releases the task, however late it is.
TEST(NodeRestart, ReleasesTheTaskWhenTheChangeLogIsBack) {
  for (const Micros outage : {kNotice, 30 * kSec}) {
    NodeRestartFixture fixture;
    fixture.DrainOtherNode();
    const ConnId conn = fixture.StartTask(kUid);
    fixture.AdvanceTime(5 * kSec);  // closed by the health check; connecting times out from then on
    ASSERT_EQ(fixture.transport.closed.at(0), conn);
    const Micros started_at = fixture.now;
    while (fixture.transport.ConnTo("10.0.0.1:1") == 0) fixture.AdvanceTime(kMilli);
    const ConnId next = fixture.transport.ConnTo("10.0.0.1:1");
    fixture.Establish(next);
    for (const Micros until = fixture.now + outage; fixture.now < until; fixture.AdvanceTime(kSec)) {
      fixture.NodeSends(next, NodeMessageBytes(NodeMessageKind::kHealthCheckReply, 1, 1));
    }
    EXPECT_TRUE(fixture.Answers().empty());
    fixture.ListStart(started_at, outage > kNotice);
    EXPECT_EQ(fixture.Answers().size(), 1u);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
  }
}

// Guards against releasing tasks that run: an attempt that was sent to the new process before its event was
// read, and tasks that were handed over then.
TEST(NodeRestart, KeepsTasksThatTheNewProcessStarted) {
  for (const bool handed_over : {false, true}) {
    for (const bool snapshot : {false, true}) {
      NodeRestartFixture fixture;
      fixture.RunTaskOverRestart(Known::kWithoutConnection);
      const Micros started_at = fixture.now;
      fixture.AdvanceTime(0);
      const ConnId conn = fixture.transport.ConnTo("10.0.0.1:1");
      ASSERT_NE(conn, 0u);
      fixture.Establish(conn);
      if (handed_over) {
        fixture.ClientSends(LaunchLine(kOtherUid, "service", 0, ";at:m-1"));
      } else {
        EXPECT_EQ(fixture.StartTask(kOtherUid), conn);
      }
      // The connection is evicted or broken and made again: the tasks run on.
      const ConnId next = snapshot ? fixture.Reconnect(conn) : conn;
      fixture.now += 4 * kSec;
      fixture.ListStart(started_at, snapshot);
      fixture.ListStart(started_at, !snapshot);
      const auto answers = fixture.Answers();
      ASSERT_EQ(answers.size(), 1u);
      EXPECT_EQ(answers[0].uid, kUid);
      EXPECT_EQ(fixture.transport.outgoing.count(next), 1u);
      fixture.NodeSends(next, EndedBytes(kOtherUid, 16));
      EXPECT_EQ(fixture.Answers().at(0).cause, 16);
    }
  }
}

// An entry without a start time, with an earlier one (a late event) or of a process that existed before the
// tasks proves nothing. Nor does the same start time with another status.
TEST(NodeRestart, KeepsTasksWhenNoNewProcessIsListed) {
  for (const Known known : kAllKnown) {
    NodeRestartFixture fixture;
    const Micros started_at = fixture.now - 10 * kSec;
    fixture.ListStart(started_at);
    fixture.RunTaskOverRestart(known);
    for (const bool snapshot : {false, true}) {
      for (const Micros no_time : {Micros{0}, Micros{1}}) fixture.ListStart(no_time, snapshot);
      fixture.ListStart(started_at - 5 * kSec, snapshot);
      fixture.ListStart(started_at, snapshot);
      fixture.ListStart(started_at, snapshot, "draining");
    }
    EXPECT_TRUE(fixture.Answers().empty()) << static_cast<int>(known);
    EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
  }
}

// Start times are whole milliseconds: a connection that was established in the millisecond of the start leads
// to the new process.
TEST(NodeRestart, KeepsATaskWhoseConnectionIsOfTheSameMillisecond) {
  NodeRestartFixture fixture;
  fixture.DrainOtherNode();
  fixture.StartTask(kUid);
  fixture.ListStart(fixture.now + 999);
  EXPECT_TRUE(fixture.Answers().empty());
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
}

// A second restart is noticed as the first was, also where tasks of both processes run at once for the
// scheduler.
TEST(NodeRestart, DistinguishesTheTasksOfSeveralProcesses) {
  NodeRestartFixture fixture;
  const Micros first_start = fixture.RunTaskOverRestart(Known::kWithoutConnection);
  fixture.AdvanceTime(0);
  const ConnId conn = fixture.transport.ConnTo("10.0.0.1:1");
  fixture.Establish(conn);
  EXPECT_EQ(fixture.StartTask(kOtherUid), conn);
  fixture.now += kSec;
  fixture.ListStart(first_start);
  EXPECT_EQ(fixture.Answers().at(0).uid, kUid);
  const Micros second_start = fixture.now;
  fixture.now += kSec;
  fixture.ListStart(second_start);
  EXPECT_EQ(fixture.transport.outgoing.count(conn), 0u);  // it leads to the process that has ended
  EXPECT_EQ(fixture.Answers().at(0).uid, kOtherUid);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// The client itself ended the task, so it is not notified.
TEST(NodeRestart, NotifiesNoClientThatEndedItsTask) {
  NodeRestartFixture fixture;
  const Micros started_at = fixture.RunTaskOverRestart(Known::kConnected);
  fixture.ClientSends(StopLine(kUid));
  fixture.now += kMilli;
  fixture.ListStart(started_at);
  fixture.AdvanceTime(kTerminationTimeout);
  EXPECT_TRUE(fixture.Answers().empty());
  EXPECT_EQ(fixture.dispatcher.requests().size(), 0u);
}

// ---- Attempts in flight ----

// An attempt on a connection to the earlier process may have run. An idempotent task goes to another node; a
// task with a key only to a node of the same rack, which discards repeats; another task goes nowhere. Without
// a retry the request fails, which promises nothing about a retry by the client.
TEST(NodeRestart, RetriesAnAttemptInFlightOnlyWhereItsEffectIsSafe) {
  struct Case {
    const char* task_class;
    const char* effect_of_batch;
    unsigned rack_of_other;
    bool retried;
  };
  for (const Case& test : {Case{"service", "safe", 0, true}, Case{"service", "safe", 1, false},
                           Case{"batch", "safe", 1, true}, Case{"batch", "unsafe", 0, false}}) {
    std::string config = kPlatformConfig;
    config.replace(config.find("safe"), std::string("safe").size(), test.effect_of_batch);
    NodeRestartFixture fixture(config);
    fixture.DrainOtherNode();
    const ConnId conn = fixture.LaunchAttempt(kUid, test.task_class);
    NodeListEvent added;
    added.nodes = {Listed("m-3", "10.0.0.3:1", test.rack_of_other)};
    fixture.dispatcher.ApplyNodeList(fixture.now, added);
    fixture.now += 300 * kMilli;
    fixture.ListStart(fixture.now);
    EXPECT_EQ(fixture.transport.outgoing.count(conn), 0u);
    EXPECT_EQ(fixture.transport.ConnTo("10.0.0.3:1") != 0, test.retried) << test.task_class;
    EXPECT_EQ(fixture.transport.ConnTo("10.0.0.1:1"), 0u);
    const auto answers = fixture.Answers();
    ASSERT_EQ(answers.size(), test.retried ? 0u : 1u);
    for (const ClientMessage& answer : answers) EXPECT_EQ(answer.cause, kCauseFailed);
  }
}

// An attempt that still waits for its connection goes to the new process, and is sent once.
TEST(NodeRestart, KeepsAnAttemptThatWaitsForItsConnection) {
  NodeRestartFixture fixture;
  fixture.DrainOtherNode();
  fixture.ClientSends(LaunchLine(kUid));
  const ConnId conn = fixture.transport.ConnTo("10.0.0.1:1");
  ASSERT_NE(conn, 0u);
  fixture.now += 100 * kMilli;
  fixture.ListStart(fixture.now);
  fixture.Establish(conn);
  const auto sent = fixture.transport.SentToNode(conn);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].uid, kUid);
  fixture.NodeSends(conn, StartedBytes(kUid));
  EXPECT_EQ(fixture.Answers().at(0).kind, ClientMessageKind::kAnswer);
  EXPECT_EQ(fixture.dispatcher.requests().size(), 1u);
}

// The failures of the earlier process do not eject the new one.
TEST(NodeRestart, SendsAttemptsToTheNewProcess) {
  NodeRestartFixture fixture;
  const Micros started_at = fixture.RunTaskOverRestart(Known::kConnected);
  fixture.now += kNotice;
  fixture.ListStart(started_at);
  EXPECT_EQ(fixture.Answers().size(), 1u);
  const ConnId conn = fixture.StartTask(kOtherUid);
  EXPECT_EQ(fixture.transport.outgoing.at(conn), "10.0.0.1:1");
}

}  // namespace
}  // namespace mountflow::testing
