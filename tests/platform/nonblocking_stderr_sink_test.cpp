// Tests of NonblockingStderrSink with a pipe as standard error.
#include "platform/nonblocking_stderr_sink.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

namespace mountflow::platform {
namespace {

// Redirects standard error to a pipe while a test runs.
class NonblockingStderrSinkTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(pipe2(ends_.data(), O_NONBLOCK), 0);
    stderr_before_ = dup(STDERR_FILENO);
    ASSERT_GE(stderr_before_, 0);
    ASSERT_EQ(dup2(ends_[1], STDERR_FILENO), STDERR_FILENO);
  }
  void TearDown() override {
    dup2(stderr_before_, STDERR_FILENO);
    for (const int fd : {stderr_before_, ends_[0], ends_[1]}) close(fd);
  }
  std::string ReadAll() {
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t size = 0; (size = read(ends_[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  std::array<int, 2> ends_{};
  int stderr_before_ = -1;
  spdlog::logger logger_{"test", std::make_shared<NonblockingStderrSink>()};
};

TEST_F(NonblockingStderrSinkTest, WritesTheBareTextOfALine) {
  logger_.info("one");
  logger_.info("two");
  EXPECT_EQ(ReadAll(), "one\ntwo\n");
}

TEST_F(NonblockingStderrSinkTest, TruncatesALongLine) {
  logger_.info(std::string(kMaxLogLineBytes + 1, 'x'));
  EXPECT_EQ(ReadAll(), std::string(kMaxLogLineBytes, 'x') + "\n");
}

TEST_F(NonblockingStderrSinkTest, DropsALineWhileThePipeIsFull) {
  const std::string filler(4096, 'f');
  std::size_t filled = 0;
  for (ssize_t size = 0; (size = write(ends_[1], filler.data(), filler.size())) > 0;) {
    filled += static_cast<std::size_t>(size);
  }
  logger_.info("dropped");
  EXPECT_EQ(ReadAll(), std::string(filled, 'f'));
  logger_.info("kept");
  EXPECT_EQ(ReadAll(), "kept\n");
}

}  // namespace
}  // namespace mountflow::platform
