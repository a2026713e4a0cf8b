// Lookup of the user that owns the other end of a loopback TCP connection.
#ifndef MOUNTFLOW_EVENT_LOOP_PEER_CREDENTIALS_HPP_
#define MOUNTFLOW_EVENT_LOOP_PEER_CREDENTIALS_HPP_

#include <cstdint>
#include <optional>

namespace mountflow::event_loop {

// Returns the id of the user that owns the other end of the connected TCP socket `fd`, from the kernel's
// socket table. Returns std::nullopt if that end is on another host or not IPv4, or if the kernel does not
// answer. Not thread-safe.
[[nodiscard]] std::optional<std::uint32_t> PeerUid(int fd);

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_PEER_CREDENTIALS_HPP_
