// Tests of the platform's program on loopback in which a shutdown, or the close of a connection, coincides
// with unfinished work. To make events coincide, a test stops the program, lets the peers write to their
// sockets, and then lets the program continue.
#include <sys/resource.h>
#include <sys/stat.h>

#include "tests/support/platform_process_fixture.hpp"

namespace mountflow::testing {
namespace {

class PlatformShutdown : public PlatformProcess {
 protected:
  // Runs the loop until `until`, so that a timer of the program becomes due.
  void WaitUntilTime(Micros until) {
    bool due = false;
    loop.AddTimer(until, [&due] { due = true; });
    RunUntil([&due] { return due; });
  }
  // Returns the number of attempts that nodes received for these requests.
  std::size_t AttemptsOf(const std::set<RequestUid>& uids) const {
    std::size_t sent = 0;
    for (const auto& node : nodes) {
      for (const NodeMessage& launch : node->launches) sent += uids.count(launch.uid);
    }
    return sent;
  }
};

// ---- SIGTERM ----

// Guards against a lost request. The timers of a loop turn run before the input of that turn is read, so a
// last check for unfinished work in a timer missed a request that was read in the same turn. The request was
// sent to a node and got no answer.
TEST_F(PlatformShutdown, AnswersRequestReadDuringFinalShutdownTurn) {
  Start();
  FakeClient& client = NewClient();
  client.CheckHealth();
  daemon->Signal(SIGTERM);
  const Micros began_at = loop.Now();
  RunUntil([&] {
    if (!client.health_replies.empty() && client.health_replies.back() == 1) {
      client.CheckHealth();
      client.health_replies.clear();
    }
    return !client.health_replies.empty() && client.health_replies.back() == 0;
  });
  daemon->Halt();
  client.Launch(1, "service", 2000);
  WaitUntilTime(began_at + 1'500'000);
  daemon->Signal(SIGCONT);
  RunUntil([&] { return client.closed || client.final_answers.count(1) > 0; });
  EXPECT_EQ(client.final_answers.count(1), 1u);
  EXPECT_EQ(daemon->Wait(), 0);
  ExpectNoViolations();
}

// Guards against lost answers: when the program ends, its sockets are closed, and answers that a slow client
// had not read were lost.
TEST_F(PlatformShutdown, WaitsForAnswersThatASlowClientHasNotRead) {
  memory_mb = 8192;  // allows 16 MiB of unsent bytes per connection
  cores = 512;
  change_log.events.clear();
  std::string entries;
  for (const auto& node : nodes) entries += (entries.empty() ? "" : ",") + EntryOf(*node);
  change_log.AddEvent(entries, true);
  Start();
  std::size_t answered = 0;
  for (auto& owned_node : nodes) {
    FakeNode* node = owned_node.get();
    node->reply = [node, &answered](const NodeMessage& launch) {
      ++answered;
      node->Accept(launch.uid);
      NodeMessage answer;
      answer.kind = NodeMessageKind::kAnswer;
      answer.uid = launch.uid;
      answer.params[kDescription] = std::string(15'000, 'y');
      return EncodeNodeMessage(answer);
    };
  }
  constexpr std::size_t kRequests = 500;  // 7.5 MB of answers: more than the kernel buffers
  FakeClient& client = NewClient();
  loop.PauseReading(client.conn, true);
  for (RequestUid uid = 1; uid <= kRequests; ++uid) {
    client.Launch(uid, "service", 3000, WriteHex(uid));
    if (uid % 100 == 0) RunUntil([&] { return answered == uid; });
  }
  daemon->Signal(SIGTERM);
  WaitUntilTime(loop.Now() + 1'500'000);
  loop.PauseReading(client.conn, false);
  RunUntil([&] { return client.closed || client.final_answers.size() == kRequests; });
  EXPECT_EQ(client.final_answers.size(), kRequests);
  for (const auto& [uid, message] : client.final_answers) ASSERT_EQ(message.description.size(), 15'000u);
  EXPECT_EQ(daemon->Wait(), 0);
}

// Guards against a shutdown that never completes. Clients of running tasks continue to stop them and to send
// health checks. A program that waits until no message arrives would run until it is killed, with requests
// unanswered.
TEST_F(PlatformShutdown, StopsThoughMessagesWithoutAnswerKeepComing) {
  Start();
  FakeClient& client = NewClient();
  client.CheckHealth();
  daemon->Signal(SIGTERM);
  const Micros began_at = loop.Now();
  std::size_t seen = 0;
  RunUntil([&] {
    if (client.health_replies.size() > seen) {
      seen = client.health_replies.size();
      client.CheckHealth();
      client.Stop(77);  // there is no task with this uid
    }
    return client.closed;
  });
  EXPECT_GT(loop.Now(), began_at + 800'000);
  EXPECT_LT(loop.Now(), began_at + 2'500'000);
  EXPECT_EQ(daemon->Wait(), 0);
}

// With deadlines longer than 3 s, SIGKILL follows 3.7 s after SIGTERM. All pending requests must be answered
// before.
TEST_F(PlatformShutdown, AnswersLongRequestsBeforeTheKill) {
  Start();
  for (auto& node : nodes) {
    node->reply = [](const NodeMessage&) { return std::string(); };
  }
  FakeClient& client = NewClient();
  client.CheckHealth();
  RunUntil([&] { return !client.health_replies.empty(); });
  daemon->Signal(SIGTERM);
  const Micros began_at = loop.Now();
  WaitUntilTime(began_at + 550'000);
  client.Launch(1, "batch", 3200);  // its deadline is 3.75 s after SIGTERM
  RunUntil([&] { return client.closed || client.final_answers.count(1) > 0; });
  EXPECT_EQ(client.final_answers.count(1), 1u);
  EXPECT_LT(loop.Now(), began_at + 3'700'000);
  EXPECT_EQ(daemon->Wait(), 0);
}

// The configuration file is a pipe, so the program is still waiting to read it when the signals arrive.
TEST_F(PlatformShutdown, HandlesSignalsThatCameBeforeItWasReady) {
  for (const int signal : {SIGTERM, SIGHUP}) {
    const std::string file = folder_ + "/config.json";
    std::filesystem::remove(file);
    ASSERT_EQ(mkfifo(file.c_str(), 0600), 0);
    Spawn();
    const int to = open(file.c_str(), O_WRONLY);  // blocks until the program reads
    ASSERT_GE(to, 0);
    Configure(change_log.address);  // replaces the pipe by the file that a reload reads
    daemon->Signal(signal);
    const std::string text = Configuration(change_log.address);
    ASSERT_EQ(write(to, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(to);
    if (signal == SIGTERM) {
      EXPECT_EQ(daemon->Wait(), 0);
    } else {
      WaitUntilReady();
      FakeClient& client = NewClient();
      client.Launch(1, "service", 2000);
      RunUntil([&] { return client.final_answers.count(1) > 0; });
      ExpectNoViolations();
      daemon->Kill();
    }
    clients.clear();
  }
}

// A reload, a draining node in the new change log, and SIGTERM coincide.
TEST_F(PlatformShutdown, HandlesReloadDrainAndShutdownTogether) {
  Start();
  FakeChangeLog other(&loop);
  other.first_number = 2;
  other.AddEvent(EntryOf(*nodes[0], "draining"));
  FakeClient& client = NewClient();
  for (RequestUid uid = 1; uid <= 20; ++uid) client.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return client.final_answers.size() == 20; });
  daemon->Halt();
  Configure(other.address);
  daemon->Signal(SIGHUP);
  daemon->Signal(SIGTERM);
  daemon->Signal(SIGCONT);
  RunUntil([&] { return !other.requested_since.empty() && other.requested_since.back() == 2; });
  LogNodeListed(*nodes[0], 1);
  const std::size_t before = nodes[0]->launches.size();
  for (RequestUid uid = 101; uid <= 140; ++uid) client.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return client.final_answers.size() == 60; });
  EXPECT_EQ(nodes[0]->launches.size(), before);
  EXPECT_EQ(daemon->Wait(), 0);
  ExpectNoViolations();
}

// ---- Clients that close their connections ----

// The client sends more requests than the program reads in one turn, so its close follows requests that have
// not been read yet. None of them may be sent to a node.
TEST_F(PlatformShutdown, SendsNothingOfAClientThatLeftBeforeItWasRead) {
  Start();
  FakeClient& gone = NewClient();
  gone.CheckHealth();
  RunUntil([&] { return !gone.health_replies.empty(); });
  daemon->Halt();
  for (RequestUid uid = 1; uid <= 150; ++uid) gone.Launch(uid, "service", 3000, WriteHex(uid));
  gone.Leave();
  WaitUntilTime(loop.Now() + 150'000);
  daemon->Signal(SIGCONT);
  FakeClient& other_client = NewClient();
  other_client.Launch(1001, "service", 2000);
  RunUntil([&] { return other_client.final_answers.count(1001) > 0; });
  EXPECT_EQ(AttemptsOf(gone.launched), 0u);
  ExpectNoViolations();
}

// The client's close and a node's rejection arrive in the same turn. There must be no retry.
TEST_F(PlatformShutdown, RetriesNothingForAClientThatLeftBeforeTheRejection) {
  Start();
  std::vector<std::pair<FakeNode*, RequestUid>> held;
  for (auto& owned_node : nodes) {
    FakeNode* node = owned_node.get();
    node->reply = [node, &held](const NodeMessage& launch) {
      held.emplace_back(node, launch.uid);
      return std::string();
    };
  }
  FakeClient& client = NewClient();
  for (RequestUid uid = 1; uid <= 20; ++uid) client.Launch(uid, "service", 3000, WriteHex(uid));
  RunUntil([&] { return held.size() == 20; });
  daemon->Halt();
  client.Leave();
  for (const auto& [node, uid] : std::vector<std::pair<FakeNode*, RequestUid>>(held)) {
    node->Send(node->Reject(uid, 34, "no_cores"));
  }
  WaitUntilTime(loop.Now() + 150'000);
  daemon->Signal(SIGCONT);
  FakeClient& other_client = NewClient();
  other_client.CheckHealth();
  RunUntil([&] { return !other_client.health_replies.empty(); });
  other_client.Launch(1001, "service", 2000);
  RunUntil([&] { return held.size() > 20; });
  EXPECT_EQ(held.back().second, 1001u);
  held.back().first->Send(held.back().first->Accept(1001));
  RunUntil([&] { return other_client.final_answers.count(1001) > 0; });
  EXPECT_EQ(AttemptsOf(client.launched), 20u);
  ExpectNoViolations();
}

// The client closes one of its connections in the same turn in which a task ends, shortly before or after the
// end. The notification must be sent on the client's other connection.
TEST_F(PlatformShutdown, NotifiesOnTheOtherConnectionWhenTheFirstClosesInTheSameTurn) {
  Start();
  FakeClient& other = NewClient();
  other.Launch(100, "service", 2000);
  for (RequestUid uid = 1; uid <= 6; ++uid) {
    FakeClient& first = NewClient();
    first.Launch(uid, "service", 2000, WriteHex(uid));
    RunUntil([&] { return first.final_answers.count(uid) > 0 && other.final_answers.count(100) > 0; });
    FakeNode* running_at = nullptr;
    for (auto& node : nodes) {
      if (node->running.count(uid) > 0) running_at = node.get();
    }
    ASSERT_NE(running_at, nullptr);
    other.final_answers[uid] =
        first.final_answers[uid];  // both connections belong to one client, which knows all its answers
    daemon->Halt();
    if (uid % 2 == 0) loop.Close(first.conn, true);
    running_at->EndTask(uid, 16);
    if (uid % 2 != 0) loop.Close(first.conn, true);
    daemon->Signal(SIGCONT);
    RunUntil([&] { return other.notifications.count(uid) > 0; });
  }
  ExpectNoViolations();
}

// ---- Many connections ----

TEST_F(PlatformShutdown, AnswersRequestsThatComeByteByByteOnManyConnections) {
  Start();
  std::vector<FakeClient*> slow;
  std::vector<std::string> lines;
  for (RequestUid uid = 1; uid <= 40; ++uid) {
    slow.push_back(&NewClient());
    lines.push_back(R"({"kind":"launch","uid":")" + WriteHex(uid) +
                    R"(","meta":{"class":"batch","left":"2500","tenant":"acme","key":")" +
                    WriteHex(uid + 99) + R"(","extras":"cores:1;memory:2;service:)" + WriteHex(uid) +
                    R"("},"body":"x"})" + "\n");
  }
  for (std::size_t i = 0; i < lines[0].size(); ++i) {
    for (std::size_t client = 0; client < slow.size(); ++client)
      slow[client]->SendRaw(lines[client].substr(i, 1));
    RunUntil([] { return true; });  // runs one turn of the loop
  }
  RunUntil([&] {
    return std::all_of(slow.begin(), slow.end(),
                       [](const FakeClient* client) { return !client->final_answers.empty(); });
  });
  for (std::size_t i = 0; i < slow.size(); ++i) {
    EXPECT_EQ(slow[i]->final_answers.count(i + 1), 1u);
    EXPECT_FALSE(slow[i]->closed);
  }
}

// Idle clients use all descriptors available to clients while the change log is unreachable. The program must
// be able to connect to the change log again without a restart, and to nodes that have no connection yet.
TEST_F(PlatformShutdown, ServesOthersWhileIdleClientsFillTheirDescriptors) {
  sockets = 64;
  Start();
  const rlimit limit{64, 64};
  ASSERT_EQ(prlimit(daemon->pid(), RLIMIT_NOFILE, &limit, nullptr), 0);
  RunUntil([&] { return !change_log.requested_since.empty(); });
  change_log.SetListening(false);
  std::vector<FakeClient*> idle;
  for (int i = 0; i < 200; ++i) idle.push_back(&NewClient());
  RunUntil([&] {
    return std::count_if(idle.begin(), idle.end(), [](const FakeClient* client) { return client->closed; }) >=
           160;
  });
  const std::size_t requested = change_log.requested_since.size();
  change_log.AddEvent(EntryOf(*nodes[0], "gone"));
  change_log.SetListening(true);
  RunUntil([&] {
    return change_log.requested_since.size() > requested && change_log.requested_since.back() == 2;
  });
  LogNodeListed(*nodes[0], 2);
  FakeClient& other_client = NewClient();
  for (RequestUid uid = 1; uid <= 30; ++uid) other_client.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return other_client.final_answers.size() == 30; });
  std::size_t started = 0;
  for (const auto& [uid, message] : other_client.final_answers)
    started += message.kind == ClientMessageKind::kAnswer;
  EXPECT_EQ(started, 30u);
  EXPECT_TRUE(nodes[0]->launches.empty());
  ExpectNoViolations();
}

// Guards against too many descriptors in use: a closed connection no longer counts towards the connection
// limit, but it held its descriptor for 10 s if its peer did not read.
TEST(EventLoopShutdown, BoundsConnectionsThatFlush) {
  struct Accepting : event_loop::ConnectionHandler {
    void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override {
      conns.push_back(conn);
    }
    std::vector<event_loop::ConnId> conns;
  } accepting;
  struct Peer : event_loop::ConnectionHandler {
    void OnClosed(event_loop::ConnId, const std::string&) override { ++closed; }
    int closed = 0;
  } peer;
  event_loop::EventLoop loop;
  const auto listener = loop.Listen("127.0.0.1:0", &accepting).value_or(0);
  const std::string address = "127.0.0.1:" + std::to_string(loop.PortOf(listener));
  for (int i = 0; i < 5; ++i) loop.PauseReading(loop.Connect(address, &peer), true);
  const auto until = [&loop](const std::function<bool()>& holds) {
    loop.SetAfterTurn([&] {
      if (holds()) loop.Stop();
    });
    loop.AddTimer(loop.Now() + kWaitLimit, [&loop] { loop.Stop(); });
    loop.Run();
    return holds();
  };
  ASSERT_TRUE(until([&] { return accepting.conns.size() == 5; }));
  loop.SetMaxClosing(2);
  for (const event_loop::ConnId conn : accepting.conns) {
    loop.Send(conn, std::string(16 << 20, 'x'));  // more than the kernel buffers
    loop.Close(conn, true);
    loop.Close(conn, true);  // a second call has no effect
  }
  EXPECT_EQ(loop.closing_count(), 2u);
  EXPECT_TRUE(loop.PeerClosed(accepting.conns[0]));
  EXPECT_FALSE(loop.PeerClosed(accepting.conns[4]));
  loop.Close(accepting.conns[4], false);
  EXPECT_EQ(loop.closing_count(), 1u);
}

}  // namespace
}  // namespace mountflow::testing
