// A scenario of a chaos test: the cluster, its workload, and the faults that are injected.
#ifndef MOUNTFLOW_TOOLS_CHAOS_SCENARIO_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_SCENARIO_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mountflow::chaos {

// Jobs of one queue, submitted at random times.
struct WorkloadSpec {
  std::string queue;
  double jobs_per_second = 1.0;  // total over all daemons
  std::vector<double> ncpus = {1.0};
  std::vector<double> memory_gb = {1.0};  // memory_gb[i] belongs to ncpus[i]
  double min_run_seconds = 2.0;
  double max_run_seconds = 8.0;
  int services = 10;
  bool has_keys = false;  // each job has its own idempotency key
  bool rerunnable = false;
  double retry_after_seconds = 0.0;  // a client without a reply tries the next daemon; 0: never
};

enum class FaultKind : std::uint8_t {
  kNodeKill,
  kNodeHang,
  kNodeStall,           // no bytes pass to or from the node
  kOneWay,              // no bytes pass from the node
  kSlowAnswer,          // replies are delayed by `size` seconds
  kPauses,              // stalls of `size` seconds, `interval_seconds` apart
  kDrain,               // nodes report that they drain
  kSlowNode,            // tasks take `size` times as long
  kFailQueue,           // tasks of `queue` fail
  kLateNodeList,        // node lists are delayed by `size` seconds more
  kDaemonKill,          // restarted after the duration
  kDaemonStall,         // the process is stopped, then continued
  kDaemonStop,          // SIGTERM twice among `size` SIGHUPs; restarted the duration after its exit
  kDaemonReload,        // `size` SIGHUPs at once
  kReconnect,           // clients restart a share of their services
  kBurst,               // the arrival rate of jobs is multiplied by `size`
  kClientGone,          // a client disconnects during its submission
  kHalfFrame,           // a client sends a part of a request
  kCancel,              // clients cancel `size` jobs
  kRegistryAway,        // connections to the registry are reset
  kRegistryCut,         // open connections to the registry are cut once
  kRegistryHalf,        // a connection is cut after `size` bytes of replies
  kRegistryTrickle,     // replies pass in pieces of `size` bytes
  kRegistryLeaderless,  // the registry has no leader
  kRegistryRestore,     // the registry is restored to a state `size` revisions older
  kRegistryCompact,     // the registry compacts its history
  kRegistryEmpty,
  kRegistryFlood,  // `size` changes per second
};

// A fault of at least this duration lasts to the end of the scenario.
inline constexpr double kPermanentSeconds = 1000.0;
inline constexpr int kAnyDaemon = -1;

struct Fault {
  double start_seconds = 0.0;
  double duration_seconds = 0.0;
  FaultKind kind = FaultKind::kNodeKill;
  int nodes = 0;            // number of nodes, chosen at random
  double node_share = 0.0;  // or a share of all nodes, chosen at random
  std::string rack;         // or all nodes of this rack
  std::string zone;         // or all nodes of this zone
  int daemon = kAnyDaemon;  // kAnyDaemon: a random daemon or all daemons, depending on the kind
  double size = 0.0;        // meaning depends on the kind, see FaultKind
  double interval_seconds = 0.0;
  std::string queue;
};

struct Scenario {
  std::string name = "day";
  double duration_seconds = 20.0;
  std::uint64_t seed = 1;
  int daemons = 3;
  int nodes = 24;
  int nodes_per_rack = 4;
  int racks_per_zone = 3;
  double node_list_delay_seconds = 1.0;
  bool uses_etcd = false;  // true: nodes hold leases in etcd; false: nodes use plain keys in Consul
  double lease_seconds = 2.0;
  bool group_from_registry = false;  // daemons join and leave their group through the registry
  nlohmann::json node_fields = nlohmann::json::object();  // fields of the nodes' configuration, for all nodes
  nlohmann::json settings;                                // override the daemon's embedded settings
  std::vector<WorkloadSpec> workloads;
  std::vector<Fault> faults;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_SCENARIO_HPP_
