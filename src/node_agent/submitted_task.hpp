// A task as a daemon submits it over the batch protocol, and the node's messages about it. Only this codec
// contains the names of the attributes that daemon and node exchange.
#ifndef MOUNTFLOW_NODE_AGENT_SUBMITTED_TASK_HPP_
#define MOUNTFLOW_NODE_AGENT_SUBMITTED_TASK_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "node_agent/node_messages.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_agent {

// A submitted task with its attributes.
struct SubmittedTask {
  pbs_protocol::Attributes attributes;
  std::string script;
  std::string queue;
  std::string daemon;  // name of the daemon that submitted it
  std::string user;
  Micros acknowledged_at = 0;  // wall time in microseconds; 0: not acknowledged
};

// States of a task in status replies.
inline constexpr char kTaskRunning[] = "R";
inline constexpr char kTaskExiting[] = "E";  // ended; the report is not acknowledged

// Reads a task from a QueueJob request. Moves the attributes out of the request.
[[nodiscard]] SubmittedTask ReadSubmittedTask(pbs_protocol::Request* request);
// Return the name of the daemon, the address at which it receives reports, and the idempotency key from the
// attributes of a request. Empty if the attribute is missing.
[[nodiscard]] std::string ReadDaemon(const pbs_protocol::Attributes& attributes);
[[nodiscard]] std::string_view ReadReportAddress(const pbs_protocol::Attributes& attributes);
[[nodiscard]] std::string ReadIdempotencyKey(const pbs_protocol::Attributes& attributes);
// Reports whether a request asks for the start of the node's process.
[[nodiscard]] bool RequestsProcessStart(const pbs_protocol::Attributes& attributes);
// Returns the parameters of the task, or nullopt if its requested resources are not numbers. `memory_unit` is
// in bytes.
[[nodiscard]] std::optional<TaskSpec> ReadTaskSpec(const std::string& attempt, const SubmittedTask& task,
                                                   double memory_unit);

// Encodes a task for the node's list of tasks, without the attributes that are internal to daemon and node.
[[nodiscard]] pbs_protocol::StatusObject EncodeTaskStatus(const std::string& attempt,
                                                          const SubmittedTask& task, const char* state);
[[nodiscard]] pbs_protocol::Attribute EncodeLoad(const LoadReport& load);
[[nodiscard]] pbs_protocol::Attribute EncodeStarted(Micros started);
[[nodiscard]] pbs_protocol::Attribute EncodeProcessStarted(Micros started);
// Returns the encoded report of a task that ended at `now`, in microseconds of wall time.
[[nodiscard]] std::string EncodeEndReport(const std::string& node, const TaskEnded& ended,
                                          const SubmittedTask& task, Micros now, const LoadReport& load);

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_SUBMITTED_TASK_HPP_
