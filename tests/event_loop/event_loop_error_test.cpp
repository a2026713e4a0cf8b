// Tests of the texts of event loop errors.
#include "event_loop/event_loop_error.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>

namespace mountflow::event_loop {
namespace {

TEST(EventLoopErrorTest, DescribesMalformedAddress) {
  EXPECT_EQ(Describe({EventLoopErrorCode::kInvalidAddress, "here", {}}), "'here': expected IP:PORT");
}

TEST(EventLoopErrorTest, DescribesSystemError) {
  const std::error_code error(EADDRINUSE, std::generic_category());
  EXPECT_EQ(Describe({EventLoopErrorCode::kListenFailed, "127.0.0.1:80", error}),
            std::string("127.0.0.1:80: ") + strerror(EADDRINUSE));
}

TEST(EventLoopErrorTest, DistinguishesRefusedConnectionFromOthers) {
  EXPECT_TRUE(IsConnectionRefused(strerror(ECONNREFUSED)));
  EXPECT_FALSE(IsConnectionRefused(strerror(ECONNRESET)));
  EXPECT_FALSE(IsConnectionRefused("closed by peer"));
  EXPECT_FALSE(IsConnectionRefused(""));
}

}  // namespace
}  // namespace mountflow::event_loop
