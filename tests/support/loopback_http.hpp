// Blocking HTTP exchanges with a program on loopback.
#ifndef MOUNTFLOW_TESTS_SUPPORT_LOOPBACK_HTTP_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_LOOPBACK_HTTP_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"

namespace mountflow::testing {

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

enum class ReadReplies { kUntilClosed, kFirstOnly };

// Sends bytes and returns the replies: all until the other side closes the connection, or only the first.
inline std::vector<http::Message> ExchangeHttpBytes(int port, const std::string& bytes,
                                                    ReadReplies wanted = ReadReplies::kUntilClosed) {
  constexpr std::size_t kMaxReplyBytes = 64 << 20;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(port);
  http::Reader reader(http::Reader::Side::kReplies, kMaxReplyBytes);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    char buffer[65536];
    while (wanted == ReadReplies::kUntilClosed || reader.messages().empty()) {
      const ssize_t size = recv(fd, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      if (!reader.Feed(std::string_view(buffer, static_cast<std::size_t>(size)))) break;
    }
  }
  close(fd);
  return {reader.messages().begin(), reader.messages().end()};
}

// Sends one request and returns the reply; its status is 0 if none was received.
inline http::Message CallHttp(int port, const std::string& method, const std::string& target,
                              const std::string& body = "") {
  const std::string request =
      http::WriteRequest(method, target, {{"Host", "h"}, {"Connection", "close"}}, body);
  const auto replies = ExchangeHttpBytes(port, request, ReadReplies::kFirstOnly);
  return replies.empty() ? http::Message{} : replies.front();
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_LOOPBACK_HTTP_HPP_
