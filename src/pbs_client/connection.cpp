#include "pbs_client/connection.hpp"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "pbs_client/host.hpp"

namespace mountflow::pbs_client {
namespace {

constexpr int kDefaultPort = 15001;
constexpr int kMaxPort = 65535;
constexpr std::size_t kReceiveBufferBytes = 64 << 10;
constexpr Micros kMaxPollMs = 1'000'000;  // timeout of one poll call; a longer wait uses several calls

std::error_code SystemError(int number) { return {number, std::generic_category()}; }

tl::unexpected<ConnectionError> Error(ConnectionErrorCode code) {
  return tl::make_unexpected(ConnectionError{code, "", "", {}});
}

tl::unexpected<ConnectionError> SystemFailure(int number) {
  return tl::make_unexpected(ConnectionError{ConnectionErrorCode::kSystem, "", "", SystemError(number)});
}

// Waits for `events` on a socket. Returns false if the deadline passes first or on an error.
bool WaitForSocket(int fd, short events, Micros deadline) {
  for (;;) {
    const Micros now = MonotonicTime();
    if (now >= deadline) return false;
    const Micros wait_ms = std::min<Micros>((deadline - now + 999) / 1000, kMaxPollMs);
    pollfd watched{fd, events, 0};
    const int ready = poll(&watched, 1, static_cast<int>(wait_ms));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}

bool IsTransientError(int number) { return number == EAGAIN || number == EINTR; }

tl::expected<sockaddr_in, ConnectionError> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  int port = kDefaultPort;
  if (colon != std::string::npos) {
    const auto parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (parsed.ec != std::errc() || port < 1 || port > kMaxPort) {
      return tl::make_unexpected(ConnectionError{ConnectionErrorCode::kBadPort, text, "", {}});
    }
  }
  if (host == "localhost") host = "127.0.0.1";
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return tl::make_unexpected(ConnectionError{ConnectionErrorCode::kBadAddress, text, "", {}});
  }
  return address;
}

}  // namespace

std::string Describe(const ConnectionError& error) {
  switch (error.code) {
    case ConnectionErrorCode::kBadPort:
      return error.address + ": expected HOST:PORT";
    case ConnectionErrorCode::kBadAddress:
      return error.address + ": expected an IP address";
    case ConnectionErrorCode::kConnectFailed:
      return error.address + ": " + error.system.message();
    case ConnectionErrorCode::kNotConnected:
      return "not connected";
    case ConnectionErrorCode::kSendTimeout:
      return "time is over while sending";
    case ConnectionErrorCode::kReplyTimeout:
      return "no reply in time";
    case ConnectionErrorCode::kClosedByServer:
      return "connection closed by the daemon";
    case ConnectionErrorCode::kBadReply:
      return "reply: expected " + error.expected;
    case ConnectionErrorCode::kSystem:
      return error.system.message();
  }
  return "";
}

BatchConnection::~BatchConnection() { Close(); }

void BatchConnection::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  input_.clear();
}

tl::expected<void, ConnectionError> BatchConnection::Connect(const std::string& address, Micros timeout) {
  Close();
  const auto parsed = ParseAddress(address);
  if (!parsed) return tl::make_unexpected(parsed.error());
  const std::error_code failure = ConnectSocket(*parsed, MonotonicTime() + timeout);
  if (!failure) return {};
  Close();
  return tl::make_unexpected(ConnectionError{ConnectionErrorCode::kConnectFailed, address, "", failure});
}

std::error_code BatchConnection::ConnectSocket(const sockaddr_in& address, Micros deadline) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int enabled = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return {};
  if (errno != EINPROGRESS) return SystemError(errno);
  if (!WaitForSocket(fd_, POLLOUT, deadline)) return SystemError(ETIMEDOUT);
  int result = ETIMEDOUT;
  socklen_t size = sizeof result;
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &result, &size);
  return SystemError(result);
}

tl::expected<void, ConnectionError> BatchConnection::Send(const std::string& bytes, Micros deadline) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (count < 0 && IsTransientError(errno)) {
      if (!WaitForSocket(fd_, POLLOUT, deadline)) return Error(ConnectionErrorCode::kSendTimeout);
    } else {
      return SystemFailure(errno);
    }
  }
  return {};
}

tl::expected<void, ConnectionError> BatchConnection::ReceiveMore(Micros deadline) {
  char buffer[kReceiveBufferBytes];
  for (;;) {
    const ssize_t count = recv(fd_, buffer, sizeof buffer, 0);
    if (count > 0) {
      input_.append(buffer, static_cast<std::size_t>(count));
      return {};
    }
    if (count == 0) return Error(ConnectionErrorCode::kClosedByServer);
    if (!IsTransientError(errno)) return SystemFailure(errno);
    if (!WaitForSocket(fd_, POLLIN, deadline)) return Error(ConnectionErrorCode::kReplyTimeout);
  }
}

tl::expected<pbs_protocol::Reply, ConnectionError> BatchConnection::Receive(Micros deadline) {
  std::size_t needed = 1;  // received bytes that the next attempt to decode requires
  for (;;) {
    if (input_.size() >= needed) {
      pbs_protocol::Reply reply;
      const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(input_, &reply);
      if (parsed.state == pbs_protocol::DisState::kOk) {
        input_.erase(0, parsed.used);
        return reply;
      }
      if (parsed.state == pbs_protocol::DisState::kBad) {
        return tl::make_unexpected(
            ConnectionError{ConnectionErrorCode::kBadReply, "", pbs_protocol::Describe(parsed.error), {}});
      }
      needed = parsed.needs;
    }
    const auto received = ReceiveMore(deadline);
    if (!received) return tl::make_unexpected(received.error());
  }
}

tl::expected<pbs_protocol::Reply, ConnectionError> BatchConnection::Call(const pbs_protocol::Request& request,
                                                                         Micros timeout) {
  if (fd_ < 0) return Error(ConnectionErrorCode::kNotConnected);
  const Micros deadline = MonotonicTime() + timeout;
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  auto reply = Send(bytes, deadline).and_then([&] { return Receive(deadline); });
  if (!reply) Close();
  return reply;
}

}  // namespace mountflow::pbs_client
