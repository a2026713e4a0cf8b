// Parsing and formatting of attribute values in the batch protocol: numbers, sizes, durations, load reports
// and the keys of users. Except for ParseLoad, a parser returns nothing unless the whole text is valid.
#ifndef MOUNTFLOW_PBS_SERVER_ATTRIBUTE_VALUES_HPP_
#define MOUNTFLOW_PBS_SERVER_ATTRIBUTE_VALUES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mountflow/scheduler.hpp"

namespace mountflow::pbs_server {

// Parses a finite decimal number.
[[nodiscard]] std::optional<double> ParseNumber(std::string_view text);
[[nodiscard]] std::string FormatNumber(double number);

// Parses an integer from 0 to 2^64 - 1.
[[nodiscard]] std::optional<std::uint64_t> ParseCount(std::string_view text);

// Parses a size such as "512mb", "2gb" or "1024" (bytes). Returns bytes, at most 1e18.
[[nodiscard]] std::optional<double> ParseSize(std::string_view text);
[[nodiscard]] std::string FormatSize(double bytes);

// Parses a duration of the form "SS", "MM:SS" or "HH:MM:SS". A fraction of a second is allowed. The duration
// is at most 1e9 s.
[[nodiscard]] std::optional<Micros> ParseDuration(std::string_view text);
[[nodiscard]] std::string FormatDuration(Micros duration);

// Parses a node's load report, "x0=.. x1=.. queue=.. util=..". Skips values that are malformed.
[[nodiscard]] LoadReport ParseLoad(std::string_view text);
[[nodiscard]] std::string FormatLoad(const LoadReport& report);

// Returns an idempotency key in the form in which nodes store it and are queried for it: user, line feed,
// key. Equal keys of different users thus differ, because the name of a user contains no line feed.
[[nodiscard]] std::string FormatUserKey(std::string_view user, std::string_view key);
// Reports whether a text has the form of FormatUserKey(). A key alone, as earlier versions of the daemon send
// it in queries, has not.
[[nodiscard]] bool IsUserKey(std::string_view text);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_ATTRIBUTE_VALUES_HPP_
