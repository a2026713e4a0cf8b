#include "platform/message_mapping.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace mountflow::platform {
namespace {

using Code = LaunchRequestError::Code;

constexpr double kMaxTaskSize = 1e6;  // in cores, or in units of memory
constexpr std::size_t kMaxNumberBytes = 24;
constexpr std::size_t kMaxReportedNumberBytes = 40;
constexpr std::size_t kMaxNodeNameBytes = 256;
constexpr double kMicrosPerMilli = 1000.0;

// Cause codes of the client and node protocols.
constexpr int kCauseCompleted = 16;
constexpr int kCauseCancelled = 31;
constexpr int kCauseRejected = 34;
constexpr int kCauseError = 47;
constexpr int kCauseNotSent = 102;

struct CauseMeaning {
  int cause;
  AttemptResult result;
};
constexpr std::array<CauseMeaning, 3> kBeforeStart = {{{kCauseRejected, AttemptResult::kRejected},
                                                       {kCauseError, AttemptResult::kError},
                                                       {kCauseNotSent, AttemptResult::kNotSent}}};
constexpr std::array<CauseMeaning, 2> kAfterStart = {
    {{kCauseCompleted, AttemptResult::kCompleted}, {kCauseCancelled, AttemptResult::kCancelled}}};

template <std::size_t size>
AttemptResult FindResult(const std::array<CauseMeaning, size>& meanings, int cause) {
  for (const CauseMeaning& meaning : meanings) {
    if (meaning.cause == cause) return meaning.result;
  }
  return AttemptResult::kLost;
}

// Parses a finite number. All of `text` must belong to it.
bool ReadWholeText(std::string_view text, double* value) {
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *value);
  return result.ec == std::errc() && result.ptr == end && std::isfinite(*value);
}

// Parses a decimal number with an optional fraction, without sign or exponent.
std::optional<double> ReadNumber(std::string_view text) {
  const auto allowed = [](char character) {
    return (character >= '0' && character <= '9') || character == '.';
  };
  if (text.empty() || text.size() > kMaxNumberBytes) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(), allowed)) return std::nullopt;
  double value = 0.0;
  if (!ReadWholeText(text, &value)) return std::nullopt;
  return value;
}

// Calls visit(name, value) for each part of "name:value;...". Stops and returns false if a part does not have
// this form or visit() returns false.
template <typename Visit>
bool ForEachPair(std::string_view text, Visit visit) {
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = std::min(text.find(';', begin), text.size());
    const std::string_view part = text.substr(begin, end - begin);
    begin = end + 1;
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos) return false;
    if (!visit(part.substr(0, colon), part.substr(colon + 1))) return false;
  }
  return true;
}

// Parses the fields of one launch request in a fixed order. The first invalid field determines the error.
class LaunchRequestReader {
 public:
  LaunchRequestReader(const ClientMessage& message, const settings::WireSettings& wire, Micros now)
      : message_(message), wire_(wire), now_(now) {}

  tl::expected<LaunchRequest, LaunchRequestError> Read() {
    if (!ReadClass()) return Unusable(Code::kUnknownClass, "class");
    if (!ReadTenant()) return Unusable(Code::kUnknownTenant, "tenant");
    if (!ReadHex(Field("key"), kHexDigits, &request_.task.key)) return Unusable(Code::kBadKey, "key");
    if (!CheckDeduplicationKey()) return Unusable(Code::kBadDeduplicationKey, "idem");
    if (!ReadExtras()) return Unusable(Code::kBadExtras, "extras");
    if (!ReadDeadline()) return Unusable(Code::kBadTimeLeft, "left");
    return std::move(request_);
  }

 private:
  // Returns the text of a field, or an empty text if the message does not have it.
  std::string_view Field(const char* name) const {
    const auto it = message_.fields.find(name);
    return it == message_.fields.end() ? std::string_view{} : std::string_view{it->second};
  }

  tl::unexpected<LaunchRequestError> Unusable(Code code, const char* field) const {
    return tl::unexpected<LaunchRequestError>({code, std::string(Field(field)), request_.running_at});
  }

  bool ReadClass() {
    const std::optional<unsigned> index = IndexOf(wire_.class_names, Field("class"));
    request_.task.task_class = index.value_or(0);
    return index.has_value();
  }

  // The field is ignored if the settings define no tenants.
  bool ReadTenant() {
    if (wire_.tenant_names.empty()) return true;
    const std::optional<unsigned> index = IndexOf(wire_.tenant_names, Field("tenant"));
    request_.task.tenant = index.value_or(0);
    return index.has_value();
  }

