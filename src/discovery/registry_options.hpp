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

// Consul's consistency modes of reads.
enum class ConsulMode { kDefault, kStale, kConsistent };

struct ClientOptions {
  RegistryKind kind = RegistryKind::kConsul;
  std::vector<std::string> endpoints = {"127.0.0.1:8500"};
  std::string prefix = "mountflow/nodes/";
  std::string service;   // Consul: instances of this service by /v1/health in place of keys
  std::string token;     // Consul: X-Consul-Token
  std::string user;      // etcd: exchanged, with the password, for a token
  std::string password;  // etcd
  ConsulMode mode = ConsulMode::kDefault;
  Micros max_staleness =
      10'000'000;                 // kStale: replies of a server without its leader for longer are rejected
  Micros wait = 10'000'000;       // of a Consul blocking read, shortened by up to an eighth
  Micros brief_wait = 1'000'000;  // the same of a brief one (endpoint_selector.hpp)
  Micros min_interval = 100'000;  // between node list events, and between Consul reads
  unsigned page = 1000;           // keys of one etcd range
  std::size_t max_keys = 100'000;
  std::size_t max_reply_bytes = 256U << 20U;
  std::size_t max_message_bytes = 64U << 20U;  // of one message of an etcd watch
  EndpointSelectorOptions endpoint_selector;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRY_OPTIONS_HPP_
