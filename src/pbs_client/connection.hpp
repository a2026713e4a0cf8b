// A blocking connection to a batch server, with time-outs.
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
  kConnectFailed,  // `system` tells why
  kNotConnected,
  kSendTimeout,
  kReplyTimeout,
  kClosedByServer,
  kBadReply,  // `expected` tells what is wrong with it
  kSystem     // sending or receiving failed; `system` tells why
};

struct ConnectionError {
  ConnectionErrorCode code = ConnectionErrorCode::kNotConnected;
  std::string address;     // of kBadPort, kBadAddress and kConnectFailed
  std::string expected;    // of kBadReply
  std::error_code system;  // of kConnectFailed and kSystem
};

[[nodiscard]] std::string Describe(const ConnectionError& error);

// Owns its socket. Not thread-safe.
class BatchConnection {
 public:
  BatchConnection() = default;
  ~BatchConnection();
  BatchConnection(const BatchConnection&) = delete;
  BatchConnection& operator=(const BatchConnection&) = delete;

  // `address` is HOST[:PORT], HOST an IPv4 address or "localhost". Closes an earlier connection.
  [[nodiscard]] tl::expected<void, ConnectionError> Connect(const std::string& address, Micros timeout);
  // Sends a request and waits for its reply, whatever its code. After an error the connection is closed.
  [[nodiscard]] tl::expected<pbs_protocol::Reply, ConnectionError> Call(const pbs_protocol::Request& request,
                                                                        Micros timeout);
  void Close();

 private:
  // Each of these waits until the monotonic time `deadline`.
  std::error_code ConnectSocket(const sockaddr_in& address, Micros deadline);
  tl::expected<void, ConnectionError> Send(const std::string& bytes, Micros deadline);
  tl::expected<pbs_protocol::Reply, ConnectionError> Receive(Micros deadline);
  tl::expected<void, ConnectionError> ReceiveMore(Micros deadline);

  int fd_ = -1;
  std::string input_;  // received, not decoded yet
};

}  // namespace mountflow::pbs_client

#endif  // MOUNTFLOW_PBS_CLIENT_CONNECTION_HPP_
