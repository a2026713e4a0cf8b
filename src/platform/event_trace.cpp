#include "platform/event_trace.hpp"

#include <cstdint>
#include <cstdio>
#include <optional>
#include <string_view>
#include <variant>

#include "platform/text_encoding.hpp"

namespace mountflow::platform {
namespace {

const char* NameOf(NodeListKind kind) {
  switch (kind) {
    case NodeListKind::kDelta:
      return "delta";
    case NodeListKind::kSnapshot:
      return "snapshot";
    case NodeListKind::kCached:
      return "cached";
    case NodeListKind::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

const char* NameOf(NodeState state) {
  switch (state) {
    case NodeState::kGone:
      return "gone";
    case NodeState::kReady:
      return "ready";
    case NodeState::kDraining:
      return "draining";
  }
  return "unknown";
}

const char* NameOf(ProgressKind kind) {
  switch (kind) {
    case ProgressKind::kRunning:
      return "running";
    case ProgressKind::kCoresUsed:
      return "cores_used";
    case ProgressKind::kMemoryUsed:
      return "memory_used";
    case ProgressKind::kServed:
      return "served";
    case ProgressKind::kPressure:
      return "pressure";
  }
  return "unknown";
}

const char* NameOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
      return "completed";
    case AttemptResult::kError:
      return "error";
    case AttemptResult::kRejected:
      return "rejected";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kUnreachable:
      return "unreachable";
    case AttemptResult::kLost:
      return "lost";
    case AttemptResult::kCancelled:
      return "cancelled";
    case AttemptResult::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

const char* NameOf(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kUnspecified:
      return "unspecified";
    case RejectionReason::kNoCores:
      return "no_cores";
    case RejectionReason::kNoMemory:
      return "no_memory";
    case RejectionReason::kQueueFull:
      return "queue_full";
    case RejectionReason::kNotAccepting:
      return "not_accepting";
    case RejectionReason::kEvicted:
      return "evicted";
    case RejectionReason::kPreempted:
      return "preempted";
    case RejectionReason::kDrained:
      return "drained";
  }
  return "unknown";
}

// TraceLine builds one line of the trace.
class TraceLine {
 public:
  explicit TraceLine(std::string_view name) : text_(name) {}

  TraceLine& Add(std::string_view key, std::uint64_t value) { return AddText(key, std::to_string(value)); }
  TraceLine& AddName(std::string_view key, const char* name) { return AddText(key, name); }
  TraceLine& AddHex(std::string_view key, std::uint64_t value) { return AddText(key, WriteHex(value)); }
  TraceLine& AddDecimal(std::string_view key, double value) {
    char decimal[32];
    std::snprintf(decimal, sizeof decimal, "%g", value);
    return AddText(key, decimal);
  }
  TraceLine& AddReported(std::string_view key, const std::optional<double>& value) {
    return value ? AddDecimal(key, *value) : *this;
  }
  TraceLine& AddTask(const Task& task) {
    return Add("request", task.request)
        .Add("class", task.task_class)
        .Add("tenant", task.tenant)
        .AddHex("key", task.key)
        .AddHex("service", task.service)
        .AddDecimal("cores", task.cores)
        .AddDecimal("memory", task.memory)
        .Add("deadline_us", task.deadline);
  }
  TraceLine& AddNode(const NodeEntry& entry) {
    return Add("node", entry.node)
        .Add("rack", entry.rack)
        .Add("zone", entry.zone)
        .Add("kind", entry.kind)
        .AddName("state", NameOf(entry.state))
        .Add("started_at_us", entry.started_at)
        .AddDecimal("free_cores", entry.free_cores)
        .AddDecimal("free_memory", entry.free_memory);
  }
  std::string text() const { return text_; }

 private:
  TraceLine& AddText(std::string_view key, std::string_view value) {
    text_.append(" ").append(key).append("=").append(value);
    return *this;
  }

  std::string text_;
};

struct EventDescriber {
  std::string operator()(const NodeListUpdate& update) const {
    TraceLine line("node_list");
    line.AddName("list", NameOf(update.kind));
    for (const NodeEntry& entry : update.nodes) line.AddNode(entry);
    return line.text();
  }
  std::string operator()(const TaskSubmitted& event) const {
    return TraceLine("task_submitted").AddTask(event.task).text();
  }
  std::string operator()(const TaskRecovered& event) const {
    return TraceLine("task_recovered").AddTask(event.task).Add("node", event.node).text();
  }
  std::string operator()(const TaskStarted& event) const {
    return TraceLine("task_started")
        .Add("request", event.request)
        .Add("attempt", event.attempt)
        .Add("node", event.node)
        .Add("elapsed_us", event.elapsed)
        .text();
  }
  std::string operator()(const TaskProgress& event) const {
    return TraceLine("task_progress")
        .Add("request", event.request)
        .AddName("kind", NameOf(event.kind))
        .AddDecimal("value", event.value)
        .text();
  }
  std::string operator()(const AttemptEnded& event) const {
    return TraceLine("attempt_ended")
        .Add("request", event.request)
        .Add("attempt", event.attempt)
        .Add("node", event.node)
        .AddName("result", NameOf(event.result))
        .AddName("reason", NameOf(event.reason))
        .Add("closed", event.request_closed ? 1 : 0)
        .Add("elapsed_us", event.elapsed)
        .AddReported("free_cores", event.report.free_cores)
        .AddReported("free_memory", event.report.free_memory)
        .AddReported("queued", event.report.queued)
        .AddReported("utilisation", event.report.utilisation)
        .text();
  }
  std::string operator()(const TaskCancelled& event) const {
    return TraceLine("task_cancelled").Add("request", event.request).text();
  }
  template <typename Untraced>
  std::string operator()(const Untraced& /*event*/) const {
    return "";
  }
};

struct ActionDescriber {
  std::string operator()(const StartAttempt& action) const {
    return TraceLine("start_attempt")
        .Add("request", action.request)
        .Add("attempt", action.attempt)
        .Add("node", action.node)
        .Add("deadline_us", action.deadline)
        .text();
  }
  std::string operator()(const CancelAttempt& action) const {
    return TraceLine("cancel_attempt").Add("request", action.request).Add("attempt", action.attempt).text();
  }
  std::string operator()(const RejectTask& action) const {
    return TraceLine("reject_task")
        .Add("request", action.request)
        .Add("retry_after_us", action.retry_after)
        .text();
  }
  std::string operator()(const FailTask& action) const {
    return TraceLine("fail_task").Add("request", action.request).text();
  }
  std::string operator()(const MigrateTask& action) const {
    return TraceLine("migrate_task").Add("request", action.request).text();
  }
  std::string operator()(const LogLine& action) const { return "log " + action.text; }
  template <typename Untraced>
  std::string operator()(const Untraced& /*action*/) const {
    return "";
  }
};

}  // namespace

std::string Describe(const Event& event) { return std::visit(EventDescriber(), event); }

std::string Describe(const Action& action) { return std::visit(ActionDescriber(), action); }

}  // namespace mountflow::platform
