// The group of daemons that share the cluster, as listed in the registry. Maintains this daemon's registry
// entry, reads the entries of all daemons and derives the group size and this daemon's index (see
// membership/membership.hpp).
#ifndef MOUNTFLOW_DAEMON_REGISTRY_GROUP_HPP_
#define MOUNTFLOW_DAEMON_REGISTRY_GROUP_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "daemon/registry_connection.hpp"
#include "discovery/client.hpp"
#include "discovery/registrar.hpp"
#include "discovery/registrar_connection.hpp"
#include "event_loop/event_loop.hpp"
#include "membership/membership.hpp"
#include "mountflow/scheduler.hpp"
#include "tls/keys.hpp"

namespace mountflow::daemon {

// Tracks the group of daemons. Not thread-safe: may be used by the event loop's thread only. All pointers
// must outlive this object.
class RegistryGroup {
 public:
  // Seeds of the random numbers that each registry client draws.
  struct Seeds {
    std::uint64_t members = 0;    // for the client that reads the entries
    std::uint64_t own_entry = 0;  // for the registrar of this daemon's entry
  };
  RegistryGroup(const config::DaemonConfig& config, Seeds seeds, event_loop::EventLoop* loop,
                tls::Keys* keys);
  RegistryGroup(const RegistryGroup&) = delete;
  RegistryGroup& operator=(const RegistryGroup&) = delete;

  // Adds this daemon's registry entry. `address` is the host:port of its batch port.
  void Join(const std::string& address);
  // Removes this daemon's registry entry.
  void Leave();

  // Carries out pending reads and writes. Returns the group if it has changed. Must be called after each turn
  // of the event loop.
  [[nodiscard]] std::optional<MembershipChange> Poll();
  // Returns log texts about registry failures since the last call.
  [[nodiscard]] std::vector<std::string> TakeWarnings();
  [[nodiscard]] Micros NextTimer() const;

 private:
  [[nodiscard]] membership::GroupView CurrentView(Micros now);

  event_loop::EventLoop* loop_;
  const std::string own_name_;
  const std::string prefix_;  // key prefix of all daemon entries
  discovery::RegistryClient members_;
  RegistryConnection members_connection_;
  discovery::Registrar own_entry_;
  discovery::RegistrarConnection own_entry_connection_;
  membership::GroupMembership group_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_REGISTRY_GROUP_HPP_
