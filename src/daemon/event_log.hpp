// The log of the daemon. Each line is one JSON object:
//   {"time":..,"level":..,"is":{"event":..,"job":..,"attempt":..,"node":..,"text":..}}
// Tests, tools and operators search for events and fields by name; src/logging defines them.
#ifndef MOUNTFLOW_DAEMON_EVENT_LOG_HPP_
#define MOUNTFLOW_DAEMON_EVENT_LOG_HPP_

#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "daemon/daemon_error.hpp"
#include "job_manager/job_manager.hpp"
#include "job_manager/messages.hpp"
#include "logging/log_record.hpp"

namespace spdlog {
class logger;
}

namespace mountflow::daemon {

// Opens a log file for appending; with an empty `file` the lines go to standard error. `level` is the lowest
// level that is written, by its spdlog name. Returns kLogFile if the file cannot be opened.
[[nodiscard]] tl::expected<std::shared_ptr<spdlog::logger>, DaemonError> OpenLog(const std::string& file,
                                                                                 const std::string& level);

// Writes events to a logger. Not thread-safe: may be used by the event loop's thread only.
class EventLog {
 public:
  explicit EventLog(std::shared_ptr<spdlog::logger> logger);

  // Write() writes one line at the level of its event. Bytes that are not valid UTF-8 are replaced.
  void Write(const logging::LogRecord& record);
  void Write(logging::LogEvent event, const std::string& text);
  // Writes one line for each text.
  void WriteEach(logging::LogEvent event, const std::vector<std::string>& texts);
  // Writes an entry of the job manager. `job_manager` supplies the names of the job and of the attempt.
  void Write(const job_manager::JobManager& job_manager, const job_manager::LogEntry& entry);

  // Sets whether each line of level info is flushed at once. Warnings always are.
  void FlushInfoAtOnce(bool at_once);
  void Flush();

 private:
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_EVENT_LOG_HPP_
