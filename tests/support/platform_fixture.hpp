// A fixture that connects the components of the platform program, with a controlled clock and a fake
// transport instead of sockets.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "logging/event_table.hpp"
#include "platform/client_connections.hpp"
#include "platform/platform_config.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {

using namespace platform;

inline constexpr Micros kMilli = 1000;
inline constexpr Micros kSec = 1'000'000;
inline constexpr RequestUid kUid = 0x9b1f03aa5c7e2d41u;  // the uid of the main request of a test

// Records sent bytes and opened connections. Tests set how the kernel and the peers behave.
class FakeTransport : public Transport {
 public:
  ConnId Connect(const std::string& address) override {
    outgoing[++last_conn] = address;
    return last_conn;
  }
  // While the kernel accepts nothing, sent bytes stay unwritten. The next send that it accepts also writes
  // the earlier bytes of the connection.
  void Send(ConnId conn, std::string_view bytes) override {
    if (digest != nullptr) {
      if (conn != last_digested) digest->Add(conn);
      last_digested = conn;
      digest->AddUnframed(bytes);
    }
    sent[conn].append(bytes);
    if (kernel_accepts) {
      unwritten.erase(conn);
    } else {
      unwritten.insert(conn);
    }
  }
  bool AllWritten(ConnId conn) const override { return unwritten.count(conn) == 0; }
  bool HungUp(ConnId conn) const override { return hung_up.count(conn) > 0; }
  void Close(ConnId conn, bool) override {
    outgoing.erase(conn);
    closed.push_back(conn);
  }
  void Log(const logging::LogRecord& record) override {
    for (const logging::LogField& field : record.fields) {
      EXPECT_TRUE(logging::HasField(record.event, field.name)) << Name(record.event) << ": " << field.name;
    }
    log.push_back(logging::FormatKeyValue(record));
  }

  // Return the bytes or messages that were sent on a connection since the last of these calls for it.
  std::string Sent(ConnId conn) { return std::exchange(sent[conn], {}); }
  std::vector<NodeMessage> SentToNode(ConnId conn) { return ReadSent<NodeMessageReader, NodeMessage>(conn); }
  std::vector<ClientMessage> SentToClient(ConnId conn) {
    return ReadSent<ClientMessageReader, ClientMessage>(conn);
  }
  // Returns the open connection to an address; 0: there is none.
  ConnId ConnTo(const std::string& address) const {
    for (const auto& [conn, connected_address] : outgoing) {
      if (connected_address == address) return conn;
    }
    return 0;
  }

  Digest* digest = nullptr;  // of all sent bytes; null: none is computed
  ConnId last_digested = 0;  // the connection of the last bytes in the digest
  ConnId last_conn = 1000;
  bool kernel_accepts = true;
  std::set<ConnId> unwritten;
  std::set<ConnId> hung_up;                // closed by the peer; the close was not read yet
  std::map<ConnId, std::string> outgoing;  // open connections to nodes, with their addresses
  std::map<ConnId, std::string> sent;
  std::vector<ConnId> closed;
  std::vector<std::string> log;

 private:
  template <typename Reader, typename Message>
  std::vector<Message> ReadSent(ConnId conn) {
    Reader reader;
    reader.Feed(Sent(conn));
    std::vector<Message> messages;
    Message message;
    while (reader.Next(&message) == Reader::State::kMessage) messages.push_back(message);
    return messages;
  }
};

// Encodes a message of a node. A negative `cause` means no cause.
inline std::string NodeMessageBytes(NodeMessageKind kind, RequestUid uid, int cause = -1,
                                    std::map<std::uint8_t, std::string> params = {}) {
  NodeMessage message;
  message.kind = kind;
  message.uid = uid;
  if (cause >= 0) message.cause = static_cast<std::uint8_t>(cause);
  message.params = std::move(params);
  return EncodeNodeMessage(message);
}

// Encodes the message by which a node reports that the task of an attempt runs.
inline std::string StartedBytes(RequestUid uid) {
  return NodeMessageBytes(NodeMessageKind::kAnswer, uid, -1, {{kDescription, "yes"}});
}
// Encodes the message by which a node reports that an attempt or a running task ended.
inline std::string EndedBytes(RequestUid uid, int cause, std::map<std::uint8_t, std::string> params = {}) {
  return NodeMessageBytes(NodeMessageKind::kStop, uid, cause, std::move(params));
}

