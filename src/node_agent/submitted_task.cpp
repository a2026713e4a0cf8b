#include "node_agent/submitted_task.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "pbs_server/attribute_values.hpp"

namespace mountflow::node_agent {
namespace {

// Names of attributes on the wire.
constexpr char kDaemon[] = "server";
constexpr char kReportTo[] = "report_to";
constexpr char kCommitDeadline[] = "until";
constexpr char kPriority[] = "class_priority";
constexpr char kDuration[] = "life";
constexpr char kService[] = "service";
constexpr char kKey[] = "key";
constexpr char kProcessStarted[] = "process_started";
constexpr char kOwner[] = "Job_Owner";
constexpr char kResources[] = "Resource_List";
constexpr char kLoad[] = "load";
constexpr std::array kInternalAttributes = {std::string_view(kCommitDeadline), std::string_view(kReportTo),
                                            std::string_view(kDaemon), std::string_view(kPriority)};

const char* NameOf(TaskEnd end) {
  switch (end) {
    case TaskEnd::kExited:
      return "exited";
    case TaskEnd::kKilled:
      return "killed";
    case TaskEnd::kEvicted:
      return "evicted";
    case TaskEnd::kPreempted:
      return "pushed_out";
    case TaskEnd::kDrained:
      return "sent_away";
  }
  return "lost";
}

pbs_protocol::Attribute Set(std::string name, std::string value) {
  return {std::move(name), "", std::move(value), pbs_protocol::Op::kSet};
}

bool IsInternal(const pbs_protocol::Attribute& attribute) {
  return std::find(kInternalAttributes.begin(), kInternalAttributes.end(), attribute.name) !=
         kInternalAttributes.end();
}

// Reads the requested resources into `spec`. Returns false if one of them is not a valid number.
bool ReadResources(const pbs_protocol::Attributes& attributes, double memory_unit, TaskSpec* spec) {
  const auto cores = pbs_server::ParseNumber(pbs_protocol::ValueOf(attributes, kResources, "ncpus"));
  const auto bytes = pbs_server::ParseSize(pbs_protocol::ValueOf(attributes, kResources, "mem"));
  const std::string_view walltime_text = pbs_protocol::ValueOf(attributes, kResources, "walltime");
  if (!cores || *cores < 0.0 || !bytes) return false;
  spec->cores = *cores;
  spec->memory = *bytes / memory_unit;
  if (walltime_text.empty()) return true;
  const auto walltime = pbs_server::ParseDuration(walltime_text);
  if (walltime) spec->walltime = *walltime;
  return walltime.has_value();
}

}  // namespace

SubmittedTask ReadSubmittedTask(pbs_protocol::Request* request) {
  SubmittedTask task;
  task.attributes = std::move(request->attributes);
  task.queue = request->destination;
  task.daemon = ReadDaemon(task.attributes);
  task.user = pbs_protocol::ValueOf(task.attributes, kOwner);
  return task;
}

std::string ReadDaemon(const pbs_protocol::Attributes& attributes) {
  return std::string(pbs_protocol::ValueOf(attributes, kDaemon));
}

std::string_view ReadReportAddress(const pbs_protocol::Attributes& attributes) {
  return pbs_protocol::ValueOf(attributes, kReportTo);
}

bool RequestsProcessStart(const pbs_protocol::Attributes& attributes) {
  return std::any_of(attributes.begin(), attributes.end(), [](const pbs_protocol::Attribute& attribute) {
    return attribute.name == kProcessStarted;
  });
}

std::string ReadIdempotencyKey(const pbs_protocol::Attributes& attributes) {
  return std::string(pbs_protocol::ValueOf(attributes, kKey));
}

std::optional<TaskSpec> ReadTaskSpec(const std::string& attempt, const SubmittedTask& task,
                                     double memory_unit) {
  const pbs_protocol::Attributes& attributes = task.attributes;
  TaskSpec spec;
  spec.attempt = attempt;
  spec.service = pbs_protocol::ValueOf(attributes, kService);
  spec.idempotency_key = ReadIdempotencyKey(attributes);
  if (!spec.idempotency_key.empty()) {
    spec.idempotency_key = pbs_server::FormatUserKey(task.user, spec.idempotency_key);
  }
  if (!ReadResources(attributes, memory_unit, &spec)) return std::nullopt;
  const auto deadline = pbs_server::ParseCount(pbs_protocol::ValueOf(attributes, kCommitDeadline));
  if (deadline) spec.commit_deadline = *deadline;
  const auto priority = pbs_server::ParseNumber(pbs_protocol::ValueOf(attributes, kPriority));
  if (priority) spec.priority = static_cast<int>(*priority);
  spec.duration = pbs_server::ParseDuration(pbs_protocol::ValueOf(attributes, kDuration)).value_or(0);
  return spec;
}

pbs_protocol::StatusObject EncodeTaskStatus(const std::string& attempt, const SubmittedTask& task,
                                            const char* state) {
  pbs_protocol::StatusObject status;
  status.name = attempt;
  for (const pbs_protocol::Attribute& attribute : task.attributes) {
    if (!IsInternal(attribute)) status.attributes.push_back(attribute);
  }
  status.attributes.push_back(Set("job_state", state));
  status.attributes.push_back(Set("queue", task.queue));
  return status;
}

pbs_protocol::Attribute EncodeLoad(const LoadReport& load) {
  return Set(kLoad, pbs_server::FormatLoad(load));
}

pbs_protocol::Attribute EncodeStarted(Micros started) { return Set("started", std::to_string(started)); }

pbs_protocol::Attribute EncodeProcessStarted(Micros started) {
  return Set(kProcessStarted, std::to_string(started));
}

std::string EncodeEndReport(const std::string& node, const TaskEnded& ended, const SubmittedTask& task,
                            Micros now, const LoadReport& load) {
  pbs_protocol::Request obituary;
  obituary.type = pbs_protocol::RequestType::kJobObit;
  obituary.user = "node@" + node;
  obituary.id = ended.attempt;
  obituary.status = ended.status;
  obituary.attributes.push_back(Set("end_reason", NameOf(ended.end)));
  // Start and end of the task, named as in accounting records, in microseconds of wall time.
  if (task.acknowledged_at != 0) {
    obituary.attributes.push_back(Set("start", std::to_string(task.acknowledged_at)));
    obituary.attributes.push_back(Set("end", std::to_string(now)));
  }
  if (!ended.text.empty()) obituary.attributes.push_back(Set("comment", ended.text));
  obituary.attributes.push_back(EncodeLoad(load));
  std::string bytes;
  pbs_protocol::Encode(obituary, &bytes);
  return bytes;
}

}  // namespace mountflow::node_agent
