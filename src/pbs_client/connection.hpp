// Blocking connection to a batch server, with timeouts.
#ifndef MOUNTFLOW_PBS_CLIENT_CONNECTION_HPP_
#define MOUNTFLOW_PBS_CLIENT_CONNECTION_HPP_

#include <netinet/in.h>

#include <string>
#include <system_error>
#include <tl/expected.hpp>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_client {

enum class ConnectionErrorCode {
  kBadPort,        // the address is not HOST:PORT
  kBadAddress,     // HOST is not an IPv4 address
  kConnectFailed,  // `system` is the reason
  kNotConnected,
  kSendTimeout,
  kReplyTimeout,
  kClosedByServer,
  kBadReply,  // the reply is malformed; `expected` describes a valid one
  kSystem     // sending or receiving failed; `system` is the reason
};

struct ConnectionError {
  ConnectionErrorCode code = ConnectionErrorCode::kNotConnected;
  std::string address;     // for kBadPort, kBadAddress and kConnectFailed
  std::string expected;    // for kBadReply
  std::error_code system;  // for kConnectFailed and kSystem
};

// Returns a message for users.
[[nodiscard]] std::string Describe(const ConnectionError& error);

// A TCP connection to one batch server. Owns its socket. Not thread-safe.
class BatchConnection {
 public:
  BatchConnection() = default;
  ~BatchConnection();
  BatchConnection(const BatchConnection&) = delete;
  BatchConnection& operator=(const BatchConnection&) = delete;

  // Connects to `address`, of the form HOST[:PORT], where HOST is an IPv4 address or "localhost". Closes an
  // earlier connection first.
  [[nodiscard]] tl::expected<void, ConnectionError> Connect(const std::string& address, Micros timeout);
  // Sends a request, waits for the reply and returns it, also if its code reports a rejection. Closes the
  // connection after an error.
  [[nodiscard]] tl::expected<pbs_protocol::Reply, ConnectionError> Call(const pbs_protocol::Request& request,
                                                                        Micros timeout);
  void Close();

 private:
  // Each of the functions below fails if it is not done at the monotonic time `deadline`.
  std::error_code ConnectSocket(const sockaddr_in& address, Micros deadline);
  tl::expected<void, ConnectionError> Send(const std::string& bytes, Micros deadline);
  tl::expected<pbs_protocol::Reply, ConnectionError> Receive(Micros deadline);
  tl::expected<void, ConnectionError> ReceiveMore(Micros deadline);

  int fd_ = -1;
  std::string input_;  // received bytes that are not decoded yet
};

}  // namespace mountflow::pbs_client

#endif  // MOUNTFLOW_PBS_CLIENT_CONNECTION_HPP_
