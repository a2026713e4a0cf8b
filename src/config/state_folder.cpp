#include "config/state_folder.hpp"

namespace mountflow::config {
namespace {

// The XDG base directory specification requires that paths that are not absolute are ignored.
bool IsAbsolute(const char* path) { return path != nullptr && path[0] == '/'; }

}  // namespace

std::string StateFolder(const char* xdg_state_home, const char* home, const std::string& name) {
  if (IsAbsolute(xdg_state_home)) return std::string(xdg_state_home) + "/mountflow/" + name;
  if (IsAbsolute(home)) return std::string(home) + "/.local/state/mountflow/" + name;
  return "";
}

}  // namespace mountflow::config
