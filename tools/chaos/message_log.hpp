// The record of a rehearsal: one JSON object a line, written as it happens.
//
// Every line has "t" (microseconds, the runner's clock) and "k":
//   head    the day's facts: classes, rules' figures, nodes
//   open, close   a connection at a tap: "tap" (client, node, report), "who" (daemon or node), "conn"
//   ask, reply    a message seen on the sockets: "tap", "who", "conn", "type" or "code", and what it says
//   list    a node list as a daemon got it: "who", "nodes": {name: [state, started]}
//   client  a client's own log: "event", "job", ...
//   event   what the runner did: node_start, node_kill, daemon_start, daemon_kill, ...
#ifndef MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_HPP_

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::chaos {

using nlohmann::json;

class Recorder {
 public:
  ~Recorder();
  bool Open(const std::string& file, std::string* error);
  void Write(Micros now, const char* kind, json fields);
  std::uint64_t lines() const { return lines_; }
  void Flush();

 private:
  std::FILE* file_ = nullptr;
  std::uint64_t lines_ = 0;
};

// Reads a record; false with the line that is wrong.
bool ReadRecord(const std::string& file, std::vector<json>* lines, std::string* error);

json Describe(const pbs_protocol::Request& request);
json Describe(const pbs_protocol::Reply& reply);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_HPP_
