#include "platform/read_buffer.hpp"

#include <gtest/gtest.h>

#include "platform/transport.hpp"

namespace mountflow::platform {
namespace {

TEST(ReadBuffer, ReturnsBytesThatWereAppendedAndNotConsumed) {
  ReadBuffer buffer;
  EXPECT_TRUE(buffer.empty());
  buffer.Append("abcd");
  buffer.Consume(3);
  EXPECT_EQ(buffer.unread(), "d");
  buffer.Append("ef");
  EXPECT_EQ(buffer.unread(), "def");
  buffer.Consume(3);
  EXPECT_TRUE(buffer.empty());
  EXPECT_EQ(buffer.unread(), "");
}

TEST(ReadBuffer, RetainsUnreadBytesInReleaseIfEmpty) {
  ReadBuffer buffer;
  buffer.Append("ab");
  buffer.Consume(1);
  buffer.ReleaseIfEmpty();
  EXPECT_EQ(buffer.unread(), "b");
}

TEST(ReadBuffer, CanBeUsedAgainAfterReleaseAndClear) {
  ReadBuffer buffer;
  for (const std::size_t size : {std::size_t{1}, 2 * kMaxMessageBytes}) {
    buffer.Append(std::string(size, 'x'));
    buffer.Consume(size);
    buffer.ReleaseIfEmpty();
    EXPECT_TRUE(buffer.empty());
    buffer.Append("abc");
    EXPECT_EQ(buffer.unread(), "abc");
    buffer.Clear();
    EXPECT_TRUE(buffer.empty());
  }
}

}  // namespace
}  // namespace mountflow::platform
