// Which user owns the other end of a loopback TCP connection.
#ifndef MOUNTFLOW_EVENT_LOOP_PEER_CREDENTIALS_HPP_
#define MOUNTFLOW_EVENT_LOOP_PEER_CREDENTIALS_HPP_

#include <cstdint>
#include <optional>

namespace mountflow::event_loop {

// The user id that owns the other end of the connected TCP socket `fd`, from the kernel's socket table.
// Nothing when that end is on another host, not IPv4, or the kernel does not answer. Not thread-safe.
[[nodiscard]] std::optional<std::uint32_t> PeerUid(int fd);

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_PEER_CREDENTIALS_HPP_
