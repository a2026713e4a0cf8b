// Complete runs of the platform's program on loopback, checked against the invariants of
// platform_invariants.hpp.
#include "tests/support/platform_process_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST_F(PlatformProcess, AnswersEveryRequestWithoutFaults) {
  Start();
  FakeClient& client = NewClient();
  for (RequestUid uid = 1; uid <= 200; ++uid) client.Launch(uid, uid % 20 == 0 ? "batch" : "service", 2000);
  RunUntil([&] { return client.final_answers.size() == 200; });
  std::size_t started = 0;
  for (const auto& node : nodes) {
    for (const RequestUid uid : node->running) {
      ++started;
      EXPECT_EQ(client.final_answers[uid].description,
                "accepted by " + node->name);  // the node's description is passed on unchanged
    }
    for (const NodeMessage& launch : node->launches)
      EXPECT_EQ(launch.Text(kDescription), "requested by " + WriteHex(launch.uid));
  }
  EXPECT_GT(started, 60u);
  // One task is ended by its node, another one by its client.
  FakeNode& first = *nodes[0];
  const RequestUid ended = *first.running.begin();
  first.EndTask(ended, 16);
  RunUntil([&] { return client.notifications.count(ended) > 0; });
  EXPECT_EQ(client.notifications[ended].size(), 1u);
  const RequestUid stopped = *first.running.begin();
  client.Stop(stopped);
  RunUntil([&] { return first.running.count(stopped) == 0; });
  ExpectNoViolations();
}

// Nodes send malformed answers, reject attempts, reset connections or do not respond. Every client must get
// one answer, the invariants must hold, and other requests must not be delayed.
TEST_F(PlatformProcess, AnswersEveryRequestUnderFaults) {
  Start();
  unsigned launch_count = 0;
  for (auto& owned_node : nodes) {
    FakeNode* node = owned_node.get();
    node->reply = [node, &launch_count](const NodeMessage& launch) -> std::string {
      switch (++launch_count % 60) {
        case 0:
          return "reset";
        case 3:
          return node->Reject(launch.uid, 34, "no_cores");
        case 5:
          node->Reject(launch.uid, 41);  // logged as one that may have run; the bytes sent are malformed
          return "\x01\x02 noise";
        case 7:
          node->Reject(launch.uid, 41);
          return node->Accept(launch.uid).substr(0, 12);  // an incomplete message
        case 9: {
          const std::string answer = node->Accept(launch.uid);
          return answer + answer;
        }
        case 10:
          return node->Reject(launch.uid, 47);
        default:
          return node->Accept(launch.uid);
      }
    };
    node->connections_to_reset = 1;
  }
  FakeClient& client = NewClient();
  for (RequestUid uid = 1; uid <= 300; ++uid) {
    client.Launch(uid, uid % 10 == 0 ? "batch" : "service", 2500, WriteHex(uid % 7));
    if (uid % 5 != 0) continue;
    RunUntil([&] { return client.final_answers.size() == uid; });
    for (auto& node : nodes) {
      for (const RequestUid running_uid : std::set<RequestUid>(node->running)) node->EndTask(running_uid, 16);
    }
  }
  RunUntil([&] { return client.final_answers.size() == 300; });
  EXPECT_FALSE(client.closed);
  std::size_t started = 0;
  for (const auto& [uid, message] : client.final_answers)
    started += message.kind == ClientMessageKind::kAnswer;
  EXPECT_GT(started, 50u);
  ExpectNoViolations();
}

TEST_F(PlatformProcess, NotifiesOfADeadNodeAndSendsNothingToADrainingOne) {
  Start();
  FakeClient& client = NewClient();
  for (RequestUid uid = 1; uid <= 40; ++uid) client.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return client.final_answers.size() == 40; });
  const std::set<RequestUid> lost = nodes[1]->running;
  for (const RequestUid uid : lost)
    message_log.push_back({loop.Now(), LoggedMessage::Kind::kTaskEnded, uid, "m-1"});
  nodes[1]->Kill();
  RunUntil([&] {
    for (const RequestUid uid : lost) {
      if (client.notifications.count(uid) == 0) return false;
    }
    return true;
  });
  change_log.AddEvent(EntryOf(*nodes[2], "draining"));
  LogNodeListed(*nodes[2], 1);
  RunUntil([&] { return !change_log.requested_since.empty() && change_log.requested_since.back() == 2; });
  const std::size_t launches_before = nodes[2]->launches.size();
  for (RequestUid uid = 101; uid <= 160; ++uid) client.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return client.final_answers.size() == 100; });
  EXPECT_EQ(nodes[2]->launches.size(), launches_before);
  ExpectNoViolations();
}

