// The table of log events, used by the programs that write them and by the page that documents them
// (docs/on-call.md, which a test compares with this table).
#ifndef MOUNTFLOW_LOGGING_EVENT_TABLE_HPP_
#define MOUNTFLOW_LOGGING_EVENT_TABLE_HPP_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "logging/log_event.hpp"

namespace mountflow::logging {

enum class LogLevel { kInfo, kWarning };

// The program that writes an event.
enum class LogProgram { kDaemon, kPlatform, kBoth };

inline constexpr std::size_t kMaxFields = 4;

// One row of the table. All texts are constants with static storage duration.
struct EventInfo {
  LogEvent event;
  std::string_view name;  // as written to the log
  LogProgram program;
  LogLevel level;
  // Field names beside the event's name, of which a record may omit any. Unused elements at the end are
  // empty.
  std::array<std::string_view, kMaxFields> fields;
  std::string_view meaning;
  std::string_view action;  // for the engineer on call
};

using EventTable = std::array<EventInfo, kLogEventCount>;

// Returns the rows in the order of LogEvent.
[[nodiscard]] const EventTable& AllEvents();

// Returns the row of `event`.
[[nodiscard]] const EventInfo& InfoOf(LogEvent event);
// Return the names as they appear in the log or the table.
[[nodiscard]] std::string_view Name(LogEvent event);
[[nodiscard]] std::string_view Name(LogProgram program);
[[nodiscard]] std::string_view Name(LogLevel level);

// Reports whether records of `event` may have a field named `field`.
[[nodiscard]] bool HasField(LogEvent event, std::string_view field);

// Returns the table as Markdown with one row for each event. Each line ends with a line feed.
[[nodiscard]] std::string EventTableMarkdown();

}  // namespace mountflow::logging

#endif  // MOUNTFLOW_LOGGING_EVENT_TABLE_HPP_
