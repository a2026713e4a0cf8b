// Tasks, connections to machines and owners of the platform's program, under a controlled clock.
#include <malloc.h>

#include <random>

#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr RequestUid kUid = 0x9b1f03aa5c7e2d41u;

std::string Running(RequestUid uid) {
  return MachineBytes(NodeMessageKind::kAnswer, uid, -1, {{kDescription, "yes"}});
}
std::string Ends(RequestUid uid, int cause, std::map<std::uint8_t, std::string> params = {}) {
  return MachineBytes(NodeMessageKind::kStop, uid, cause, std::move(params));
}

TEST(PlatformTasks, ASetUpGoesOnUnchangedAndItsAnswerComesBackUnchanged) {
  PlatformRig rig;
  rig.Say(PlatformRig::Launch(kUid, "service", 2000, "", "v=0\\r\\n\\u00e9"));
  const ConnId conn = rig.port.to.begin()->first;
  rig.Up(conn);
  const auto sent = rig.port.Machine(conn);
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].kind, NodeMessageKind::kLaunch);
  EXPECT_EQ(sent[0].uid, kUid);
  EXPECT_EQ(sent[0].Text(kClass), "service");
  EXPECT_EQ(sent[0].Text(kWait), "2000");
  EXPECT_EQ(sent[0].Text(kTaskName), WriteHex(kUid + 1));
  EXPECT_EQ(sent[0].Text(kIdem), WriteHex(kUid) + WriteHex(kUid));
  EXPECT_EQ(sent[0].Text(kDescription), "v=0\r\n\xc3\xa9");
  EXPECT_EQ(sent[0].params.size(), 5u);
  rig.Machine(conn, MachineBytes(NodeMessageKind::kProgress, kUid) +
                        MachineBytes(NodeMessageKind::kAnswer, kUid, -1, {{kDescription, "c=\xc3\xa9\r\n"}}));
  const auto said = rig.port.Owner(rig.owner);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].kind, ClientMessageKind::kAnswer);
  EXPECT_EQ(said[0].description, "c=\xc3\xa9\r\n");
  // The end is told once, though it comes on this connection and on the next one too.
  rig.Machine(conn, Ends(kUid, 16));
  rig.Machine(conn, Ends(kUid, 16));
  const auto over = rig.port.Owner(rig.owner);
  ASSERT_EQ(over.size(), 1u);
  EXPECT_EQ(over[0].kind, ClientMessageKind::kStop);
  EXPECT_EQ(over[0].cause, 16);
  EXPECT_EQ(rig.tasks.requests().size(), 0u);
}

// The danger: a task that runs is handed over with no time left, as its owner waits for nothing, and a
// refusal of that set-up ended the task. 164 of 200 were lost so at a start.
TEST(PlatformTasks, WhatRunsAlreadyIsTakenWhateverTimeIsLeft) {
  for (const int left : {0, -5000}) {
    PlatformRig rig;
    rig.Say(PlatformRig::Launch(kUid, "service", left, ";at:m-1"));
    rig.Say(PlatformRig::Launch(kUid, "service", left, ";at:m-1"));  // again: it is held
    EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
    ASSERT_EQ(rig.tasks.requests().size(), 1u);
    const ConnId conn = rig.port.ConnTo("10.0.0.1:1");
    ASSERT_NE(conn, 0u);  // word of it must be able to come
    rig.Up(conn);
    // A machine sees a connection only with its first message: without one, ends came a second late.
    EXPECT_EQ(rig.port.Machine(conn).at(0).kind, NodeMessageKind::kHealthCheck);
    rig.Machine(conn, Ends(kUid, 16));
    EXPECT_EQ(rig.port.Owner(rig.owner).at(0).kind, ClientMessageKind::kStop);
  }
  PlatformRig rig;  // one whose machine nobody knows ends, and leaves nothing behind
  rig.Say(PlatformRig::Launch(kUid, "service", 100, ";at:s-unknown"));
  EXPECT_EQ(rig.tasks.requests().size(), 1u);
  rig.Pass(kNodeLostTimeout + kSec);
  EXPECT_EQ(rig.port.Owner(rig.owner).at(0).cause, kCauseFailed);
  EXPECT_EQ(rig.tasks.requests().size(), 0u);
  EXPECT_EQ(rig.links.node_count(), 2u);
}

