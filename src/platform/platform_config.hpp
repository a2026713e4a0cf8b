// Parser for the configuration of the platform daemon. The configuration is the JSON file named by the
// environment variable LB_CONFIG; LB_NAME and LB_LISTEN override its members `name` and `listen`. The
// functions here take the text and return values or errors; they do no I/O.
#ifndef MOUNTFLOW_PLATFORM_PLATFORM_CONFIG_HPP_
#define MOUNTFLOW_PLATFORM_PLATFORM_CONFIG_HPP_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "platform/node_watch.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

// Maximum size of the configuration text.
inline constexpr std::size_t kMaxConfigBytes = 8 << 20;

// Minimum number of descriptors for client connections that have not sent a message yet. At least as many as
// one turn of the event loop accepts, so that new connections never displace a client that has sent a
// message.
inline constexpr std::size_t kMinSilentClients = 64;

// Maximum numbers of connections that the file descriptors of the process allow.
struct DescriptorShares {
  std::size_t nodes = 0;
  std::size_t clients = 0;
};

// Splits `total` descriptors between clients and nodes. Clients get a third, plus an eighth (at least
// kMinSilentClients) for connections that have not sent a message yet. Nodes get the remaining ones, at least
// a third. With fewer connections than nodes that run tasks, these nodes are connected in rotation, which
// costs an additional connection each time.
DescriptorShares SplitDescriptors(std::size_t total);

// An error in one key of the configuration.
struct ConfigError {
  enum class Code {
    kTooLong,      // the text exceeds kMaxConfigBytes
    kNotAnObject,  // the text is not a JSON object
    kBadText,      // absent, empty or not a string
    kBadAddress,   // not IP:PORT
    kBadNumber,    // absent, not a number or out of range
    kBadEvents,    // `known` is absent, malformed or has a gap in its event numbers
    kBadSettings   // a key of `settings` is missing or malformed
  };
  Code code = Code::kBadText;
  std::string key;       // path in the file such as "limits.sockets", or "LB_CONFIG" for the whole text
  std::string expected;  // such as "expected 16 hex digits", or the error text of the settings parser
  std::string got;       // the quoted value or its JSON type; empty if `expected` is sufficient
};

// Returns an error text such as "limits.sockets: expected a number of 1 or more, got nothing".
std::string Describe(const ConfigError& error);

// The parsed configuration.
struct PlatformConfig {
  std::string name, listen;
  std::string change_log;  // address of the service that publishes the node list
  std::uint64_t seed = 0;
  std::size_t memory_mb = 32, sockets = 256;
  std::vector<NodeListEvent> known;  // node list events with numbers up to known_last
  std::uint64_t known_last = 0;
  settings::WireSettings wire;
  std::vector<ConfigError> errors;  // the configuration is valid only if this is empty
  bool ok() const { return errors.empty(); }
};

// Parses a configuration. `name` and `listen` override the keys of the text unless they are null or empty.
// All errors are reported, except those that cannot be detected because of another one (a text that is not
// JSON, settings that cannot be parsed).
PlatformConfig ReadPlatformConfig(std::string_view text, const char* name, const char* listen);

// Returns the address of the change log in a configuration, or an error. The address is the only part of the
// configuration that can change while the daemon runs.
tl::expected<std::string, ConfigError> ReadChangeLogAddress(std::string_view text);

// Converts the nested object `settings` to path=value lines, the input format of settings::ParseSettings():
//   {"profiles":[{"name":"batch"}],"kinds":["big"]}  ->  profiles.count=1, profiles.0.name=batch, kinds=big
std::string FlattenSettings(const nlohmann::json& settings);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_PLATFORM_CONFIG_HPP_