  // Checks the form only, because the key is sent to the node unchanged. It is required only for classes that
  // are idempotent with key.
  bool CheckDeduplicationKey() const {
    const std::string_view key = Field("idem");
    const TaskClass& task_class = wire_.settings.classes[request_.task.task_class];
    if (key.empty() && task_class.idempotency != Idempotency::kWithKey) return true;
    std::uint64_t half = 0;
    return key.size() == 2 * kHexDigits && ReadHex(key.substr(0, kHexDigits), kHexDigits, &half) &&
           ReadHex(key.substr(kHexDigits), kHexDigits, &half);
  }

  static bool ReadSize(std::string_view text, double* size) {
    const std::optional<double> value = ReadNumber(text);
    if (!value || *value > kMaxTaskSize) return false;
    *size = *value;
    return true;
  }

  bool ReadExtra(std::string_view name, std::string_view value) {
    if (name == "cores") return has_cores_ = ReadSize(value, &request_.task.cores);
    if (name == "memory") return has_memory_ = ReadSize(value, &request_.task.memory);
    if (name == "service") return ReadHex(value, kHexDigits, &request_.task.service);
    if (name != "at") return true;
    request_.running_at = std::string(value);
    return !value.empty() && value.size() <= kMaxNodeNameBytes;
  }

  bool ReadExtras() {
    const auto visit = [this](std::string_view name, std::string_view value) {
      return ReadExtra(name, value);
    };
    return ForEachPair(Field("extras"), visit) && has_cores_ && has_memory_;
  }

  bool ReadDeadline() {
    const std::optional<double> millis = ReadNumber(Field("left"));
    const bool in_range =
        millis.has_value() && *millis * kMicrosPerMilli <= static_cast<double>(kMaxClientWait);
    request_.task.deadline = now_ + (in_range ? static_cast<Micros>(*millis * kMicrosPerMilli) : 0);
    return in_range || !request_.running_at.empty();
  }

  const ClientMessage& message_;
  const settings::WireSettings& wire_;
  const Micros now_;
  LaunchRequest request_;
  bool has_cores_ = false;
  bool has_memory_ = false;
};

const char* Expectation(Code code) {
  switch (code) {
    case Code::kUnknownClass:
      return "class: expected one of the settings";
    case Code::kUnknownTenant:
      return "tenant: expected one of the settings";
    case Code::kBadKey:
      return "key: expected 16 hex digits";
    case Code::kBadDeduplicationKey:
      return "idem: expected 32 hex digits";
    case Code::kBadExtras:
      return "extras: expected cores, memory and the like, as name:value;...";
    case Code::kBadTimeLeft:
      return "left: expected milliseconds, at most 600000";
  }
  return "request: expected a launch request";
}

}  // namespace

std::string Describe(const LaunchRequestError& error) {
  return std::string(Expectation(error.code)) + ", got " + Quote(error.got);
}

tl::expected<LaunchRequest, LaunchRequestError> ReadLaunchRequest(const ClientMessage& message,
                                                                  const settings::WireSettings& wire,
                                                                  Micros now) {
  return LaunchRequestReader(message, wire, now).Read();
}

bool ReadReportedNumber(std::string_view text, double* value) {
  if (text.empty() || text.size() > kMaxReportedNumberBytes) return false;
  return ReadWholeText(text, value);
}

std::optional<unsigned> IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<unsigned>(it - names.begin());
}

RejectionReason ReadRejectionReason(std::string_view text) {
  static constexpr std::pair<std::string_view, RejectionReason> kReasons[] = {
      {"no_cores", RejectionReason::kNoCores},     {"no_memory", RejectionReason::kNoMemory},
      {"queue_full", RejectionReason::kQueueFull}, {"not_here", RejectionReason::kNotAccepting},
      {"evicted", RejectionReason::kEvicted},      {"pushed_out", RejectionReason::kPreempted},
      {"sent_away", RejectionReason::kDrained}};
  for (const auto& [name, reason] : kReasons) {
    if (text == name) return reason;
  }
  return RejectionReason::kUnspecified;
}

std::optional<ProgressKind> ReadProgressKind(std::string_view text) {
  static constexpr std::pair<std::string_view, ProgressKind> kKinds[] = {
      {"runs", ProgressKind::kRunning},
      {"cores", ProgressKind::kCoresUsed},
      {"memory", ProgressKind::kMemoryUsed},
      {"served", ProgressKind::kServed},
      {"pressure", ProgressKind::kPressure}};
  for (const auto& [name, kind] : kKinds) {
    if (text == name) return kind;
  }
  return std::nullopt;
}

AttemptResult ResultOfCause(int cause, bool started) {
  return started ? FindResult(kAfterStart, cause) : FindResult(kBeforeStart, cause);
}

LoadReport ReadReport(const NodeMessage& message) {
  LoadReport report;
  ForEachPair(message.Text(kReport), [&](std::string_view name, std::string_view value) {
    double number = 0.0;
    if (ReadReportedNumber(value, &number)) settings::PutReportValue(name, number, &report);
    return true;
  });
  return report;
}

}  // namespace mountflow::platform
