// Requests and replies that store a registrar's entry in a registry under a lease. The entry is an etcd key
// with a lease, a Consul key with a session, or an instance of a Consul service with a TTL check; "lease"
// means any of the three here. Performs no I/O and reads no clock.
#ifndef MOUNTFLOW_DISCOVERY_LEASE_PROTOCOL_HPP_
#define MOUNTFLOW_DISCOVERY_LEASE_PROTOCOL_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/registry_options.hpp"
#include "http/message.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

// Options of a registrar. Durations are in microseconds.
struct RegistrarOptions {
  RegistryKind kind = RegistryKind::kConsul;
  std::vector<std::string> endpoints = {"127.0.0.1:8500"};
  std::string key;  // key of the entry; its last path component is the name in the entry
  // Consul: name of the service of which the entry is an instance. Empty: the entry is a key with a session.
  std::string service;
  std::string token;                 // Consul: X-Consul-Token
  std::string user;                  // etcd: exchanged for a token, together with the password
  std::string password;              // etcd
  Micros time_to_live = 10'000'000;  // of the lease; Consul requires at least 10 s
  Micros min_interval = 200'000;     // between writes of changed values, unless a write is immediate
  Micros reassert = 60'000'000;      // between writes of an unchanged value, plus up to a quarter of jitter
  Micros timeout = 2'000'000;        // for the reply to a request
  Micros initial_backoff = 200'000;
  Micros max_backoff = 3'000'000;
};

// The kinds of requests: get a token, open the lease, renew it, write the entry and remove it.
enum class LeaseStep { kNone, kAuthenticate, kOpen, kRenew, kWrite, kRemove };

// Result of a reply without an error.
struct LeaseReply {
  bool is_lease_lost = false;      // the lease has expired or does not exist
  bool is_lease_extended = false;  // by the time to live, counted from when the request was sent
  bool is_entry_written = false;
};

// The reason why a request failed.
struct LeaseError {
  std::string reason;
  bool is_lease_lost = false;  // the registry does not know the lease
};

// Encodes requests and decodes replies for one kind of registry. It stores the ID of the lease and the token,
// if any.
class LeaseProtocol {
 public:
  LeaseProtocol() = default;
  LeaseProtocol(const LeaseProtocol&) = delete;
  LeaseProtocol& operator=(const LeaseProtocol&) = delete;
  virtual ~LeaseProtocol() = default;

  // Returns the bytes of a request. `value` is the entry.
  [[nodiscard]] virtual std::string WriteRequest(LeaseStep step, const std::string& value) const = 0;
  // Handles the reply to the request of `step`.
  [[nodiscard]] virtual tl::expected<LeaseReply, LeaseError> ReceiveReply(LeaseStep step,
                                                                          const http::Message& reply) = 0;
  [[nodiscard]] virtual bool HasLease() const = 0;
  // Forgets the lease without a request to the registry.
  virtual void DropLease() = 0;
  // Reports whether a token must be requested before any other request.
  [[nodiscard]] virtual bool NeedsAuthentication() const { return false; }
};

// Returns the protocol for the kind of registry in `options`.
[[nodiscard]] std::unique_ptr<LeaseProtocol> MakeLeaseProtocol(const RegistrarOptions& options);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_LEASE_PROTOCOL_HPP_