// Returns the node list entry of a ready node in the zone `left`.
inline ListedNode Listed(const std::string& name, const std::string& address, unsigned rack = 0) {
  ListedNode node;
  node.name = name;
  node.address = address;
  node.zone = "left";
  node.kind = "big";
  node.status = "ready";
  node.rack = rack;
  node.free_cores = 32;
  node.free_memory = 64;
  return node;
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

// Returns a launch message of a client. `time_left` is in milliseconds, `more` is appended to the extras, and
// `body` is JSON text.
inline std::string LaunchLine(RequestUid uid, const std::string& task_class = "service", int time_left = 2000,
                              const std::string& more = "", const std::string& body = "a\\r\\nb") {
  return R"({"kind":"launch","uid":")" + WriteHex(uid) + R"(","meta":{"class":")" + task_class +
         R"(","left":")" + std::to_string(time_left) + R"(","tenant":"acme","key":")" + WriteHex(uid + 1) +
         R"(","idem":")" + WriteHex(uid) + WriteHex(uid) +
         R"(","extras":"cores:1;memory:2;service:00000000b4d65521)" + more + R"("},"body":")" + body +
         "\"}\n";
}
// Returns a stop message of a client.
inline std::string StopLine(RequestUid uid, int cause = 16) {
  return R"({"kind":"stop","uid":")" + WriteHex(uid) + R"(","meta":{},"reason":)" + std::to_string(cause) +
         "}\n";
}

// The components of the platform program, connected as in the program. Connection 1 belongs to a client.
struct PlatformFixture {
  FakeTransport transport;
  PlatformConfig config;
  NodeConnections node_connections{NodeConnectionOptions{}, &transport};
  Dispatcher dispatcher{config.wire, config.seed, &node_connections, 100 << 10};
  ClientConnections client_connections{40, &dispatcher, &transport};
  Micros now = 1'800'000'000 * kSec;
  ConnId client = 1;

  explicit PlatformFixture(const std::string& config_text = kPlatformConfig)
      : config(ReadPlatformConfig(config_text, nullptr, nullptr)) {
    EXPECT_TRUE(config.ok()) << (config.errors.empty() ? "" : Describe(config.errors[0]));
    dispatcher.Start(now, config.known);
    client_connections.Accept(now, client, "10.9.0.1:5");
  }
  void ClientSends(const std::string& bytes, ConnId conn = 1) {
    client_connections.OnBytes(now, conn, bytes);
    client_connections.DeliverNotifications(now);
  }
  void Establish(ConnId conn) {
    node_connections.OnConnected(now, conn);
    dispatcher.HandleNodeEvents(now);
  }
  void NodeSends(ConnId conn, const std::string& bytes) {
    node_connections.OnBytes(now, conn, bytes);
    dispatcher.HandleNodeEvents(now);
    client_connections.DeliverNotifications(now);
  }
  void EndNodeConnection(ConnId conn, bool refused = false) {
    transport.outgoing.erase(conn);
    node_connections.OnClosed(now, conn, refused);
    dispatcher.HandleNodeEvents(now);
    client_connections.DeliverNotifications(now);
  }
  // Advances the clock by `length` microseconds and handles each timer at its time.
  void AdvanceTime(Micros length) {
    const Micros until = now + length;
    for (;;) {
      const Micros due =
          std::min({dispatcher.NextDue(), node_connections.NextDue(), client_connections.NextDue()});
      if (due > until) break;
      now = std::max(now, due);
      dispatcher.Tick(now);
      node_connections.Tick(now);
      dispatcher.HandleNodeEvents(now);
      client_connections.Tick(now);
      client_connections.DeliverNotifications(now);
    }
    now = until;
  }
  // Launches a request. Returns the node connection on which its attempt was sent, and consumes the sent
  // launch message.
  ConnId LaunchAttempt(RequestUid uid, const std::string& task_class = "service") {
    ClientSends(LaunchLine(uid, task_class));
    for (const auto& [conn, address] : std::map<ConnId, std::string>(transport.outgoing)) {
      Establish(conn);
      for (const NodeMessage& message : transport.SentToNode(conn)) {
        if (message.kind == NodeMessageKind::kLaunch && message.uid == uid) return conn;
      }
    }
    ADD_FAILURE() << "no node got the attempt";
    return 0;
  }
  // Launches a request whose node starts the task, and consumes the answer to the client. Returns the
  // connection of the node.
  ConnId StartTask(RequestUid uid, const std::string& task_class = "service") {
    const ConnId conn = LaunchAttempt(uid, task_class);
    NodeSends(conn, StartedBytes(uid));
    const std::vector<ClientMessage> answers = transport.SentToClient(client);
    EXPECT_EQ(answers.size(), 1u);
    EXPECT_TRUE(!answers.empty() && answers[0].kind == ClientMessageKind::kAnswer &&
                answers[0].description == "yes");
    return conn;
  }
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FIXTURE_HPP_
