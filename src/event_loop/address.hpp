// Conversion between IPv4 socket addresses and text.
#ifndef MOUNTFLOW_EVENT_LOOP_ADDRESS_HPP_
#define MOUNTFLOW_EVENT_LOOP_ADDRESS_HPP_

#include <netinet/in.h>

#include <optional>
#include <string>

namespace mountflow::event_loop {

// The two parts of a "HOST:PORT" address.
struct HostAndPort {
  std::string host;
  int port = 0;
};

// Splits "HOST:PORT" at the last colon. Returns std::nullopt if there is no colon or the port is not a number
// from 0 to 65535. Does not check the host.
[[nodiscard]] std::optional<HostAndPort> SplitAddress(const std::string& address);

// Parses "IP:PORT", where the IP may also be "localhost". Returns std::nullopt if the text is malformed. Does
// not resolve host names.
[[nodiscard]] std::optional<sockaddr_in> ParseSocketAddress(const std::string& address);

// Returns `address` as "IP:PORT", the inverse of ParseSocketAddress.
[[nodiscard]] std::string FormatSocketAddress(const sockaddr_in& address);

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_ADDRESS_HPP_
