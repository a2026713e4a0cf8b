// Leases and the keys attached to them, used for etcd's leases and Consul's sessions. The table does no I/O;
// callers pass the current time.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_LEASE_TABLE_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_LEASE_TABLE_HPP_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

struct Lease {
  Micros ttl = 0;
  Micros expires_at = 0;
  std::set<std::string> keys;
};

// Holds all leases of a registry. `Id` is the protocol's type of lease id. Leases that expire in the same
// call do so in the order of their ids.
template <typename Id>
class LeaseTable {
 public:
  // Creates a lease, or renews an existing one with a new `ttl`. An existing lease retains its keys.
  void Grant(Micros now, const Id& id, Micros ttl) {
    Lease& lease = leases_[id];
    lease.ttl = ttl;
    lease.expires_at = now + ttl;
  }

  // Returns null if the lease does not exist. The pointer is valid until the next call of a non-const member
  // function.
  [[nodiscard]] const Lease* Find(const Id& id) const {
    const auto it = leases_.find(id);
    return it == leases_.end() ? nullptr : &it->second;
  }

  // Renew(), Revoke(), Attach() and Detach() do nothing if the lease does not exist.
  void Renew(Micros now, const Id& id) {
    const auto it = leases_.find(id);
    if (it != leases_.end()) it->second.expires_at = now + it->second.ttl;
  }
  // Makes the lease expire at once; the next TakeExpiredKeys() removes it.
  void Revoke(Micros now, const Id& id) {
    const auto it = leases_.find(id);
    if (it != leases_.end()) it->second.expires_at = now;
  }
  void Attach(const Id& id, const std::string& key) {
    const auto it = leases_.find(id);
    if (it != leases_.end()) it->second.keys.insert(key);
  }
  void Detach(const Id& id, const std::string& key) {
    const auto it = leases_.find(id);
    if (it != leases_.end()) it->second.keys.erase(key);
  }

  // Restarts the full TTL of each lease, as a newly elected leader does.
  void RenewAll(Micros now) {
    for (auto& [id, lease] : leases_) lease.expires_at = now + lease.ttl;
  }

  // Removes all expired leases and returns their keys, ordered by lease id and then by key.
  [[nodiscard]] std::vector<std::string> TakeExpiredKeys(Micros now) {
    std::vector<std::string> keys;
    std::erase_if(leases_, [now, &keys](const auto& id_and_lease) {
      const Lease& lease = id_and_lease.second;
      if (lease.expires_at > now) return false;
      keys.insert(keys.end(), lease.keys.begin(), lease.keys.end());
      return true;
    });
    return keys;
  }

  // Returns the time at which the next lease expires; kNoTimer if there are no leases.
  [[nodiscard]] Micros NextExpiry() const {
    Micros next = kNoTimer;
    for (const auto& [id, lease] : leases_) next = std::min(next, lease.expires_at);
    return next;
  }

 private:
  std::map<Id, Lease> leases_;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_LEASE_TABLE_HPP_
