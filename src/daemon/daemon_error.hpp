// Errors that keep the daemon from starting.
#ifndef MOUNTFLOW_DAEMON_DAEMON_ERROR_HPP_
#define MOUNTFLOW_DAEMON_DAEMON_ERROR_HPP_

#include <string>
#include <tl/expected.hpp>

namespace mountflow::daemon {

enum class DaemonErrorCode {
  kLogFile,  // cannot be opened
  kTlsKeys,  // the key files for the registry cannot be loaded
  kListen,   // an address cannot be listened on
  kStorage,  // the state directory cannot be opened, or a record in it is damaged or does not fit the
             // configuration
};

struct DaemonError {
  DaemonErrorCode code = DaemonErrorCode::kStorage;
  std::string place;   // file, address or directory; empty when `detail` names it
  std::string detail;  // what was expected, and what came
};

// "PLACE: DETAIL".
[[nodiscard]] std::string Describe(const DaemonError& error);

using DaemonStatus = tl::expected<void, DaemonError>;

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_DAEMON_ERROR_HPP_
