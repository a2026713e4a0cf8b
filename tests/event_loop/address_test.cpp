// Tests of the conversion between addresses and text.
#include "event_loop/address.hpp"

#include <gtest/gtest.h>

namespace mountflow::event_loop {
namespace {

struct SplitCase {
  const char* text;
  const char* host;  // null if the text is rejected
  int port;
};

class SplitAddressTest : public ::testing::TestWithParam<SplitCase> {};

TEST_P(SplitAddressTest, SplitsAtLastColonAndChecksPort) {
  const SplitCase& expected = GetParam();
  const std::optional<HostAndPort> parts = SplitAddress(expected.text);
  ASSERT_EQ(parts.has_value(), expected.host != nullptr);
  if (!parts) return;
  EXPECT_EQ(parts->host, expected.host);
  EXPECT_EQ(parts->port, expected.port);
}

INSTANTIATE_TEST_SUITE_P(Addresses, SplitAddressTest,
                         ::testing::Values(SplitCase{"10.0.0.1:80", "10.0.0.1", 80},
                                           SplitCase{"host:0", "host", 0},
                                           SplitCase{"host:65535", "host", 65535}, SplitCase{":7", "", 7},
                                           SplitCase{"a:b:7", "a:b", 7}, SplitCase{"host:65536", nullptr, 0},
                                           SplitCase{"host:-1", nullptr, 0}, SplitCase{"host:", nullptr, 0},
                                           SplitCase{"host:7x", nullptr, 0}, SplitCase{"host: 7", nullptr, 0},
                                           SplitCase{"host", nullptr, 0}, SplitCase{"", nullptr, 0}));

TEST(SocketAddress, RoundTripsNumericAddress) {
  const std::optional<sockaddr_in> address = ParseSocketAddress("192.0.2.7:1234");
  ASSERT_TRUE(address.has_value());
  EXPECT_EQ(address->sin_family, AF_INET);
  EXPECT_EQ(FormatSocketAddress(*address), "192.0.2.7:1234");
}

TEST(SocketAddress, ReadsLocalhostAndNoOtherName) {
  const std::optional<sockaddr_in> address = ParseSocketAddress("localhost:80");
  ASSERT_TRUE(address.has_value());
  EXPECT_EQ(FormatSocketAddress(*address), "127.0.0.1:80");
  EXPECT_FALSE(ParseSocketAddress("example.org:80").has_value());
  EXPECT_FALSE(ParseSocketAddress("10.0.0:80").has_value());
  EXPECT_FALSE(ParseSocketAddress("10.0.0.1").has_value());
}

}  // namespace
}  // namespace mountflow::event_loop
