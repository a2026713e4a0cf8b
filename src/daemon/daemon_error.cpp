#include "daemon/daemon_error.hpp"

namespace mountflow::daemon {

std::string Describe(const DaemonError& error) {
  return error.place.empty() ? error.detail : error.place + ": " + error.detail;
}

}  // namespace mountflow::daemon
