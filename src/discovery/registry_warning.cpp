#include "discovery/registry_warning.hpp"

namespace mountflow::discovery {

std::string Describe(const RegistryWarning& warning) {
  using Code = RegistryWarning::Code;
  constexpr Micros kMicrosPerMillisecond = 1000;
  constexpr std::size_t kMaxKeyBytes = 200;
  switch (warning.code) {
    case Code::kReadFailed:
      return "registry " + warning.endpoint + ": " + warning.reason + "; next at " + warning.next_endpoint +
             " in " + std::to_string(warning.delay / kMicrosPerMillisecond) + " ms";
    case Code::kCompacted:
      return "registry: what came since was compacted away, all is read anew";
    case Code::kClusterChanged:
      return "registry: it is another cluster now, all is read anew";
    case Code::kWatchBehind:
      return "registry " + warning.endpoint + ": it is behind at revision " +
             std::to_string(warning.revision);
    case Code::kFullReadBehind:
      return "registry " + warning.endpoint + ": it is behind at revision " +
             std::to_string(warning.revision) + ", not taken";
    case Code::kHistoryRestarted:
      return "registry: its history began anew at revision " + std::to_string(warning.revision);
    case Code::kMostEntriesRemoved:
      return "registry: more than half of the entries are gone at once, at revision " +
             std::to_string(warning.revision);
    case Code::kEntrySkipped:
      return "entry " + warning.key.substr(0, kMaxKeyBytes) + " skipped: expected " + warning.reason;
    case Code::kOwnEntryNotStored:
      return "own entry: " + warning.reason;
  }
  return "";
}

}  // namespace mountflow::discovery
