#include "config/daemon_config.hpp"

namespace mountflow::config {
namespace {

constexpr char kNodeUserPrefix[] = "mountflowd@";

}  // namespace

void SetDaemonName(const std::string& name, DaemonConfig* config) {
  config->job_manager.server = name;
  config->node_sessions.user = kNodeUserPrefix + name;
}

}  // namespace mountflow::config
