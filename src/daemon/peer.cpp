#include "daemon/peer.hpp"

#include <pwd.h>
#include <unistd.h>

#include <string>

namespace mountflow::daemon {

pbs_server::Peer IdentifyPeer(const event_loop::PeerInfo& info) {
  pbs_server::Peer peer;
  peer.address = info.address;
  if (!info.has_uid) return peer;
  peer.local = info.uid == 0 || info.uid == getuid();
  const passwd* entry = getpwuid(info.uid);
  peer.user = entry != nullptr ? entry->pw_name : std::to_string(info.uid);
  return peer;
}

}  // namespace mountflow::daemon
