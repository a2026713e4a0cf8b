// Options of a process that hosts nodes, and of each hosted node.
#ifndef MOUNTFLOW_NODE_AGENT_HOST_OPTIONS_HPP_
#define MOUNTFLOW_NODE_AGENT_HOST_OPTIONS_HPP_

#include <string>

#include "mountflow/scheduler.hpp"
#include "node_agent/node_config.hpp"
#include "tls/context.hpp"

namespace mountflow::node_agent {

// Configuration of one hosted node.
struct HostedNodeConfig {
  NodeConfig config;
  std::string listen_address = "127.0.0.1:0";
  std::string advertised_address;  // address in the node list; empty: the listen address
  bool starts_warm = true;         // first incarnation only; later ones warm up
};

// Options that all nodes of a host share.
struct NodeHostOptions {
  std::string node_list_address;  // address of the registry; empty: no entries are written
  std::string entry_prefix = "mountflow/nodes/";
  std::string control_address;  // empty: the control API is off
  // Duration of the lease (etcd) or session (Consul) of an entry, in microseconds. The entry of a node that
  // dies expires after it. With 0, entries are plain Consul keys, which the host removes.
  Micros lease = 0;
  bool uses_etcd = false;
  std::string consul_service;  // with a lease: Consul service of the entries; empty: keys
  tls::Options tls;            // for registry connections; without files, TLS is off
  Micros publish_period =
      200'000;  // minimum between two writes of an entry; changes of state are written at once
  double memory_unit = 1073741824;  // bytes in one unit of memory
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_HOST_OPTIONS_HPP_
