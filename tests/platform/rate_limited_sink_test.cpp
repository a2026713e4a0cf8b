// Tests of RateLimitedSink. The timestamp of each message is set by the test.
#include "platform/rate_limited_sink.hpp"

#include <gtest/gtest.h>
#include <spdlog/logger.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mountflow::platform {
namespace {

// Records the lines it receives.
class RecordingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  std::vector<std::string> lines;
  int flushes = 0;

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    lines.emplace_back(message.payload.data(), message.payload.size());
  }
  void flush_() override { ++flushes; }
};

class RateLimitedSinkTest : public ::testing::Test {
 protected:
  void Log(int milliseconds, const std::string& line) {
    const spdlog::log_clock::time_point at{std::chrono::milliseconds(milliseconds)};
    logger_.log(at, spdlog::source_loc{}, spdlog::level::info, line);
  }
  const std::vector<std::string>& lines() const { return output_->lines; }

  std::shared_ptr<RecordingSink> output_ = std::make_shared<RecordingSink>();
  spdlog::logger logger_{"test", std::make_shared<RateLimitedSink>(output_)};
};

TEST_F(RateLimitedSinkTest, PassesDifferentLinesInOrder) {
  Log(1000, "one");
  Log(1001, "two {}");  // the text is not interpreted as a format string
  EXPECT_EQ(lines(), (std::vector<std::string>{"one", "two {}"}));
}

TEST_F(RateLimitedSinkTest, PassesEqualLinesOnceASecond) {
  Log(1000, "same");
  Log(1999, "same");
  EXPECT_EQ(lines(), (std::vector<std::string>{"same"}));
  Log(2000, "same");
  EXPECT_EQ(lines(), (std::vector<std::string>{"same", "(1 more lines in that second)", "same"}));
}

TEST_F(RateLimitedSinkTest, BoundsTheLinesOfASecondAndCountsTheRest) {
  for (unsigned i = 0; i < kMaxLinesPerSecond + 3; ++i) Log(5000, "line " + std::to_string(i));
  EXPECT_EQ(lines().size(), kMaxLinesPerSecond);
  Log(6000, "next");
  ASSERT_EQ(lines().size(), kMaxLinesPerSecond + 2);
  EXPECT_EQ(lines()[kMaxLinesPerSecond], "(3 more lines in that second)");
  EXPECT_EQ(lines().back(), "next");
}

TEST_F(RateLimitedSinkTest, WritesNoCountForASecondWithoutDroppedLines) {
  Log(1000, "one");
  Log(9000, "two");
  EXPECT_EQ(lines(), (std::vector<std::string>{"one", "two"}));
}

TEST_F(RateLimitedSinkTest, FlushesItsOutput) {
  logger_.flush();
  EXPECT_EQ(output_->flushes, 1);
}

}  // namespace
}  // namespace mountflow::platform
