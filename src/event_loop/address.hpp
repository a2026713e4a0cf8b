// Text form of IPv4 addresses.
#ifndef MOUNTFLOW_EVENT_LOOP_ADDRESS_HPP_
#define MOUNTFLOW_EVENT_LOOP_ADDRESS_HPP_

#include <netinet/in.h>

#include <optional>
#include <string>

namespace mountflow::event_loop {

struct HostAndPort {
  std::string host;
  int port = 0;
};

// Splits "HOST:PORT" at the last colon. Nothing when there is no colon or the port is not a number from 0 to
// 65535. The host is not checked.
[[nodiscard]] std::optional<HostAndPort> SplitAddress(const std::string& address);

// Reads "IP:PORT", where the IP may also be "localhost". Nothing when it is malformed; names are not
// resolved.
[[nodiscard]] std::optional<sockaddr_in> ParseSocketAddress(const std::string& address);

// The inverse of ParseSocketAddress.
[[nodiscard]] std::string FormatSocketAddress(const sockaddr_in& address);

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_ADDRESS_HPP_
