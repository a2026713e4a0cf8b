// The platform's configuration: what LB_CONFIG holds, with LB_NAME and LB_LISTEN over it. Sans-I/O: text in,
// values or named errors out. `settings` is the object of the simulator's first message, nested; it is laid
// out as that message's path=value lines and read by the one table of keys in settings/.
//
// Bounds: a text of kMostConfig bytes. Descriptors are split here: see SplitDescriptors.
#ifndef MOUNTFLOW_PLATFORM_PLATFORM_CONFIG_HPP_
#define MOUNTFLOW_PLATFORM_PLATFORM_CONFIG_HPP_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "platform/node_watch.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

inline constexpr std::size_t kMaxConfigBytes = 8 << 20;

// Of all descriptors the process may hold. Owners hold at most a third by right; the rest of their part, an
// eighth of all and at least kSilentOwners (as many as a turn accepts), is for what connects and says
// nothing, so that it never takes the place of an owner. Machines have what is left, a third at least: a
// machine that holds tasks and has no connection is asked in turn, at the price of one more connection each
// time.
inline constexpr std::size_t kSilentOwners = 64;
struct Descriptors {
  std::size_t machines = 0, owners = 0;
};
Descriptors SplitDescriptors(std::size_t all);

struct PlatformConfig {
  std::string name, listen, change_log;
  std::uint64_t seed = 0;
  std::size_t memory_mb = 32, sockets = 256;
  std::vector<NodeListChange> known;
  std::uint64_t known_last = 0;
  settings::WireSettings wire;
  std::vector<std::string> errors;  // each names the key and what was expected
  bool ok() const { return errors.empty(); }
};

PlatformConfig ReadPlatformConfig(std::string_view text, const char* name, const char* listen);
// What a new configuration may change while running. Empty, with the reason: it cannot be used.
std::string ReadChangeLogAddress(std::string_view text, std::string* error);

// The nested object as the lines of the simulator's first message.
std::string LayOutSettings(const nlohmann::json& settings);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_PLATFORM_CONFIG_HPP_
