#include "daemon/event_log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "logging/event_table.hpp"

namespace mountflow::daemon {
namespace {

constexpr char kLoggerName[] = "mountflow";
constexpr char kLinePattern[] = R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","is":%v})";

std::shared_ptr<spdlog::sinks::sink> OpenSink(const std::string& file) {
  if (file.empty()) return std::make_shared<spdlog::sinks::stderr_sink_st>();
  return std::make_shared<spdlog::sinks::basic_file_sink_st>(file, false);
}

spdlog::level::level_enum SpdlogLevelOf(logging::LogEvent event) {
  const bool is_warning = logging::InfoOf(event).level == logging::LogLevel::kWarning;
  return is_warning ? spdlog::level::warn : spdlog::level::info;
}

void AddFields(const std::vector<logging::LogField>& fields, nlohmann::json* line) {
  for (const logging::LogField& field : fields) {
    std::visit([&](const auto& value) { (*line)[std::string(field.name)] = value; }, field.value);
  }
}

void WriteLine(spdlog::logger* logger, spdlog::level::level_enum level, const nlohmann::json& line) {
  logger->log(level, "{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace

tl::expected<std::shared_ptr<spdlog::logger>, DaemonError> OpenLog(const std::string& file,
                                                                   const std::string& level) {
  std::shared_ptr<spdlog::logger> logger;
  try {
    logger = std::make_shared<spdlog::logger>(kLoggerName, OpenSink(file));
  } catch (const spdlog::spdlog_ex& failure) {
    return tl::unexpected(DaemonError{DaemonErrorCode::kLogFile, "log", failure.what()});
  }
  logger->set_pattern(kLinePattern, spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(level));
  logger->flush_on(spdlog::level::warn);
  return logger;
}

EventLog::EventLog(std::shared_ptr<spdlog::logger> logger) : logger_(std::move(logger)) {}

void EventLog::Write(const logging::LogRecord& record) {
  const spdlog::level::level_enum level = SpdlogLevelOf(record.event);
  if (!logger_->should_log(level)) return;
  nlohmann::json line = {{logging::kEventField, logging::Name(record.event)}};
  AddFields(record.fields, &line);
  WriteLine(logger_.get(), level, line);
}

void EventLog::Write(logging::LogEvent event, const std::string& text) {
  Write({event, {{logging::kTextField, text}}});
}

void EventLog::WriteEach(logging::LogEvent event, const std::vector<std::string>& texts) {
  for (const std::string& text : texts) Write(event, text);
}

void EventLog::Write(const job_manager::JobManager& job_manager, const job_manager::LogEntry& entry) {
  const spdlog::level::level_enum level = SpdlogLevelOf(entry.event);
  if (!logger_->should_log(level)) return;
  nlohmann::json line = {{logging::kEventField, logging::Name(entry.event)}};
  if (entry.job != 0) line[std::string(logging::kJobField)] = job_manager.JobId(entry.job);
  if (entry.attempt != 0) {
    line[std::string(logging::kAttemptField)] = job_manager.AttemptName({entry.job, entry.attempt});
  }
  if (!entry.node.empty()) line[std::string(logging::kNodeField)] = entry.node;
  if (!entry.text.empty()) line[std::string(logging::kTextField)] = entry.text;
  AddFields(entry.fields, &line);
  WriteLine(logger_.get(), level, line);
}

void EventLog::FlushInfoAtOnce(bool at_once) {
  logger_->flush_on(at_once ? spdlog::level::info : spdlog::level::warn);
}

void EventLog::Flush() { logger_->flush(); }

}  // namespace mountflow::daemon
