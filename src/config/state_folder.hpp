// The default folder for stored state, used if the configuration names none.
#ifndef MOUNTFLOW_CONFIG_STATE_FOLDER_HPP_
#define MOUNTFLOW_CONFIG_STATE_FOLDER_HPP_

#include <string>

namespace mountflow::config {

// Returns the path of mountflow/NAME in $XDG_STATE_HOME, or else in ~/.local/state. Null pointers represent
// unset variables. Returns an empty path if neither variable is an absolute path. The folder is not created.
[[nodiscard]] std::string StateFolder(const char* xdg_state_home, const char* home, const std::string& name);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_STATE_FOLDER_HPP_
