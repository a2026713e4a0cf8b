// Tests of finding the user of a loopback connection.
#include "event_loop/peer_credentials.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mountflow::event_loop {
namespace {

TEST(PeerCredentials, FindsUserOfLoopbackConnection) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
  ASSERT_EQ(listen(listener, 1), 0);
  ASSERT_EQ(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ASSERT_EQ(connect(client, reinterpret_cast<sockaddr*>(&address), size), 0);
  const int accepted = accept(listener, nullptr, nullptr);
  ASSERT_GE(accepted, 0);
  EXPECT_EQ(PeerUid(accepted), getuid());
  EXPECT_EQ(PeerUid(client), getuid());
  close(accepted);
  close(client);
  close(listener);
}

TEST(PeerCredentials, FindsNoUserOfUnconnectedSocket) {
  const int unconnected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  EXPECT_EQ(PeerUid(unconnected), std::nullopt);
  close(unconnected);
  int pair[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
  EXPECT_EQ(PeerUid(pair[0]), std::nullopt);
  close(pair[0]);
  close(pair[1]);
  EXPECT_EQ(PeerUid(-1), std::nullopt);
}

}  // namespace
}  // namespace mountflow::event_loop
