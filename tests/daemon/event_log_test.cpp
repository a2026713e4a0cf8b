// Tests the format of the log lines, which tools and operators search.
#include "daemon/event_log.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using logging::LogEvent;

class EventLogTest : public ::testing::Test {
 protected:
  EventLogTest()
      : logger_(std::make_shared<spdlog::logger>("test",
                                                 std::make_shared<spdlog::sinks::ostream_sink_st>(lines_))),
        log_(logger_) {
    logger_->set_pattern("%l %v");
  }

  std::ostringstream lines_;
  std::shared_ptr<spdlog::logger> logger_;
  daemon::EventLog log_;
  JobManagerFixture fixture_;
};

TEST_F(EventLogTest, EventHasItsNameAndText) {
  log_.Write(LogEvent::kStopped, "stored");
  log_.Write(LogEvent::kStorageCommit, "a \"quoted\" text");
  EXPECT_EQ(lines_.str(),
            "info {\"event\":\"stopped\",\"text\":\"stored\"}\n"
            "warning {\"event\":\"storage_commit\",\"text\":\"a \\\"quoted\\\" text\"}\n");
}

TEST_F(EventLogTest, EachTextHasALine) {
  log_.WriteEach(LogEvent::kTlsKeys, {"one", "two"});
  log_.WriteEach(LogEvent::kTlsKeys, {});
  EXPECT_EQ(lines_.str(),
            "warning {\"event\":\"tls_keys\",\"text\":\"one\"}\nwarning "
            "{\"event\":\"tls_keys\",\"text\":\"two\"}\n");
}

TEST_F(EventLogTest, EntryNamesJobAttemptAndNode) {
  job_manager::LogEntry entry;
  entry.event = LogEvent::kLost;
  entry.job = 7;
  entry.attempt = 2;
  entry.node = "a";
  entry.text = "gone";
  log_.Write(fixture_.job_manager, entry);
  EXPECT_EQ(lines_.str(),
            "warning {\"attempt\":\"7.d0/2\",\"event\":\"lost\",\"job\":\"7.d0\",\"node\":\"a\","
            "\"text\":\"gone\"}\n");
}

TEST_F(EventLogTest, EntryOmitsAbsentFields) {
  job_manager::LogEntry entry;
  entry.event = LogEvent::kRestored;
  log_.Write(fixture_.job_manager, entry);
  EXPECT_EQ(lines_.str(), "info {\"event\":\"restored\"}\n");
}

TEST_F(EventLogTest, FieldsAreMembersOfTheirType) {
  log_.Write({LogEvent::kNodeListCacheLoaded, {{logging::kNodesField, 3}, {logging::kAgeField, 1500}}});
  job_manager::LogEntry entry;
  entry.event = LogEvent::kAnswered;
  entry.job = 7;
  entry.fields = {{logging::kAnswerField, "failed"}};
  log_.Write(fixture_.job_manager, entry);
  EXPECT_EQ(lines_.str(),
            "info {\"age_ms\":1500,\"event\":\"node_list_cache_loaded\",\"nodes\":3}\n"
            "info {\"answer\":\"failed\",\"event\":\"answered\",\"job\":\"7.d0\"}\n");
}

TEST_F(EventLogTest, EntryBelowTheLevelIsNotWritten) {
  logger_->set_level(spdlog::level::warn);
  job_manager::LogEntry entry;
  entry.event = LogEvent::kSubmitted;
  log_.Write(fixture_.job_manager, entry);
  EXPECT_EQ(lines_.str(), "");
}

TEST_F(EventLogTest, InvalidUtf8IsReplaced) {
  log_.Write(LogEvent::kRequestError, "a\xff");
  EXPECT_EQ(lines_.str(), "warning {\"event\":\"request_error\",\"text\":\"a\xef\xbf\xbd\"}\n");
}

TEST(OpenLog, FileGetsOneJsonObjectALine) {
  char directory[] = "/tmp/mountflow-log-XXXXXX";
  ASSERT_NE(mkdtemp(directory), nullptr);
  const std::string file = std::string(directory) + "/d0.log";
  const auto logger = daemon::OpenLog(file, "info");
  ASSERT_TRUE(logger.has_value());
  daemon::EventLog log(*logger);
  log.Write(LogEvent::kStorageCommit, "text");
  std::ifstream in(file);
  std::string line;
  std::getline(in, line);
  const nlohmann::json read = nlohmann::json::parse(line);
  EXPECT_EQ(read["level"], "warning");
  EXPECT_EQ(read["is"], nlohmann::json::parse(R"({"event": "storage_commit", "text": "text"})"));
  EXPECT_EQ(read["time"].get<std::string>().size(), std::string("2026-01-01T00:00:00.000000Z").size());
  std::remove(file.c_str());
  std::remove(directory);
}

TEST(OpenLog, FileThatCannotBeOpenedIsAnError) {
  const auto logger = daemon::OpenLog("/dev/null/d0.log", "info");
  ASSERT_FALSE(logger.has_value());
  EXPECT_EQ(logger.error().code, daemon::DaemonErrorCode::kLogFile);
  EXPECT_EQ(Describe(logger.error()).rfind("log: ", 0), 0u) << Describe(logger.error());
}

}  // namespace
}  // namespace mountflow::testing
