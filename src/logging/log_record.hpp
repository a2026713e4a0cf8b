// A log record and its text form.
#ifndef MOUNTFLOW_LOGGING_LOG_RECORD_HPP_
#define MOUNTFLOW_LOGGING_LOG_RECORD_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "logging/log_event.hpp"

namespace mountflow::logging {

// A named value of a record.
struct LogField {
  std::string_view name;  // not copied; one of the constants of log_event.hpp
  std::variant<std::string, std::int64_t, std::uint64_t> value;
};

// An event and its fields, in the order in which they are written.
struct LogRecord {
  LogEvent event = LogEvent::kStarted;
  std::vector<LogField> fields{};
};

// Returns the record as one line without a line feed: `event=NAME FIELD=VALUE ...`, in the order of the
// fields. Numbers and plain words are written unchanged. Other texts are written in double quotes, with \"
// and \\ for the quote and the backslash, and \n, \r, \t or \xHH for control characters.
[[nodiscard]] std::string FormatKeyValue(const LogRecord& record);

}  // namespace mountflow::logging

#endif  // MOUNTFLOW_LOGGING_LOG_RECORD_HPP_
