// A script in place of the sockets, for tests of platform/ under a controlled clock.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/client_connections.hpp"
#include "platform/platform_config.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {

using namespace platform;

inline constexpr Micros kMilli = 1000;
inline constexpr Micros kSec = 1'000'000;

class FakePort : public Transport {
 public:
  ConnId Connect(const std::string& address) override {
    to[++next] = address;
    return next;
  }
  // While the kernel takes nothing, what is sent stays behind; the next send that it takes takes all along.
  void Send(ConnId conn, std::string_view bytes) override {
    if (digest != nullptr) {
      if (conn != digested) digest->Add(conn);
      digested = conn;
      digest->AddUnframed(bytes);
    }
    sent[conn].append(bytes);
    writes ? static_cast<void>(behind.erase(conn)) : static_cast<void>(behind.insert(conn));
  }
  bool AllWritten(ConnId conn) const override { return behind.count(conn) == 0; }
  bool HungUp(ConnId conn) const override { return hung_up.count(conn) > 0; }
  void Close(ConnId conn, bool) override {
    to.erase(conn);
    closed.push_back(conn);
  }
  void Log(const std::string& line) override { log.push_back(line); }

  // What was sent on a connection and not yet looked at.
  std::string Sent(ConnId conn) { return std::exchange(sent[conn], {}); }
  template <typename Reader, typename Message>
  std::vector<Message> Read(ConnId conn) {
    Reader reader;
    reader.Feed(Sent(conn));
    std::vector<Message> all;
    Message one;
    while (reader.Next(&one) == Reader::State::kMessage) all.push_back(one);
    return all;
  }
  std::vector<NodeMessage> Machine(ConnId conn) { return Read<NodeMessageReader, NodeMessage>(conn); }
  std::vector<ClientMessage> Owner(ConnId conn) { return Read<ClientMessageReader, ClientMessage>(conn); }
  ConnId ConnTo(const std::string& address) const {
    for (const auto& [conn, one] : to) {
      if (one == address) return conn;
    }
    return 0;
  }

  Digest* digest = nullptr;  // of all bytes sent, where it is wanted
  ConnId digested = 0;       // whose bytes came last
  ConnId next = 1000;
  bool writes = true;
  std::set<ConnId> behind;
  std::set<ConnId> hung_up;          // closed by their other end, and nothing was read of that yet
  std::map<ConnId, std::string> to;  // open connections that we asked for
  std::map<ConnId, std::string> sent;
  std::vector<ConnId> closed;
  std::vector<std::string> log;
};

inline std::string MachineBytes(NodeMessageKind kind, RequestUid uid, int cause = -1,
                                std::map<std::uint8_t, std::string> params = {}) {
  NodeMessage message;
  message.kind = kind;
  message.uid = uid;
  if (cause >= 0) message.cause = static_cast<std::uint8_t>(cause);
  message.params = std::move(params);
  return EncodeNodeMessage(message);
}

inline const char* kPlatformConfig = R"({"name":"n0","listen":"127.0.0.1:0","seed":"00000000000007e9",
 "limits":{"cores":0.5,"memory_mb":32,"sockets":256},"changelog":"127.0.0.1:4222",
 "known":{"seq":1,"results":[{"seq":1,"fleet":{"index":1,"snapshot":true,"endpoints":[
  {"name":"m-1","address":"10.0.0.1:1","zone":"left","type":"big","group":0,"status":"ready","weight":1,"since_ms":0,"free":[32,64]},
  {"name":"m-2","address":"10.0.0.2:1","zone":"right","type":"big","group":1,"status":"ready","weight":1,"since_ms":0,"free":[32,64]}]}}]},
 "settings":{"bounds":{"cancel":true,"conn_idle_us":15000000,"connect_timeout_us":250000,"max_attempts":4},
  "discovery":"push","domain":{"ack":"accepted","counts":"asked","kind_cores":[32],"mem_of_kind":[64.0],"lists_free":true,
   "mean_cores":1.5,"usual_memory":2.5,"spread_by":["silent","cell"],"together_max":[0,3],"priority_by_class":[1,0],
   "owner_wait_us":3000000,"report_x0":"cores of the machine, not asked for"},
  "failure_domains":["left","right"],"kinds":["big"],"group_size":2,"self_index":0,
  "orgs":[{"name":"acme","quota_rps":9.0},{"name":"zen","quota_rps":1.0}],
  "profiles":[{"name":"service","effect":"keyed","key_scope":"cell","window_us":5000000,"hard_limit_us":3000000,"aim_us":400000,"worth":3.0},
   {"name":"batch","effect":"safe","hard_limit_us":3200000,"aim_us":1500000,"worth":1.0}],
  "safety":{"answer_slack_us":5000,"drain_grace_us":2000000},"stats":{"names":["x0","x1","pending","cpu_share"]}}})";