TEST(PlatformTasks, ARefusalIsTriedElsewhereAndThenPassedOnAsOne) {
  PlatformRig rig;
  const ConnId first = rig.Placing(kUid);
  rig.Machine(first, Ends(kUid, 34, {{kSaid, "no_cores"}, {kReport, "x0:1;x1:-2;pending:3;cpu_share:0.5"}}));
  ConnId second = 0;
  for (const auto& [conn, address] : rig.port.to) second = conn != first ? conn : second;
  ASSERT_NE(second, 0u);
  rig.Up(second);
  ASSERT_EQ(rig.port.Machine(second).at(0).uid, kUid);
  // A late word of the first attempt is not taken for one of the second.
  rig.Machine(first, Running(kUid));
  rig.Machine(first, Ends(kUid, 47));
  EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
  rig.Machine(second, Ends(kUid, 34, {{kSaid, "no_memory"}}));
  const auto said = rig.port.Owner(rig.owner);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].cause, kCauseRejected);
  rig.Machine(second, Running(kUid));
  EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
}

// What the end of a connection proves: a refusal may be told only where nothing may have run.
TEST(PlatformLinks, WhatABrokenConnectionProves) {
  for (const bool written : {false, true}) {
    PlatformRig rig;
    rig.port.writes = written;
    const ConnId first = rig.Placing(kUid);
    rig.Ended(first);
    const std::size_t open = rig.port.to.size();
    if (written) {  // it may have run, and the other machine is of another cell: no further try, no promise
      EXPECT_EQ(rig.port.Owner(rig.owner).at(0).cause, kCauseFailed);
      continue;
    }
    EXPECT_EQ(open, 1u);  // it never ran: the other machine is asked
    rig.Ended(rig.port.to.begin()->first, true);
    EXPECT_EQ(rig.port.Owner(rig.owner).at(0).cause, kCauseRejected);
  }
}

TEST(PlatformLinks, AConnectionThatDoesNotComeUpInTimeNeverRan) {
  PlatformRig rig;
  rig.Say(PlatformRig::Launch(kUid));
  const std::string first = rig.port.to.begin()->second;
  rig.Pass(250 * kMilli);
  ASSERT_EQ(rig.port.to.size(), 1u);
  EXPECT_NE(rig.port.to.begin()->second, first);
  rig.Pass(250 * kMilli);
  EXPECT_EQ(rig.port.Owner(rig.owner).at(0).cause, kCauseRejected);
}

// Noise, a message that does not end, a description that cannot be passed on: the connection goes, every
// set-up on it gets its outcome, and tasks that stand live on.
TEST(PlatformLinks, ASpoiltAnswerCostsItsConnectionAndNoTaskThatStands) {
  const std::vector<std::string> rows = {
      "\x01\x02garbage",
      std::string("\xff\xff\x09", 3),
      MachineBytes(NodeMessageKind::kAnswer, kUid, -1, {{kDescription, "\xff\xfe"}}),
      MachineBytes(NodeMessageKind::kAnswer, kUid, -1, {{kDescription, std::string(5000, 'x')}})
          .substr(0, 3000),
  };
  for (const std::string& spoilt : rows) {
    PlatformRig rig;
    const ConnId conn = rig.Standing(kUid + 5);
    rig.Say(PlatformRig::Launch(kUid));
    const ConnId other = rig.port.Machine(conn).empty() ? rig.port.next : conn;
    if (other != conn) rig.Up(other);
    rig.Machine(other, spoilt);
    rig.Pass(kPartialNodeMessageTimeout);
    EXPECT_EQ(rig.port.closed.at(0), other) << spoilt.substr(0, 9);
    const auto said = rig.port.Owner(rig.owner);
    ASSERT_EQ(said.size(), 1u);
    EXPECT_EQ(said[0].uid, kUid);
    EXPECT_EQ(said[0].cause, kCauseFailed);  // it has been run
    EXPECT_TRUE(rig.tasks.requests().Contains(kUid + 5));
  }
}

TEST(PlatformLinks, ASecondCopyAndAnAnswerAheadOfItAreNotTaken) {
  PlatformRig rig;
  const ConnId conn = rig.Placing(kUid);
  rig.Machine(conn, Running(0x1234) + Running(kUid) + Running(kUid));
  EXPECT_EQ(rig.port.Owner(rig.owner).size(), 1u);
  EXPECT_EQ(rig.tasks.requests().size(), 1u);
}

