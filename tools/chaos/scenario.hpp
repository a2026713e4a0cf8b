// A day to rehearse: JSON with comments, checked against a schema.
#ifndef MOUNTFLOW_TOOLS_CHAOS_SCENARIO_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_SCENARIO_HPP_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mountflow::chaos {

struct Load {
  std::string queue;
  double rate = 1.0;                                  // jobs a second, all daemons together
  std::vector<double> ncpus = {1.0}, mem_gb = {1.0};  // drawn together by index
  double life_from = 2.0, life_to = 8.0;              // seconds
  int services = 10;
  bool keyed = false;  // each job carries a key of its own
  bool rerunnable = false;
  double retry_after = 0.0;  // seconds without a reply after which the client tries the next daemon; 0: never
};

struct Fault {
  double at = 0.0, length = 0.0;  // seconds
  std::string kind;
  int nodes = 0;           // how many, drawn
  double share = 0.0;      // or this share of them
  std::string rack, room;  // or all of these
  int daemon = -1;         // or this one; -1 and 0 nodes: as the kind says
  double size = 0.0;       // by kind: delay, pause, factor
  double every = 0.0;      // pauses: seconds between
  std::string queue;
};

struct Day {
  std::string name = "day";
  double length = 20.0;
  std::uint64_t seed = 1;
  int daemons = 3;
  int nodes = 24, per_rack = 4, racks_per_room = 3;
  double list_delay = 1.0;
  bool etcd = false;  // the list is etcd, nodes under leases of `lease` seconds; else Consul, plain keys
  double lease = 2.0;
  bool group_from_registry = false;  // daemons number themselves; one that is killed leaves, and joins anew
  nlohmann::json node = nlohmann::json::object();  // fields of the node's file, for all nodes
  nlohmann::json settings;                         // over the daemon's embedded settings
  std::vector<Load> load;
  std::vector<Fault> faults;
};

bool ReadDay(const std::string& text, const std::string& name, Day* day, std::vector<std::string>* errors);

// A day with the kinds of trouble of a bench day: crash, hang, pauses, mass_restart, discovery_stale,
// zone_loss, grow, shrink, ageing, class_fail, neighbour, reconnect, burst, heavy_tail, daemon_kill. Times
// and sizes are drawn from the seed within ranges of ours.
std::string MakeDay(const std::vector<std::string>& troubles, std::uint64_t seed, std::string* error);

extern const char kDefaultDay[];  // the embedded rough day

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_SCENARIO_HPP_
