// Loads the daemon's configuration: reads it, checks it against the schema, and decodes it section by
// section.
#ifndef MOUNTFLOW_CONFIG_DAEMON_LOADER_HPP_
#define MOUNTFLOW_CONFIG_DAEMON_LOADER_HPP_

#include <string>
#include <tl/expected.hpp>

#include "config/config_error.hpp"
#include "config/daemon_config.hpp"

namespace mountflow::config {

// A configuration, or all errors that one pass finds. An unreadable file, malformed JSON, schema violations
// and invalid settings each end the pass; errors in single sections do not.
using DaemonConfigResult = tl::expected<DaemonConfig, ConfigErrors>;

// Loads the configuration from a file. An empty name selects the embedded defaults.
[[nodiscard]] DaemonConfigResult LoadDaemon(const std::string& file);
// Loads the configuration from a text. `name` identifies the text in errors.
[[nodiscard]] DaemonConfigResult ParseDaemon(const std::string& text, const std::string& name);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_DAEMON_LOADER_HPP_
