// Typed entries of a message log. message_log.hpp describes the JSON form; only the decoder contains JSON
// keys.
#ifndef MOUNTFLOW_TOOLS_CHAOS_LOG_ENTRY_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_LOG_ENTRY_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::chaos {

// The position of a recording proxy in the cluster.
enum class ProxyPoint : std::uint8_t {
  kClient,    // between clients and a daemon
  kNode,      // between daemons and a node
  kReport,    // between nodes and the report port of a daemon
  kNodeList,  // between a daemon and the registry; logged as node lists, not as messages
};
// Returns the name of the proxy point in the message log.
[[nodiscard]] const char* NameOf(ProxyPoint point);

struct ConnectionId {
  ProxyPoint point = ProxyPoint::kClient;
  std::string peer;  // daemon or node that accepted the connection
  std::uint64_t number = 0;
  auto operator<=>(const ConnectionId&) const = default;
};
// Returns the text form used in reports, for example "client/d0/1".
[[nodiscard]] std::string Describe(const ConnectionId& connection);

// The effect of running a task twice.
enum class Effect : std::uint8_t { kIdempotent, kIdempotentWithKey, kNotIdempotent, kUnknown };
// The set of nodes that share their record of idempotency keys.
enum class DeduplicationScope : std::uint8_t { kAllNodes, kZone, kRack, kNone };
// The failure domain over which the tasks of a service are spread.
enum class SpreadDomain : std::uint8_t { kNone, kZone, kRack, kNode };

struct TaskClass {
  Effect effect = Effect::kNotIdempotent;
  DeduplicationScope scope = DeduplicationScope::kRack;
  SpreadDomain spread = SpreadDomain::kNone;
  Micros deduplication_window = 0;
  Micros hard_limit = 0;
  int max_per_domain = 0;  // 0: no limit
};

struct NodePlace {
  std::string rack;
  std::string zone;
};

// The first entry of a log: the facts of the scenario that the invariants need.
struct HeadEntry {
  std::map<std::string, TaskClass> classes;  // by queue
  std::map<std::string, NodePlace> nodes;
  Micros allowance = 0;  // tolerance for delays on a busy test host
  Micros answer_slack = 0;
  Micros drain_grace = 0;
  Micros warm_up_time = 1;
  double initial_capacity = 1.0;  // share of its full capacity that a node has at its start
  double overload_multiple = 1.0;
  Micros overload_window = 1;
  double min_slow_start_budget = 0.0;
  double starts_per_second = 1.0;
};

struct RequestEntry {
  ConnectionId connection;
  pbs_protocol::RequestType type = pbs_protocol::RequestType::kConnect;
  std::string id;  // job id or attempt id
  std::string queue;
  std::string extension;
  std::map<std::string, std::string> attributes;
  std::optional<Micros> client_deadline;

  // Returns the value of the attribute, or an empty string if there is none.
  [[nodiscard]] std::string Attribute(const std::string& name) const;
  // Reports whether this is a client's request that stays open until the job has its final answer.
  [[nodiscard]] bool WaitsForAnswer() const;
};

struct StatusObjectEntry {
  pbs_protocol::ObjectType type = pbs_protocol::ObjectType::kJob;
  std::string name;
  std::string answer;
  std::optional<Micros> started;  // start time, for a server object
};

struct ReplyEntry {
  ConnectionId connection;
  pbs_protocol::Code code = pbs_protocol::Code::kNone;
  std::string text;
  std::vector<StatusObjectEntry> objects;
};

struct CloseEntry {
  ConnectionId connection;
};

struct ListedNodeEntry {
  bool ready = false;
  Micros started = 0;
};

// A node list as a daemon received it.
struct NodeListEntry {
  std::string daemon;
  std::map<std::string, ListedNodeEntry> nodes;
};

enum class EventKind : std::uint8_t {
  kNodeStart,
  kNodeKill,
  kDaemonStart,
  kDaemonKill,
  kDaemonStall,
  kDaemonContinue,
  kEnd,
  kOther,
};

// An action of the runner.
struct EventEntry {
  EventKind kind = EventKind::kOther;
  std::string name;  // node or daemon
};

enum class ClientEventKind : std::uint8_t { kAnswer, kGaveUp, kOther };

// An observation that a client logged.
struct ClientEntry {
  ClientEventKind kind = ClientEventKind::kOther;
  std::string job;
  std::string answer;
};

// One decoded line. The content is std::monostate if no invariant needs the entry.
struct LogEntry {
  Micros time = 0;
  std::variant<std::monostate, HeadEntry, RequestEntry, ReplyEntry, CloseEntry, NodeListEntry, EventEntry,
               ClientEntry>
      content;
};

struct LogEntryError {
  enum class Code : std::uint8_t { kMalformed, kUnknownProxyPoint, kNotANumber };
  Code code = Code::kMalformed;
  std::string detail;  // message of the JSON library, or the invalid value
};
[[nodiscard]] std::string Describe(const LogEntryError& error);

[[nodiscard]] tl::expected<LogEntry, LogEntryError> DecodeLogEntry(const nlohmann::json& line);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_LOG_ENTRY_HPP_