// A reset cuts no task: it is told on the next connection, which is made at once. A refused connection says
// that the process is gone, and its tasks with it.
TEST(PlatformLinks, TasksOutliveAConnectionAndEndWithTheProcess) {
  PlatformRig rig;
  const ConnId conn = rig.Standing(kUid);
  const std::string address = rig.port.to.at(conn);
  rig.Ended(conn);
  rig.Pass(0);
  const ConnId next = rig.port.ConnTo(address);
  ASSERT_NE(next, 0u);
  EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
  rig.Up(next);
  rig.Machine(next, MachineBytes(NodeMessageKind::kNote, kUid, -1, {{kSaid, "runs"}, {kFigure, "1"}}));
  rig.Ended(next);
  rig.Pass(0);
  rig.Ended(rig.port.ConnTo(address), true);
  const auto said = rig.port.Owner(rig.owner);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].cause, kCauseFailed);
  EXPECT_EQ(rig.tasks.requests().size(), 0u);
}

// A machine that vanished says nothing, and its connections stay open: only a test tells. Its tasks are
// released within the 8 s that are allowed.
TEST(PlatformLinks, ASilentMachineIsFoundByTestsAndItsTasksAreReleasedInTime) {
  PlatformRig rig;
  const ConnId conn = rig.Standing(kUid);
  rig.Pass(kHealthCheckInterval);
  ASSERT_EQ(rig.port.Machine(conn).at(0).kind, NodeMessageKind::kHealthCheck);
  rig.Machine(conn, MachineBytes(NodeMessageKind::kHealthCheckReply, 1, 1));
  rig.Pass(kHealthCheckInterval + kHealthCheckTimeout);
  EXPECT_EQ(rig.port.closed.at(0), conn);
  // Cut off for 6 s, as networks are: it comes back with its tasks, and calling them over would end them.
  rig.Pass(7 * kSec - kHealthCheckInterval - kHealthCheckTimeout);
  EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
  EXPECT_EQ(rig.tasks.requests().size(), 1u);
  // The release is owed 8 s after the end, which may be right after the machine's last word.
  rig.Pass(8 * kSec - 7 * kSec - 200 * kMilli);
  EXPECT_EQ(rig.port.Owner(rig.owner).at(0).cause, kCauseFailed);
  EXPECT_EQ(rig.tasks.requests().size(), 0u);
}

TEST(PlatformLinks, ANewMachineAtAnOldAddressInheritsNothing) {
  PlatformRig rig;
  const ConnId conn = rig.Standing(kUid);
  const std::string address = rig.port.to.at(conn);
  NodeListChange change;
  ListedNode fresh;
  fresh.name = "m-9", fresh.address = address, fresh.zone = "left", fresh.kind = "big",
  fresh.status = "ready";
  change.nodes = {fresh};
  rig.tasks.ApplyNodeList(rig.now, change);
  rig.Ended(conn);
  rig.Pass(kSec);
  EXPECT_EQ(rig.port.ConnTo(address), 0u);  // it would reach the new machine
  rig.Pass(kNodeLostTimeout);
  EXPECT_EQ(rig.port.Owner(rig.owner).at(0).cause, kCauseFailed);
}

TEST(PlatformLinks, IdleConnectionsAreClosedBeforeTheMachineDoes) {
  PlatformRig rig;
  const ConnId conn = rig.Standing(kUid);
  rig.Machine(conn, Ends(kUid, 16));
  rig.Pass(11 * kSec);
  EXPECT_TRUE(rig.port.to.empty());
}

// A time-out and a withdrawal give the attempt up at the machine; the owner's time is the attempt's.
TEST(PlatformTasks, TimeOutsAndWithdrawalsGiveUpAtTheMachine) {
  for (const bool withdrawn : {false, true}) {
    PlatformRig rig;
    const ConnId conn = rig.Placing(kUid);
    if (withdrawn) {
      rig.Say(PlatformRig::Stop(kUid));
    } else {
      rig.Machine(conn, MachineBytes(NodeMessageKind::kProgress, kUid));
      for (int i = 0; i < 4; ++i) {  // heard, so the module waits to the end
        rig.Pass(500 * kMilli);
        rig.Machine(conn, MachineBytes(NodeMessageKind::kHealthCheckReply, 1, 1));
      }
    }
    bool given_up = false;
    for (const NodeMessage& m : rig.port.Machine(conn)) {
      given_up |= m.kind == NodeMessageKind::kStop && m.uid == kUid && m.cause == 16;
    }
    EXPECT_TRUE(given_up);
    EXPECT_EQ(rig.port.Owner(rig.owner).size(), withdrawn ? 0u : 1u);
    EXPECT_EQ(rig.tasks.requests().size(), 0u);
    rig.Machine(conn, Running(kUid));
    EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
  }
}

