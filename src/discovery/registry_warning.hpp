// Warnings of a registry client or a registrar for the operator's log.
#ifndef MOUNTFLOW_DISCOVERY_REGISTRY_WARNING_HPP_
#define MOUNTFLOW_DISCOVERY_REGISTRY_WARNING_HPP_

#include <cstdint>
#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

// A warning. The comment after a code names the other fields that it sets.
struct RegistryWarning {
  enum class Code {
    kReadFailed,      // endpoint, reason, next_endpoint, delay
    kCompacted,       // missed changes have been compacted; a full read follows
    kClusterChanged,  // the registry is a different cluster now; a full read follows
    kWatchBehind,     // endpoint, revision: its watch is older than the newest revision seen
    kFullReadBehind,  // endpoint, revision: its full read was rejected as older than the newest revision seen
    kHistoryRestarted,    // revision: the registry was restored from a backup
    kMostEntriesRemoved,  // revision: more than half of the entries were removed at once
    kEntrySkipped,        // key, reason: its value is not a valid node entry
    kOwnEntryNotStored,   // reason: a request of the registrar failed
  };

  Code code = Code::kReadFailed;
  std::string endpoint;
  std::string next_endpoint;
  Micros delay = 0;  // microseconds until the read at the next endpoint
  std::uint64_t revision = 0;
  std::string key;
  std::string reason;
};

// Returns the warning as one line for a log.
[[nodiscard]] std::string Describe(const RegistryWarning& warning);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRY_WARNING_HPP_
