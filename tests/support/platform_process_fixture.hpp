// A test fixture that runs the platform's program on loopback with fake peers. It waits for events and never
// sleeps.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_PROCESS_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_PROCESS_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "tests/support/child_process.hpp"
#include "tests/support/platform_fakes.hpp"

namespace mountflow::testing {

// PlatformProcess runs the program with fake nodes, a fake change log and fake clients.
class PlatformProcess : public ::testing::Test {
 protected:
  static constexpr std::size_t kNodes = 4;

  void SetUp() override {
    char folder[] = "/tmp/mountflow-platform-XXXXXX";
    ASSERT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
    std::string entries;
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<FakeNode>(&loop, "m-" + std::to_string(i),
                                                 static_cast<unsigned>(i / 2), &message_log));
      entries += (i == 0 ? "" : ",") + EntryOf(*nodes[i]);
      LogNodeListed(*nodes[i], 0);
    }
    change_log.AddEvent(entries, true);
  }
  void TearDown() override {
    clients.clear();
    daemon.reset();
    std::filesystem::remove_all(folder_);
  }
  // Logs an entry of the node list. `started_at` is the start time of a node that is warming up, otherwise 0.
  void LogNodeListed(const FakeNode& node, int state, Micros started_at = 0) {
    LoggedMessage message{loop.Now(), LoggedMessage::Kind::kNodeListed, 0, node.name};
    message.cause = state;
    message.rack = node.rack;
    message.started_at = started_at;
    message_log.push_back(message);
  }
  // Returns a node's entry in the node list as JSON. `started_at_ms` is in Unix milliseconds, or 0 for a node
  // that has been running for a long time.
  std::string EntryOf(const FakeNode& node, const char* status = "ready",
                      std::uint64_t started_at_ms = 0) const {
    return R"({"name":")" + node.name + R"(","address":")" + node.address +
           R"(","zone":"left","type":"big","group":)" + std::to_string(node.rack) + R"(,"status":")" +
           status + R"(","weight":1,"since_ms":)" + std::to_string(started_at_ms) + R"(,"free":[)" +
           std::to_string(cores) + "," + std::to_string(2 * cores) + "]}";
  }
  void Configure(const std::string& change_log_address) {
    std::ofstream(folder_ + "/config.json.new") << Configuration(change_log_address);
    std::filesystem::rename(folder_ + "/config.json.new", folder_ + "/config.json");
  }
  std::string Configuration(const std::string& change_log_address) const {
    std::string text = kConfig;
    const std::pair<const char*, std::string> parts[] = {
        {"KNOWN", change_log.AllEvents()},     {"LOG", change_log_address},
        {"MEMORY", std::to_string(memory_mb)}, {"SOCKETS", std::to_string(sockets)},
        {"CORES", std::to_string(cores)},      {"ROOM", std::to_string(2 * cores)}};
    for (const auto& [name, value] : parts) text.replace(text.find(name), std::strlen(name), value);
    return text;
  }
  // Starts the program with the current configuration file.
  void Spawn() {
    listen = "127.0.0.1:" + std::to_string(ChooseFreePort());
    daemon = std::make_unique<Process>(
        std::vector<std::string>{"mountflowd", "--platform"},
        std::map<std::string, std::string>{
            {"LB_NAME", "n0"}, {"LB_LISTEN", listen}, {"LB_CONFIG", folder_ + "/config.json"}});
  }
  // Returns a port that is currently free. The port is below the range of ephemeral ports, because an
  // ephemeral port could be assigned to another connection before the program listens on it.
  int ChooseFreePort() {
    constexpr int kFirst = 10'240, kCount = 20'000;
    static int next = getpid() * 37;
    for (;;) {
      const int port = kFirst + next++ % kCount;
      const auto probe = loop.Listen("127.0.0.1:" + std::to_string(port), &nobody);
      if (!probe) continue;
      loop.CloseListener(*probe);
      return port;
    }
  }
  void Start() {
    Configure(change_log.address);
    Spawn();
    WaitUntilReady();
  }
  void WaitUntilReady() {
    RunUntil([&] {
      if (clients.empty() || clients[0]->closed) {
        clients.clear();
        NewClient().CheckHealth();
      }
      return !clients[0]->health_replies.empty() || daemon->HasEnded();
    });
    ASSERT_FALSE(clients[0]->health_replies.empty())
        << "ended before it was ready, status " << daemon->Wait();
    ASSERT_EQ(clients[0]->health_replies[0], 1);
  }
  FakeClient& NewClient() {
    clients.push_back(std::make_unique<FakeClient>(&loop, listen, &message_log));
    return *clients.back();
  }
  // Runs the loop until `holds` returns true. Fails the test after kWaitLimit.
  void RunUntil(const std::function<bool()>& holds) {
    bool held = false;
    bool late = false;
    const auto limit = loop.AddTimer(loop.Now() + kWaitLimit, [&] {
      late = true;
      loop.Stop();
    });
    loop.SetAfterTurn([&] {
      if (!held && holds()) {
        held = true;
        loop.Stop();
      }
    });
    loop.Run();
    loop.CancelTimer(limit);
    loop.SetAfterTurn({});
    ASSERT_FALSE(late) << "the condition was not met in time";
  }
  void ExpectNoViolations() {
    for (const std::string& violation : CheckInvariants(message_log)) ADD_FAILURE() << violation;
  }

  static constexpr const char* kConfig = R"({"name":"x","listen":"127.0.0.1:1","seed":"00000000000007e9",
 "limits":{"cores":0.5,"memory_mb":MEMORY,"sockets":SOCKETS},"changelog":"LOG","known":KNOWN,
 "settings":{"bounds":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":250000,"max_attempts":4},
  "discovery":"push","domain":{"ack":"accepted","counts":"asked","kind_cores":[CORES],"mem_of_kind":[ROOM],"lists_free":true,
   "mean_cores":1.5,"usual_memory":2.5,"spread_by":["silent","cell"],"together_max":[0,3],"priority_by_class":[1,0],
   "owner_wait_us":3000000,"cold_bears":12.0},
  "failure_domains":["left"],"kinds":["big"],"group_size":1,"self_index":0,"orgs":[{"name":"acme"}],
  "profiles":[{"name":"service","effect":"keyed","key_scope":"cell","window_us":5000000,"hard_limit_us":3000000,"aim_us":400000,"worth":3.0},
   {"name":"batch","effect":"safe","hard_limit_us":3200000,"aim_us":1500000,"worth":1.0}],
  "safety":{"answer_slack_us":5000,"drain_grace_us":2000000,"cold_us":17000000,"cold_from":0.26,"tip_after_us":3000000,
   "fall_multiple":2.0},"stats":{"names":["x0","x1","pending","cpu_share"]}}})";

  int memory_mb = 32;
  int sockets = 256;
  int cores = 32;
  event_loop::EventLoop loop;
  event_loop::ConnectionHandler nobody;
  MessageLog message_log;
  FakeChangeLog change_log{&loop};
  std::vector<std::unique_ptr<FakeNode>> nodes;
  std::vector<std::unique_ptr<FakeClient>> clients;
  std::unique_ptr<Process> daemon;
  std::string listen;
  std::string folder_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_PROCESS_FIXTURE_HPP_
