// Builds the configurations of the programs of a chaos test from its scenario. Only this file contains the
// configuration keys. It performs no I/O.
#ifndef MOUNTFLOW_TOOLS_CHAOS_CLUSTER_CONFIG_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_CLUSTER_CONFIG_HPP_

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "tools/chaos/scenario.hpp"

namespace mountflow::chaos {

struct NodeAddress {
  std::string name;
  std::string rack;
  std::string zone;
  std::string advertised;  // address of the node's recording proxy
};

struct DaemonAddresses {
  std::string name;
  std::string reports;    // address to which nodes send reports
  std::string node_list;  // address of the registry
  std::string log_file;
  std::string state_folder;
};

// Return the rack and the zone of the node with this number. Racks are filled one after the other; groups of
// racks alternate between two zones.
[[nodiscard]] std::string RackOf(const Scenario& scenario, int node);
[[nodiscard]] std::string ZoneOf(const Scenario& scenario, int node);

// Returns the settings of the daemon with this number: the embedded settings, overridden by those of the
// scenario.
[[nodiscard]] nlohmann::json DaemonSettings(const Scenario& scenario, int daemon);

// Returns the fields of the message log's head entry: the facts of the scenario that the invariant checker
// needs.
[[nodiscard]] nlohmann::json HeadFields(const Scenario& scenario, const std::vector<NodeAddress>& nodes);

// Returns the longest time in microseconds that a client waits for the answer to a job, by queue.
[[nodiscard]] std::map<std::string, Micros> HardLimits(const Scenario& scenario);

// Returns the configuration of the program that simulates all nodes.
[[nodiscard]] nlohmann::json NodesFile(const Scenario& scenario, const std::vector<NodeAddress>& nodes,
                                       const std::string& registry_address);

// Returns the configuration of the daemon with this number.
[[nodiscard]] nlohmann::json DaemonFile(const Scenario& scenario, int number,
                                        const DaemonAddresses& addresses);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_CLUSTER_CONFIG_HPP_
