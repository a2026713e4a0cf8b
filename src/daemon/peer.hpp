// The identity of the other end of an accepted connection.
#ifndef MOUNTFLOW_DAEMON_PEER_HPP_
#define MOUNTFLOW_DAEMON_PEER_HPP_

#include "event_loop/event_loop.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

// The user is the name that the system has for the connection's user id, or the number if there is none;
// empty if the system does not know who has the other end.
[[nodiscard]] pbs_server::Peer IdentifyPeer(const event_loop::PeerInfo& info);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_PEER_HPP_