// Owners, tasks and links joined as the shell joins them, with the sockets as a script.
struct PlatformRig {
  FakePort port;
  PlatformConfig config = ReadPlatformConfig(kPlatformConfig, nullptr, nullptr);
  NodeConnections links{NodeConnectionOptions{}, &port};
  Dispatcher tasks{config.wire, config.seed, &links, 100 << 10};
  ClientConnections owners{40, &tasks, &port};
  Micros now = 1'800'000'000 * kSec;
  ConnId owner = 1;

  PlatformRig() {
    EXPECT_TRUE(config.ok()) << (config.errors.empty() ? "" : config.errors[0]);
    tasks.Start(now, config.known);
    owners.Accept(now, owner, "10.9.0.1:5");
  }
  static std::string Launch(RequestUid uid, const std::string& task_class = "service", int left = 2000,
                            const std::string& more = "", const std::string& body = "a\\r\\nb") {
    return R"({"kind":"launch","uid":")" + WriteHex(uid) + R"(","meta":{"class":")" + task_class +
           R"(","left":")" + std::to_string(left) + R"(","tenant":"acme","key":")" + WriteHex(uid + 1) +
           R"(","idem":")" + WriteHex(uid) + WriteHex(uid) +
           R"(","extras":"cores:1;memory:2;service:00000000b4d65521)" + more + R"("},"body":")" + body +
           "\"}\n";
  }
  static std::string Stop(RequestUid uid, int cause = 16) {
    return R"({"kind":"stop","uid":")" + WriteHex(uid) + R"(","meta":{},"reason":)" + std::to_string(cause) +
           "}\n";
  }
  void Say(const std::string& bytes, ConnId conn = 1) {
    owners.OnBytes(now, conn, bytes);
    owners.DeliverNotifications(now);
  }
  void Up(ConnId conn) {
    links.OnConnected(now, conn);
    tasks.HandleNodeEvents(now);
  }
  void Machine(ConnId conn, const std::string& bytes) {
    links.OnBytes(now, conn, bytes);
    tasks.HandleNodeEvents(now);
    owners.DeliverNotifications(now);
  }
  void Ended(ConnId conn, bool refused = false) {
    port.to.erase(conn);
    links.OnClosed(now, conn, refused);
    tasks.HandleNodeEvents(now);
    owners.DeliverNotifications(now);
  }
  // To `until`, with every timer on the way.
  void Pass(Micros length) {
    const Micros until = now + length;
    for (;;) {
      const Micros due = std::min({tasks.NextDue(), links.NextDue(), owners.NextDue()});
      if (due > until) break;
      now = std::max(now, due);
      tasks.Tick(now);
      links.Tick(now);
      tasks.HandleNodeEvents(now);
      owners.Tick(now);
      owners.DeliverNotifications(now);
    }
    now = until;
  }
  // A set-up on its way: to which connection, with its message seen there.
  ConnId Placing(RequestUid uid, const std::string& task_class = "service") {
    Say(Launch(uid, task_class));
    for (const auto& [conn, address] : std::map<ConnId, std::string>(port.to)) {
      Up(conn);
      for (const NodeMessage& m : port.Machine(conn)) {
        if (m.kind == NodeMessageKind::kLaunch && m.uid == uid) return conn;
      }
    }
    ADD_FAILURE() << "no machine got the set-up";
    return 0;
  }
  ConnId Standing(RequestUid uid, const std::string& task_class = "service") {
    const ConnId conn = Placing(uid, task_class);
    Machine(conn, MachineBytes(NodeMessageKind::kAnswer, uid, -1, {{kDescription, "yes"}}));
    const auto said = port.Owner(owner);
    EXPECT_EQ(said.size(), 1u);
    EXPECT_TRUE(!said.empty() && said[0].kind == ClientMessageKind::kAnswer && said[0].description == "yes");
    return conn;
  }
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FIXTURE_HPP_
