// Converts the fields of protocol messages to the types of the scheduler library. These are free functions
// without state or I/O. Parsing is strict: a field that does not have the form that the protocol requires is
// an error or has no value.
#ifndef MOUNTFLOW_PLATFORM_MESSAGE_MAPPING_HPP_
#define MOUNTFLOW_PLATFORM_MESSAGE_MAPPING_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_codec.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

// The longest time that a client may wait for its final answer, in microseconds.
inline constexpr Micros kMaxClientWait = 600'000'000;

// A parsed launch request of a client.
struct LaunchRequest {
  Task task;               // its request id is not set
  std::string running_at;  // name of the node on which the task already runs; empty: it must be started
};

// Describes why a launch request cannot be used.
struct LaunchRequestError {
  enum class Code {
    kUnknownClass,
    kUnknownTenant,
    kBadKey,
    kBadDeduplicationKey,
    kBadExtras,    // a part is not of the form name:value, or cores or memory is absent or out of range
    kBadTimeLeft,  // absent, not a number of milliseconds, or over kMaxClientWait
  };
  Code code = Code::kUnknownClass;
  std::string got;         // the text of the invalid field
  std::string running_at;  // as in LaunchRequest, if it was parsed before the error
};

// Returns the error as text: "key: expected 16 hex digits, got 'abc'".
std::string Describe(const LaunchRequestError& error);

// Parses a launch request. The deadline of the task is `now` plus the client's remaining time. A task that
// already runs needs no remaining time, because its client's deadline may have passed long ago. Without a
// valid remaining time its deadline is `now`.
tl::expected<LaunchRequest, LaunchRequestError> ReadLaunchRequest(const ClientMessage& message,
                                                                  const settings::WireSettings& wire,
                                                                  Micros now);

// Parses the load report in a node's message. Parts with an unknown name or form are ignored.
LoadReport ReadReport(const NodeMessage& message);

// Parses a number from a load report or progress message of a node: finite, in decimal or scientific
// notation, with an optional minus sign. If it returns false, `*value` holds the value that the text begins
// with, which may be infinite or NaN, or is unchanged.
bool ReadReportedNumber(std::string_view text, double* value);

// Returns the index of `name` in `names`, or no value if it is not among them.
std::optional<unsigned> IndexOf(const std::vector<std::string>& names, std::string_view name);

// Returns the rejection reason for a node's text, or kUnspecified if the text is unknown.
RejectionReason ReadRejectionReason(std::string_view text);

// Returns the kind of progress for a node's text, or no value if the text is unknown.
std::optional<ProgressKind> ReadProgressKind(std::string_view text);

// Returns the result that a cause code means for an attempt. `started` tells whether the attempt had started
// its task. Codes that do not show whether the task ran map to kLost.
AttemptResult ResultOfCause(int cause, bool started);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_MESSAGE_MAPPING_HPP_
