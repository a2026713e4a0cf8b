// Tests of the write buffer over a pair of connected sockets.
#include "event_loop/write_buffer.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace mountflow::event_loop {
namespace {

class WriteBufferTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets_), 0);
  }
  void TearDown() override {
    close(sockets_[0]);
    if (sockets_[1] >= 0) close(sockets_[1]);
  }
  // Returns all bytes that the other end can read at present.
  std::string ReadAll() {
    std::string all;
    char piece[4096];
    for (ssize_t count = 0; (count = recv(sockets_[1], piece, sizeof piece, 0)) > 0;) {
      all.append(piece, static_cast<std::size_t>(count));
    }
    return all;
  }

  int sockets_[2] = {-1, -1};
  WriteBuffer buffer_;
};

TEST_F(WriteBufferTest, WritesInOrderAndBecomesEmpty) {
  EXPECT_TRUE(buffer_.empty());
  buffer_.tail()->append("one ");
  buffer_.tail()->append("two");
  EXPECT_EQ(buffer_.size(), 7u);
  EXPECT_FALSE(buffer_.WriteTo(sockets_[0]));
  EXPECT_TRUE(buffer_.empty());
  EXPECT_EQ(ReadAll(), "one two");
}

TEST_F(WriteBufferTest, KeepsBytesThatFullSocketDoesNotAccept) {
  std::string sent;
  for (unsigned i = 0; sent.size() < (8u << 20); ++i) sent += std::to_string(i) + ",";
  buffer_.tail()->append(sent);
  EXPECT_FALSE(buffer_.WriteTo(sockets_[0]));
  EXPECT_FALSE(buffer_.empty());
  EXPECT_LT(buffer_.size(), sent.size());
  std::string received;
  while (!buffer_.empty()) {
    received += ReadAll();
    ASSERT_FALSE(buffer_.WriteTo(sockets_[0]));
  }
  received += ReadAll();
  EXPECT_EQ(received.size(), sent.size());
  EXPECT_TRUE(received == sent);
}

TEST_F(WriteBufferTest, ReportsErrorOfClosedSocket) {
  close(sockets_[1]);
  sockets_[1] = -1;
  buffer_.tail()->append("lost");
  const std::error_code error = buffer_.WriteTo(sockets_[0]);
  EXPECT_EQ(error, std::errc::broken_pipe);
  EXPECT_EQ(buffer_.size(), 4u);
}

}  // namespace
}  // namespace mountflow::event_loop