TEST(PlatformTasks, AnOwnersStopEndsTheTaskAndIsOwedNoRelease) {
  for (const bool answers : {true, false}) {
    PlatformRig rig;
    const ConnId conn = rig.Standing(kUid);
    rig.owners.Accept(rig.now, 2, "10.9.0.1:6");
    rig.Say(PlatformRig::Stop(kUid), 2);  // on another connection
    EXPECT_EQ(rig.port.Machine(conn).at(0).kind, NodeMessageKind::kStop);
    if (answers) rig.Machine(conn, Ends(kUid, 31));
    rig.Pass(kTerminationTimeout);
    EXPECT_EQ(rig.tasks.requests().size(), 0u);
    EXPECT_TRUE(rig.port.Owner(rig.owner).empty());
    EXPECT_TRUE(rig.port.Owner(2).empty());
  }
}

// ---- Owners ----

TEST(PlatformOwners, WordOfATaskFindsItsOwnerOnAnotherConnection) {
  PlatformRig rig;
  const ConnId conn = rig.Standing(kUid);
  rig.owners.OnClosed(rig.now, rig.owner);
  rig.owners.Accept(rig.now, 2, "10.9.0.1:6");  // from the same host, but it has placed nothing
  rig.owners.Accept(rig.now, 3, "10.9.0.2:6");
  rig.Machine(conn, Ends(kUid, 41));
  EXPECT_TRUE(rig.port.Owner(2).empty());
  rig.Say(PlatformRig::Launch(kUid + 9, "service", 0, ";at:m-1"), 2);
  const auto said = rig.port.Owner(2);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].uid, kUid);
  EXPECT_TRUE(rig.port.Owner(3).empty());
}

TEST(PlatformOwners, AnAnswerNeverGoesOnAnotherConnection) {
  PlatformRig rig;
  const ConnId conn = rig.Placing(kUid);
  rig.owners.OnClosed(rig.now, rig.owner);
  EXPECT_EQ(rig.port.Machine(conn).at(0).kind, NodeMessageKind::kStop);  // nobody waits for it any more
  EXPECT_EQ(rig.tasks.requests().size(), 0u);
}

// Each row of what bad owners send gets a refusal, a failure or a close, and nothing reaches a machine.
TEST(PlatformOwners, WhatBadInputGets) {
  const auto with = [](const std::string& from, const std::string& to) {
    std::string line = PlatformRig::Launch(kUid);
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
    PlatformRig rig;
    rig.Say(row.bytes);
    EXPECT_EQ(rig.port.closed.size(), row.closed ? 1u : 0u) << row.name;
    const auto said = rig.port.Owner(rig.owner);
    ASSERT_EQ(said.size(), row.closed ? 0u : 1u) << row.name;
    if (!row.closed) {
      EXPECT_EQ(said[0].cause, kCauseInvalidRequest) << row.name;
    }
    EXPECT_TRUE(rig.port.to.empty()) << row.name;
    EXPECT_EQ(rig.tasks.requests().size(), 0u);
  }
}

// The danger: a second answer under one id.
TEST(PlatformOwners, TwoSetUpsUnderOneIdCostTheConnection) {
  PlatformRig rig;
  rig.Placing(kUid);
  rig.owners.Accept(rig.now, 2, "10.9.0.7:1");
  rig.Say(PlatformRig::Launch(kUid, "service", 2000, "", "other"), 2);
  EXPECT_EQ(rig.port.closed, std::vector<ConnId>{2});
  EXPECT_TRUE(rig.tasks.requests().Contains(kUid));  // that of the first is open as before
  rig.Say(PlatformRig::Launch(kUid), rig.owner);
  EXPECT_EQ(rig.port.closed.back(), rig.owner);
  EXPECT_EQ(rig.tasks.requests().unanswered(), 0u);
}

