// The decoded configuration of the daemon. Each section of the file sets the options struct of one package;
// sections without a package of their own are declared here. The bounds stated here are those of the schema
// (schema.cpp).
#ifndef MOUNTFLOW_CONFIG_DAEMON_CONFIG_HPP_
#define MOUNTFLOW_CONFIG_DAEMON_CONFIG_HPP_

#include <cstddef>
#include <cstdint>
#include <string>

#include "admission/admission.hpp"
#include "discovery/client.hpp"
#include "job_manager/job_manager.hpp"
#include "ledger/billing_rules.hpp"
#include "node_sessions/node_sessions.hpp"
#include "pbs_server/pbs_server.hpp"
#include "tls/context.hpp"

namespace mountflow::config {

// The addresses on which the daemon listens, as HOST:PORT; port 0 selects any free port.
struct ListenConfig {
  std::string batch_address = "127.0.0.1:15001";
  std::string http_address = "127.0.0.1:15080";  // empty: HTTP is disabled
  bool allow_beyond_loopback = false;            // if false, an address outside of 127.0.0.0/8 is an error
};

// The group of daemons that share the nodes. Its members are read from the registry that has the node list.
struct GroupConfig {
  bool from_registry = false;  // take group size and own index from the registry, not from the settings
  std::string prefix = "mountflow/daemons/";  // key prefix of the daemons' entries; 1 to 200 characters
  Micros entry_time_to_live = 10'000'000;     // of this daemon's entry, microseconds; 1 s to 1 h
  // Maximum age in microseconds at which the group read from the registry is still trusted; 0.1 s to 1 h.
  Micros max_view_age = 5'000'000;
};

// A storage folder with this name means that jobs are held in memory only.
inline constexpr char kNoStorageFolder[] = "none";

// Storage of jobs over restarts.
struct StorageConfig {
  // The folder in which jobs are stored. If empty, a default folder of the user (StateFolder), which billing
  // does not accept. kNoStorageFolder disables storage.
  std::string folder;
  std::size_t snapshot_after_bytes = 64u << 20;  // growth of the log before a snapshot; 0.01 to 100,000 MiB
};

// Billing of resource usage.
struct BillingConfig {
  bool enabled = false;  // requires a storage folder
  ledger::BillingRules rules;
};

// The daemon's own log.
struct LogConfig {
  std::string file;            // empty: standard error
  std::string level = "info";  // debug, info, warn, err or off
};

// The whole configuration of a daemon.
struct DaemonConfig {
  job_manager::JobManagerOptions job_manager;
  pbs_server::PbsServerOptions pbs_server;
  admission::AdmissionOptions admission;
  node_sessions::NodeSessionOptions node_sessions;
  ListenConfig listen;
  discovery::ClientOptions node_list;
  tls::Options node_list_tls;           // for connections to the registry; without files: no TLS
  std::string node_list_snapshot_file;  // stores the last node list; empty: it is not stored
  GroupConfig group;
  BillingConfig billing;
  StorageConfig storage;
  LogConfig log;
  // Maximum time in microseconds that a graceful shutdown waits for final answers; at most 600 s.
  Micros shutdown_timeout = 2'000'000;
  std::uint64_t seed = 0;  // seed of all random numbers; 0: chosen randomly at startup
};

// Sets the name under which clients know the daemon, and the user name that nodes see, which contains it.
void SetDaemonName(const std::string& name, DaemonConfig* config);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_DAEMON_CONFIG_HPP_
