// Texts that are embedded in the program.
#ifndef MOUNTFLOW_CONFIG_EMBEDDED_TEXTS_HPP_
#define MOUNTFLOW_CONFIG_EMBEDDED_TEXTS_HPP_

namespace mountflow::config {

// The default configuration, for a small installation on one node, with which the program starts without a
// file. JSON with comments, as printed by `mountflowd --show-defaults`.
extern const char kDefaultDaemon[];

// The JSON schema of the daemon's configuration: its keys, their types and their bounds.
extern const char kDaemonSchema[];

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_EMBEDDED_TEXTS_HPP_
