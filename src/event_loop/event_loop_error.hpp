// Errors of opening a listener.
#ifndef MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_ERROR_HPP_
#define MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_ERROR_HPP_

#include <cstdint>
#include <string>
#include <system_error>

namespace mountflow::event_loop {

enum class EventLoopErrorCode : std::uint8_t {
  kInvalidAddress,  // not IP:PORT
  kListenFailed,    // a system call failed; `system_error` has the cause
};

// The error of EventLoop::Listen.
struct EventLoopError {
  EventLoopErrorCode code = EventLoopErrorCode::kInvalidAddress;
  std::string address;           // as passed by the caller
  std::error_code system_error;  // set for kListenFailed only
};

// Returns the error as text for operators.
[[nodiscard]] std::string Describe(const EventLoopError& error);

// Reports whether `reason`, the text passed to OnClosed for a connection that was never established, means
// that no process listens on the address.
[[nodiscard]] bool IsConnectionRefused(const std::string& reason);

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_ERROR_HPP_
