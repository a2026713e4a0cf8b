// The message log of a chaos test: one JSON object per line, in the order in which the runner observed the
// messages and events.
//
// Every line has "t" (microseconds, the runner's clock) and "k":
//   head    facts of the scenario: classes, limits, nodes
//   open, close   a connection at a proxy point: "tap" (client, node, report), "who" (daemon or node), "conn"
//   ask, reply    a message seen on the sockets: "tap", "who", "conn", "type" or "code", and its content
//   list    a node list as a daemon received it: "who", "nodes": {name: [state, started]}
//   client  an entry of a client's own log: "event", "job", ...
//   event   an action of the runner: node_start, node_kill, daemon_start, daemon_kill, ...
//
// log_entry.hpp defines the typed form of the entries that the invariant checker reads.
#ifndef MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_HPP_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::chaos {

using nlohmann::json;

struct MessageLogError {
  enum class Code : std::uint8_t { kNotWritable, kNotReadable, kNotAnEntry };
  Code code = Code::kNotReadable;
  std::string file;
  std::size_t line = 0;  // set for kNotAnEntry
};
[[nodiscard]] std::string Describe(const MessageLogError& error);

class MessageLogWriter {
 public:
  MessageLogWriter() = default;
  ~MessageLogWriter();
  MessageLogWriter(const MessageLogWriter&) = delete;
  MessageLogWriter& operator=(const MessageLogWriter&) = delete;

  // Opens the log file. Must be called before the first Write().
  [[nodiscard]] tl::expected<void, MessageLogError> Open(const std::string& file);
  // Writes one line of the given kind. `fields` holds its other fields.
  void Write(Micros now, const char* kind, json fields);
  void Flush();
  [[nodiscard]] std::uint64_t lines() const { return lines_; }

 private:
  std::FILE* file_ = nullptr;
  std::uint64_t lines_ = 0;
};

// Returns the lines of a message log.
[[nodiscard]] tl::expected<std::vector<json>, MessageLogError> ReadMessageLog(const std::string& file);

// Return the fields of a request or reply that the invariants need, for the message log.
[[nodiscard]] json LogFields(const pbs_protocol::Request& request);
[[nodiscard]] json LogFields(const pbs_protocol::Reply& reply);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_HPP_
