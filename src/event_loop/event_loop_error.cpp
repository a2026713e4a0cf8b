#include "event_loop/event_loop_error.hpp"

namespace mountflow::event_loop {

std::string Describe(const EventLoopError& error) {
  switch (error.code) {
    case EventLoopErrorCode::kInvalidAddress:
      return "'" + error.address + "': expected IP:PORT";
    case EventLoopErrorCode::kListenFailed:
      return error.address + ": " + error.system_error.message();
  }
  return error.address;
}

bool IsConnectionRefused(const std::string& reason) {
  return reason == std::make_error_code(std::errc::connection_refused).message();
}

}  // namespace mountflow::event_loop
