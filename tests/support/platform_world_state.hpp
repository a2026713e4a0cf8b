// The state of the simulation in platform_world.hpp: schedulers, nodes, clients' requests, connections, a
// virtual clock and a random number generator; and the check of its message logs.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_WORLD_STATE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_WORLD_STATE_HPP_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/platform_fixture.hpp"
#include "tests/support/platform_invariants.hpp"

namespace mountflow::testing {

// PlatformWorldState holds the state of a simulation. All times are in microseconds.
class PlatformWorldState {
 public:
  // Checks the message logs of all schedulers. Returns one entry for each violation, with the messages about
  // its request.
  std::vector<std::string> CheckInvariantsOfAll() {
    std::vector<std::string> violations;
    const InvariantLimits limits;
    std::map<std::string, std::vector<Micros>> sent_while_warming_up;
    std::map<std::string, Micros> started_at;
    for (const SimulatedNode& node : nodes_) started_at[node.name] = node.started_at;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
      const MessageLog& log = schedulers_[i]->log;
      for (const std::string& violation : CheckInvariants(log, limits)) {
        violations.push_back("scheduler " + std::to_string(i) + ": " + violation + LogOf(log, violation));
      }
      for (const LoggedMessage& message : log) {
        const bool warming_up = started_at[message.node] != 0 &&
                                message.at < started_at[message.node] + limits.slow_start_duration;
        if (message.kind == Kind::kAttempt && warming_up) {
          sent_while_warming_up[message.node].push_back(message.at);
        }
      }
    }
    // Rule 4 also holds for the sum over all schedulers. The tolerance allows for random variation of their
    // shares.
    const auto budget = static_cast<double>(limits.slow_start_budget);
    const double tolerated = budget + 2 * std::sqrt(budget) + 2;
    for (auto& [name, sent] : sent_while_warming_up) {
      std::sort(sent.begin(), sent.end());
      for (std::size_t i = 0, first = 0; i < sent.size(); ++i) {
        while (sent[first] + limits.slow_start_window < sent[i]) ++first;
        if (static_cast<double>(i - first + 1) <= tolerated) continue;
        violations.push_back("rule 4: all together overload " + name);
        break;
      }
      sent_to_warming_up += sent.size();
    }
    return violations;
  }

  std::size_t requested = 0;
  std::size_t started = 0;
  std::size_t restarts = 0;
  std::size_t clients_left = 0;
  std::size_t nodes_replaced = 0;
  std::size_t sent_to_warming_up = 0;
  Digest digest;  // digest of the bytes sent by all schedulers

 protected:
  using Kind = LoggedMessage::Kind;
  // FakeTransport numbers connections to nodes from this id; ids of client connections are smaller.
  static constexpr ConnId kFirstNodeConn = 1000;
  // Causes in messages from nodes.
  static constexpr int kCauseEnded = 16;
  static constexpr int kCauseCancelled = 31;
  static constexpr int kCauseMayHaveRun = 41;

  struct SchedulerProcess {
    std::unique_ptr<FakeTransport> transport;
    PlatformConfig config;
    std::unique_ptr<NodeConnections> node_connections;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<ClientConnections> client_connections;
    unsigned incarnation = 0;
    Micros tick_at = kNever;
    ConnId last_seen_conn = kFirstNodeConn;
    ConnId last_client_conn = 0;
    std::vector<ConnId> client_conns;                 // open client connections
    std::map<ConnId, ClientMessageReader> to_client;  // readers of the clients, by connection
    std::set<std::string> known_nodes;                // names of the nodes
    MessageLog log;
  };
  // An open connection to a node.
  struct NodeConnection {
    unsigned scheduler;
    unsigned incarnation;
    std::size_t node;
    NodeMessageReader reader;
    std::set<RequestUid> unanswered;  // attempts without an answer
    bool received_any = false;
  };
  using ConnKey = std::pair<unsigned, ConnId>;  // scheduler index and connection id
  struct SimulatedNode {
    std::string name;
    std::string address;
    std::string status = "ready";
    unsigned rack = 0;
    Micros started_at = 0;
    Micros silent_until = 0;
    bool alive = true;
  };
  struct ClientRequest {
    unsigned scheduler = 0;
    ConnId conn = 0;
    bool answered = false;
    bool knows_running = false;  // the client was answered that its task is running
    bool runs = false;           // the task is running on `node`
    bool over = false;           // the client has ended the task or was notified; no notification is expected
    std::size_t node = 0;
    ConnId node_conn = 0;  // connection of the accepted attempt
  };

  PlatformWorldState(std::uint64_t seed, unsigned scheduler_count)
      : random_(seed), scheduler_count_(scheduler_count) {}

  Micros Draw(Micros below) { return random_() % std::max<Micros>(1, below); }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  void At(Micros at, std::function<void()> call) { queue_.emplace(at, std::move(call)); }

  // Runs the queued calls that are due before `end`, in the order of their times.
  void RunQueue(Micros end) {
    while (!queue_.empty() && queue_.begin()->first < end) {
      const auto first = queue_.begin();
      now_ = std::max(now_, first->first);
      const auto call = std::move(first->second);
      queue_.erase(first);
      call();
    }
  }