TEST(PlatformOwners, SilentConnectionsGiveWay) {
  PlatformRig rig;
  rig.Standing(kUid);
  for (ConnId conn = 100; conn < 400; ++conn) rig.owners.Accept(rig.now, conn, "10.9.0.9:1");
  EXPECT_EQ(rig.owners.connection_count(), 40u);
  EXPECT_TRUE(rig.owners.HasConnection(rig.owner));  // it has spoken
  rig.Pass(kFirstMessageTimeout);
  EXPECT_EQ(rig.owners.connection_count(), 1u);
  // Those that ask once and stay for good keep nobody out, and none that waits for an answer is closed.
  rig.Placing(kUid + 0x100);
  for (ConnId conn = 1000; conn < 1100; ++conn) {
    rig.now += kMilli;
    rig.owners.Accept(rig.now, conn, "10.9.0.9:1");
    rig.Say("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n", conn);
    EXPECT_EQ(rig.port.Owner(conn).size(), 1u);
  }
  EXPECT_EQ(rig.owners.connection_count(), 40u);
  EXPECT_TRUE(rig.owners.HasConnection(rig.owner));
  EXPECT_FALSE(rig.owners.HasConnection(1000));
  for (ConnId conn = 1000; conn < 1100; ++conn) rig.owners.OnClosed(rig.now, conn);
  rig.owners.Accept(rig.now, 500, "10.9.0.9:1");
  rig.Say("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n{\"kind\":", 500);
  EXPECT_EQ(rig.port.Owner(500).at(0).cause, 1);
  rig.Pass(kPartialMessageTimeout);
  EXPECT_FALSE(rig.owners.HasConnection(500));  // half a message
}

TEST(PlatformOwners, ATestFailsOnceTheSchedulerLeaves) {
  PlatformRig rig;
  rig.owners.SetReady(false);
  rig.Say("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n");
  const auto said = rig.port.Owner(rig.owner);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].kind, ClientMessageKind::kHealthCheckReply);
  EXPECT_EQ(said[0].cause, 0);
}

// The danger: an owner's one connection is closed to make room while its task stands, and word of the task's
// end finds no way within the 8 s. On a long day two were lost so.
TEST(PlatformOwners, AConnectionWhoseTaskStandsIsTheLastToGiveWay) {
  PlatformRig rig;
  const ConnId conn = rig.Standing(kUid);
  for (ConnId other = 100; other < 200; ++other) {
    rig.now += kMilli;
    rig.owners.Accept(rig.now, other, "10.9.0.9:1");
    rig.Say("{\"kind\":\"check\",\"uid\":\"0000000000000001\",\"meta\":{},\"reason\":0}\n", other);
  }
  EXPECT_EQ(rig.owners.connection_count(), 40u);
  ASSERT_TRUE(rig.owners.HasConnection(rig.owner));
  rig.Machine(conn, Ends(kUid, 16));
  EXPECT_EQ(rig.port.Owner(rig.owner).size(), 1u);
  EXPECT_EQ(rig.tasks.requests().running_on(rig.owner), 0u);
  rig.now += kMilli;
  rig.owners.Accept(rig.now, 900, "10.9.0.9:1");
  EXPECT_FALSE(rig.owners.HasConnection(rig.owner));  // now it is the one unused for longest
}

// The danger: descriptions alone, 2,048 of 16 KiB, would fill the smallest memory limit.
TEST(PlatformOwners, WhatDescriptionsHoldIsBoundedAndGivenBack) {
  PlatformRig rig;
  for (RequestUid uid = 1; uid <= 300; ++uid) {
    rig.Say(PlatformRig::Launch(0x100 * uid, "service", 2000, "", std::string(15 << 10, 'x')));
    ASSERT_LE(rig.tasks.requests().description_bytes(), 100u << 10);
  }
  EXPECT_GT(rig.tasks.requests().description_bytes(), 50u << 10);
  rig.owners.OnClosed(rig.now, rig.owner);
  EXPECT_EQ(rig.tasks.requests().description_bytes(), 0u);
  EXPECT_EQ(rig.tasks.requests().size(), 0u);
}

// One connection's flood waits its turn, and more than its part is refused.
TEST(PlatformOwners, AFloodIsWorkedOffInPieces) {
  PlatformRig rig;
  std::string flood;
  std::size_t answered = 0;
  for (RequestUid uid = 1; uid <= 2 * kMaxMessagesPerTurn; ++uid) flood += PlatformRig::Launch(0x100 * uid);
  const auto taken = [&] {
    answered += rig.port.Owner(rig.owner).size();
    return answered + rig.tasks.requests().unanswered();
  };
  rig.Say(flood);
  EXPECT_EQ(taken(), kMaxMessagesPerTurn);
  EXPECT_TRUE(rig.owners.HasBacklog(rig.owner));
  EXPECT_TRUE(rig.owners.ProcessBacklog(rig.now).empty());
  EXPECT_EQ(taken(), 2 * kMaxMessagesPerTurn);
  EXPECT_EQ(rig.owners.ProcessBacklog(rig.now), std::vector<ConnId>{rig.owner});
  EXPECT_FALSE(rig.owners.HasBacklog(rig.owner));
}