TEST_F(PlatformProcess, RejectsMalformedClientsWithoutDelayingOthers) {
  Start();
  FakeClient& well_behaved = NewClient();
  std::vector<FakeClient*> closed;
  std::vector<FakeClient*> rejected;
  const std::vector<std::string> unreadable = {"GET / HTTP/1.1\r\n\r\n", "{\"kind\":\"launch\"}\n",
                                               std::string(60 << 20, 'x'), "{\"kind\":\"lau",
                                               std::string(3, '\0') + "\n"};
  for (const std::string& bytes : unreadable) {
    closed.push_back(&NewClient());
    closed.back()->SendRaw(bytes);
  }
  for (int i = 0; i < 120; ++i) closed.push_back(&NewClient());  // clients that send nothing
  for (const char* task_class : {"x", "", "service\xff"}) {
    if (std::string(task_class).size() > 7) continue;
    rejected.push_back(&NewClient());
    rejected.back()->SendRaw("{\"kind\":\"launch\",\"uid\":\"00000000000000aa\",\"meta\":{\"class\":\"" +
                             std::string(task_class) + "\",\"left\":\"1\"},\"body\":\"\"}\n");
  }
  for (RequestUid uid = 1; uid <= 100; ++uid) well_behaved.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return well_behaved.final_answers.size() == 100; });
  const Micros began_at = loop.Now();
  RunUntil([&] {
    for (const FakeClient* malformed : closed) {
      if (!malformed->closed) return false;
    }
    for (const FakeClient* malformed : rejected) {
      if (malformed->final_answers.empty()) return false;
    }
    return true;
  });
  EXPECT_LT(loop.Now() - began_at, 6'000'000u);
  for (FakeClient* malformed : rejected)
    EXPECT_NE(malformed->final_answers.begin()->second.kind, ClientMessageKind::kAnswer);
  std::erase_if(message_log, [](const LoggedMessage& message) { return message.uid == 0xaa; });
  ExpectNoViolations();
}

TEST_F(PlatformProcess, FollowsANewConfigurationAndIgnoresABadOne) {
  Start();
  FakeChangeLog other(&loop);
  other.first_number = 2;
  RunUntil([&] { return !change_log.requested_since.empty(); });
  std::ofstream(folder_ + "/config.json") << "{";
  daemon->Signal(SIGHUP);
  change_log.replies_to_cut = 1;  // the old change log truncates its next reply
  const std::size_t requested = change_log.requested_since.size();
  change_log.AddEvent(EntryOf(*nodes[0]));
  RunUntil([&] {
    return change_log.requested_since.size() > requested && change_log.requested_since.back() == 2;
  });
  Configure(other.address);
  other.first_number = 3;
  daemon->Signal(SIGHUP);
  RunUntil([&] { return !other.requested_since.empty(); });
  EXPECT_EQ(other.requested_since[0], 2u);  // resumes after the last number
  other.AddEvent(EntryOf(*nodes[0], "gone"));
  LogNodeListed(*nodes[0], 2);
  RunUntil([&] { return other.requested_since.back() == 3; });
  FakeClient& client = NewClient();
  for (RequestUid uid = 1; uid <= 50; ++uid) client.Launch(uid, "service", 2000, WriteHex(uid));
  RunUntil([&] { return client.final_answers.size() == 50; });
  EXPECT_TRUE(nodes[0]->launches.empty());
  ExpectNoViolations();
}

TEST_F(PlatformProcess, AnswersEverythingDuringShutdownAndExitsWithZero) {
  Start();
  FakeClient& client = NewClient();
  std::vector<std::pair<FakeNode*, NodeMessage>> held;
  for (auto& owned_node : nodes) {
    FakeNode* node = owned_node.get();
    node->reply = [node, &held](const NodeMessage& launch) {
      held.emplace_back(node, launch);
      return std::string();
    };
  }
  for (RequestUid uid = 1; uid <= 20; ++uid) client.Launch(uid, "service", 2500, WriteHex(uid));
  RunUntil([&] { return held.size() == 20; });
  daemon->Signal(SIGTERM);
  daemon->Signal(SIGTERM);  // a second signal has no effect
  FakeClient& late = NewClient();
  late.CheckHealth();
  RunUntil([&] { return !late.health_replies.empty(); });
  EXPECT_EQ(late.health_replies[0], 0);
  late.Launch(101, "service", 2500, WriteHex(101));
  RunUntil([&] { return held.size() == 21; });
  for (auto& [node, launch] : held) node->Send(node->Accept(launch.uid));
  RunUntil([&] { return client.final_answers.size() == 20 && late.final_answers.size() == 1; });
  for (const auto& [uid, message] : client.final_answers) EXPECT_EQ(message.kind, ClientMessageKind::kAnswer);
  EXPECT_EQ(daemon->Wait(), 0);
  ExpectNoViolations();
}

TEST(PlatformStart, RejectsAnIncompleteConfiguration) {
  const std::string file = ::testing::TempDir() + "/platform-bad.json";
  std::ofstream(file) << "{\"name\":\"n0\"}";
  EXPECT_EQ(RunCommand({"mountflowd", "--platform"}, {{"LB_CONFIG", file}}).status, 1);
  EXPECT_EQ(RunCommand({"mountflowd", "--platform"}, {{"LB_CONFIG", file + ".none"}}).status, 1);
}

}  // namespace
}  // namespace mountflow::testing
