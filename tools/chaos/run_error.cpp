#include "tools/chaos/run_error.hpp"

namespace mountflow::chaos {

std::string Describe(const RunError& error) {
  switch (error.code) {
    case RunError::Code::kMessageLog:
    case RunError::Code::kListen:
      return error.detail;
    case RunError::Code::kCannotStart:
      return error.program + " cannot be started: " + error.detail;
    case RunError::Code::kNotReady:
      return "not all parts came up in time";
    case RunError::Code::kUnexpectedFirstLine:
      return "unexpected first line of a daemon: " + error.detail;
    case RunError::Code::kUnexpectedEnd:
      return error.program + " ended unexpectedly (see " + error.detail + ")";
    case RunError::Code::kUncleanStop:
      return error.program + " did not end with status 0 after SIGTERM: " + error.detail;
    case RunError::Code::kConfigNotWritten:
      return error.detail + " cannot be written";
  }
  return error.detail;
}

}  // namespace mountflow::chaos