  static ListedNode EntryOf(const SimulatedNode& node) {
    ListedNode entry;
    entry.name = node.name;
    entry.address = node.address;
    entry.zone = "left";
    entry.kind = "big";
    entry.status = node.status;
    entry.rack = node.rack;
    entry.started_at = node.started_at;
    entry.free_cores = 24;
    entry.free_memory = 48;
    return entry;
  }
  LoggedMessage LogEntryOf(const SimulatedNode& node) const {
    LoggedMessage message{now_, Kind::kNodeListed, 0, node.name};
    message.cause = node.status == "ready" ? 0 : node.status == "draining" ? 1 : 2;
    message.rack = node.rack;
    message.started_at = node.started_at;
    return message;
  }
  std::string ConfigurationOf(unsigned index) const {
    std::string text = kPlatformConfig;
    const auto replace = [&text](const std::string& from, const std::string& to) {
      text.replace(text.find(from), from.size(), to);
    };
    replace("\"group_size\":2,\"self_index\":0", "\"group_size\":" + std::to_string(scheduler_count_) +
                                                     ",\"self_index\":" + std::to_string(index));
    replace("\"drain_grace_us\":2000000",
            R"("drain_grace_us":2000000,"cold_us":17000000,"cold_from":0.26,"tip_after_us":3000000,)"
            R"("fall_multiple":2.0)");
    replace("\"owner_wait_us\":3000000", "\"owner_wait_us\":3000000,\"cold_bears\":12.0");
    return text;
  }
  void LogClientLeft(RequestUid uid, ClientRequest& request) {
    request.answered = true;
    schedulers_[request.scheduler]->log.push_back({now_, Kind::kClientLeft, uid});
  }
  void EndAttempts(NodeConnection& connection) {
    for (const RequestUid uid : std::exchange(connection.unanswered, {})) {
      LogAttemptEnd(connection, uid, kCauseMayHaveRun);
    }
  }
  void LogAttemptEnd(const NodeConnection& connection, RequestUid uid, int cause) {
    LoggedMessage message{now_, Kind::kAttemptEnded, uid, attempt_node_[uid]};
    message.cause = cause;
    schedulers_[connection.scheduler]->log.push_back(message);
  }
  // Returns the name of a node as a scheduler knows it. A scheduler that has not read the entry of a new node
  // yet takes it for the previous node at the same address.
  std::string NameKnownTo(unsigned scheduler, std::size_t node_index) const {
    for (std::size_t i = node_index + 1; i-- > 0;) {
      const bool known = schedulers_[scheduler]->known_nodes.count(nodes_[i].name) > 0;
      if (nodes_[i].address == nodes_[node_index].address && known) return nodes_[i].name;
    }
    return nodes_[node_index].name;
  }
  std::size_t ListeningAt(const std::string& address) const {
    for (std::size_t i = nodes_.size(); i-- > 0;) {
      if (nodes_[i].alive && nodes_[i].address == address) return i;
    }
    return nodes_.size();
  }
  void EndTask(RequestUid uid, ClientRequest& request, int cause) {
    request.runs = false;
    LoggedMessage message{now_, Kind::kTaskEnded, uid, nodes_[request.node].name};
    message.cause = request.over ? kCauseCancelled : cause;  // cancelled: no notification is expected
    schedulers_[request.scheduler]->log.push_back(message);
  }

  std::mt19937_64 random_;
  unsigned scheduler_count_;
  Micros now_ = 1'800'000'000 * kSec;
  std::multimap<Micros, std::function<void()>> queue_;
  std::vector<std::unique_ptr<SchedulerProcess>> schedulers_;
  std::vector<SimulatedNode> nodes_;
  std::map<ConnKey, NodeConnection> connections_;
  std::map<RequestUid, ClientRequest> requests_;
  std::map<RequestUid, std::string> attempt_node_;  // node of the latest attempt, as the scheduler names it
  Micros last_listed_at_ = 0;
  RequestUid last_uid_ = 0;
  // Arrival times of the last bytes on a connection, so that bytes are delivered in order.
  std::map<ConnKey, Micros> node_reads_at_;
  std::map<ConnKey, Micros> scheduler_reads_at_;
  // Task ends that a node reports again to a scheduler, by scheduler and node.
  std::map<std::pair<unsigned, std::size_t>, std::set<RequestUid>> ends_to_report_again_;

 private:
  // Returns the messages about the request in a violation, one per line.
  static std::string LogOf(const MessageLog& log, const std::string& violation) {
    static const char* const kNames[] = {"requested",     "cancelled",   "client left", "answered", "attempt",
                                         "attempt ended", "node listed", "task ended",  "notified"};
    RequestUid uid = 0;
    std::string text;
    if (violation.size() < 24 || !ReadHex(violation.substr(8, 16), 16, &uid)) return text;
    for (const LoggedMessage& message : log) {
      if (message.uid != uid) continue;
      text += "\n    " + std::to_string(message.at % (1000 * kSec)) + " " +
              kNames[static_cast<int>(message.kind)] + " " + message.node + " " +
              std::to_string(message.cause) + " " + std::to_string(message.time_left);
    }
    return text;
  }
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_WORLD_STATE_HPP_
