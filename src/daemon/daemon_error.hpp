// Errors that prevent the daemon from starting.
#ifndef MOUNTFLOW_DAEMON_DAEMON_ERROR_HPP_
#define MOUNTFLOW_DAEMON_DAEMON_ERROR_HPP_

#include <string>
#include <tl/expected.hpp>

namespace mountflow::daemon {

enum class DaemonErrorCode {
  kLogFile,  // the log file cannot be opened
  kTlsKeys,  // the key files for the registry cannot be loaded
  kListen,   // a listening socket cannot be opened on an address
  // The state directory cannot be opened, or a record in it is damaged or contradicts the configuration.
  kStorage,
};

struct DaemonError {
  DaemonErrorCode code = DaemonErrorCode::kStorage;
  std::string place;   // file, address or directory; empty if `detail` contains it
  std::string detail;  // the expected and the actual value or condition
};

// Returns the error as "PLACE: DETAIL" for the log or the terminal.
[[nodiscard]] std::string Describe(const DaemonError& error);

using DaemonStatus = tl::expected<void, DaemonError>;

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_DAEMON_ERROR_HPP_
