#include "platform/message_mapping.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace mountflow::platform {
namespace {

constexpr double kMostSize = 1e6;  // cores or memory of a task

// Decimal digits, with a fraction where that is allowed; no sign, no exponent, nothing after it.
bool ReadFigure(std::string_view text, double* value) {
  if (text.empty() || text.size() > 24) return false;
  if (!std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || c == '.'; })) {
    return false;
  }
  const auto read = std::from_chars(text.data(), text.data() + text.size(), *value);
  return read.ec == std::errc() && read.ptr == text.data() + text.size() && std::isfinite(*value);
}

// Calls visit(name, value) for each name:value; false where a part has no such form.
template <typename Visit>
bool ForPairs(std::string_view text, Visit visit) {
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = std::min(text.find(';', from), text.size());
    const std::string_view part = text.substr(from, end - from);
    from = end + 1;
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos || !visit(part.substr(0, colon), part.substr(colon + 1)))
      return false;
  }
  return true;
}

}  // namespace

// As ReadFigure, and a report may be below 0 or in scientific form.
bool ReadReported(std::string_view text, double* value) {
  if (text.empty() || text.size() > 40) return false;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), *value);
  return read.ec == std::errc() && read.ptr == text.data() + text.size() && std::isfinite(*value);
}

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

RejectionReason CauseOf(const std::string& said) {
  static constexpr std::pair<const char*, RejectionReason> kCauses[] = {
      {"no_cores", RejectionReason::kNoCores},     {"no_memory", RejectionReason::kNoMemory},
      {"queue_full", RejectionReason::kQueueFull}, {"not_here", RejectionReason::kNotAccepting},
      {"evicted", RejectionReason::kEvicted},      {"pushed_out", RejectionReason::kPreempted},
      {"sent_away", RejectionReason::kDrained}};
  for (const auto& [name, cause] : kCauses) {
    if (said == name) return cause;
  }
  return RejectionReason::kUnspecified;
}

bool ReadNoteKind(const std::string& said, ProgressKind* kind) {
  static constexpr std::pair<const char*, ProgressKind> kKinds[] = {{"runs", ProgressKind::kRunning},
                                                                    {"cores", ProgressKind::kCoresUsed},
                                                                    {"memory", ProgressKind::kMemoryUsed},
                                                                    {"served", ProgressKind::kServed},
                                                                    {"pressure", ProgressKind::kPressure}};
  for (const auto& [name, one] : kKinds) {
    if (said != name) continue;
    *kind = one;
    return true;
  }
  return false;
}

// Before an answer, what is neither a refusal, an error nor moot is as a reset.
AttemptResult EndingOf(int cause, bool placed) {
  if (!placed) {
    return cause == 34    ? AttemptResult::kRejected
           : cause == 47  ? AttemptResult::kError
           : cause == 102 ? AttemptResult::kNotSent
                          : AttemptResult::kLost;
  }
  return cause == 16   ? AttemptResult::kCompleted
         : cause == 31 ? AttemptResult::kCancelled
                       : AttemptResult::kLost;
}

const char* ReadSetUp(const ClientMessage& message, const settings::WireSettings& wire, Micros now,
                      Task* task, std::string* machine) {
  const auto field = [&](const char* name) -> std::string_view {
    const auto it = message.fields.find(name);
    return it == message.fields.end() ? std::string_view() : std::string_view(it->second);
  };
  const int task_class = IndexOf(wire.class_names, std::string(field("class")));
  if (task_class < 0) return "class: expected one of the settings";
  task->task_class = static_cast<unsigned>(task_class);
  if (!wire.tenant_names.empty()) {
    const int tenant = IndexOf(wire.tenant_names, std::string(field("tenant")));
    if (tenant < 0) return "tenant: expected one of the settings";
    task->tenant = static_cast<unsigned>(tenant);
  }
  if (!ReadHex(field("key"), 16, &task->key)) return "key: expected 16 hex digits";
  std::uint64_t half = 0;
  const std::string_view idem = field("idem");
  const bool keyed = wire.settings.classes[task->task_class].idempotency == Idempotency::kWithKey;
  if (keyed || !idem.empty()) {
    if (idem.size() != 32 || !ReadHex(idem.substr(0, 16), 16, &half) ||
        !ReadHex(idem.substr(16), 16, &half)) {
      return "idem: expected 32 hex digits";
    }
  }
  bool cores = false, memory = false;
  const bool pairs = ForPairs(field("extras"), [&](std::string_view name, std::string_view value) {
    if (name == "cores") return cores = ReadFigure(value, &task->cores) && task->cores <= kMostSize;
    if (name == "memory") return memory = ReadFigure(value, &task->memory) && task->memory <= kMostSize;
    if (name == "service") return ReadHex(value, 16, &task->service);
    if (name == "at") *machine = std::string(value);
    return name != "at" || (!value.empty() && value.size() <= 256);
  });
  if (!pairs || !cores || !memory) return "extras: expected cores, memory and the like, as name:value;...";
  // What runs already is not waited for: its owner's time may long be over (`left` below 0, or none).
  double left = 0.0;
  const bool in_time = ReadFigure(field("left"), &left) && left * 1000.0 <= static_cast<double>(kLongestWait);
  if (!in_time && machine->empty()) return "left: expected milliseconds";
  task->deadline = now + (in_time ? static_cast<Micros>(left * 1000.0) : 0);
  return nullptr;
}

LoadReport ReadReport(const NodeMessage& message) {
  LoadReport report;
  ForPairs(message.Text(kReport), [&](std::string_view name, std::string_view value) {
    double figure = 0.0;
    if (ReadReported(value, &figure)) settings::PutReportValue(name, figure, &report);
    return true;
  });
  return report;
}

}  // namespace mountflow::platform
