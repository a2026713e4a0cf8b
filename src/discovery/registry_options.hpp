// Options of a registry client.
#ifndef MOUNTFLOW_DISCOVERY_REGISTRY_OPTIONS_HPP_
#define MOUNTFLOW_DISCOVERY_REGISTRY_OPTIONS_HPP_

#include <cstddef>
#include <string>
#include <vector>

#include "discovery/endpoint_selector.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

enum class RegistryKind { kConsul, kEtcd };

// Consistency modes of Consul's reads.
enum class ConsulMode { kDefault, kStale, kConsistent };

// Options of a registry client. Durations are in microseconds.
struct ClientOptions {
  RegistryKind kind = RegistryKind::kConsul;
  std::vector<std::string> endpoints = {"127.0.0.1:8500"};
  std::string prefix = "mountflow/nodes/";
  std::string service;   // Consul: read the instances of this service (/v1/health) instead of keys
  std::string token;     // Consul: X-Consul-Token
  std::string user;      // etcd: exchanged for a token, together with the password
  std::string password;  // etcd
  ConsulMode mode = ConsulMode::kDefault;
  // ConsulMode::kStale: a reply is rejected if its server had no contact with the leader for longer.
  Micros max_staleness = 10'000'000;
  Micros wait = 10'000'000;  // maximum wait of a Consul blocking read, shortened randomly by up to an eighth
  Micros brief_wait = 1'000'000;  // the same for a brief read (ReadStep::is_brief)
  Micros min_interval = 100'000;  // between node list events, and between Consul reads
  unsigned page = 1000;           // maximum number of keys in one etcd range
  std::size_t max_keys = 100'000;
  std::size_t max_reply_bytes = 256U << 20U;
  std::size_t max_message_bytes = 64U << 20U;  // maximum size of one etcd watch message
  EndpointSelectorOptions endpoint_selector;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRY_OPTIONS_HPP_