// A day of ever new ids: owners' connections, tasks and machines. No table and no memory grows with the past.
TEST(PlatformFlat, ALongDayOfNewIdsLeavesNoTrace) {
  PlatformRig rig;
  std::mt19937_64 random(2026);
  std::map<std::string, std::vector<std::pair<Micros, RequestUid>>> ends;  // by address
  [[maybe_unused]] std::size_t early = 0;  // not measured under the sanitizers
  std::size_t placed = 0, most = 0;
  ConnId owner = 1;
  std::vector<std::string> names = {"m-1", "m-2"};
  constexpr int kSteps = 20'000;
  for (int step = 0; step < kSteps; ++step) {
    rig.Pass(40 * kMilli);
    if (step % 50 == 0) {  // a machine goes, a new one comes, now and then at its address
      const std::size_t which = random() % 2;
      NodeListChange change;
      ListedNode gone, fresh;
      gone.name = names[which], gone.status = "gone";
      fresh.name = "m-" + std::to_string(step + 10), fresh.status = "ready", fresh.zone = "left",
      fresh.kind = "big";
      fresh.address = "10.0.0." + std::to_string(random() % 4) + ":1";
      fresh.free_cores = 32, fresh.free_memory = 64;
      names[which] = fresh.name;
      change.nodes = {gone, fresh};
      rig.tasks.ApplyNodeList(rig.now, change);
      rig.owners.DeliverNotifications(rig.now);
    }
    if (step % 3 == 0) {
      rig.owners.OnClosed(rig.now, owner);
      rig.owners.Accept(rig.now, ++owner + 1'000'000'000, "10.9.0." + std::to_string(random() % 200) + ":1");
      owner += 1'000'000'000;
    }
    const RequestUid uid = 0x1000000 + static_cast<RequestUid>(step) * 16;
    rig.Say(PlatformRig::Launch(uid), owner);
    for (const auto& [conn, address] : std::map<ConnId, std::string>(rig.port.to)) {
      rig.Up(conn);
      for (const NodeMessage& m : rig.port.Machine(conn)) {
        if (m.kind == NodeMessageKind::kHealthCheck)
          rig.Machine(conn, MachineBytes(NodeMessageKind::kHealthCheckReply, m.uid, 1));
        if (m.kind != NodeMessageKind::kLaunch) continue;
        rig.Machine(conn, random() % 20 == 0 ? std::string("\x00\x01", 2) : Running(m.uid));
        ends[address].emplace_back(rig.now + random() % (3 * kSec), m.uid);
        ++placed;
        break;
      }
      for (const auto& [at, uid] : std::vector(ends[address])) {  // told again on each connection
        if (at <= rig.now && rig.port.to.count(conn) > 0) rig.Machine(conn, Ends(uid, 16));
      }
      std::erase_if(ends[address],
                    [&](const auto& end) { return end.first <= rig.now && !rig.tasks.requests().Contains(end.second); });
    }
    rig.port.closed.clear();
    rig.port.log.clear();
    for (auto it = rig.port.sent.begin(); it != rig.port.sent.end();) {
      it = rig.port.to.count(it->first) == 0 ? rig.port.sent.erase(it) : std::next(it);
    }
    most = std::max(most, rig.tasks.requests().size());
    ASSERT_LE(rig.links.node_count(), 12u) << step;
    ASSERT_LE(rig.links.connection_count(), 12u);
    ASSERT_LE(rig.tasks.scheduler_timers(), 2u);
    ASSERT_LE(rig.owners.connection_count(), 1u);
    ASSERT_LE(rig.owners.undelivered_count(), 400u);
    static_cast<void>(rig.tasks.TakeLogLines());
#ifndef __SANITIZE_ADDRESS__
    if (step == kSteps / 2) early = mallinfo2().uordblks;
    if (step == kSteps - 1) {
      EXPECT_LT(mallinfo2().uordblks, early + (400u << 10)) << "at half: " << early;
    }
#endif
  }
  EXPECT_GT(placed, static_cast<std::size_t>(kSteps) / 2);
  EXPECT_LT(most, 1000u);
}

}  // namespace
}  // namespace mountflow::testing
