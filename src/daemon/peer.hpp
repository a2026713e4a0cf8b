// The identity of the other end of an accepted connection.
#ifndef MOUNTFLOW_DAEMON_PEER_HPP_
#define MOUNTFLOW_DAEMON_PEER_HPP_

#include "event_loop/event_loop.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

// Returns the address and the user of the peer. The user is the login name that belongs to the connection's
// user id, or the id as a number if it has no name. It is empty if the user id is unknown, as it is for
// connections from other hosts.
[[nodiscard]] pbs_server::Peer IdentifyPeer(const event_loop::PeerInfo& info);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_PEER_HPP_
