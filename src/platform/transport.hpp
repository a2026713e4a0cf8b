// The interface through which the platform's protocol code uses connections. The daemon implements Transport
// on its event loop; tests implement it with scripted fakes. The protocol code itself never accesses a
// socket.
#ifndef MOUNTFLOW_PLATFORM_TRANSPORT_HPP_
#define MOUNTFLOW_PLATFORM_TRANSPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "logging/log_record.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::platform {

// Identifies one connection. Ids are never reused. 0 means that there is no connection.
using ConnId = std::uint64_t;

// Identifies one request in the client protocol and in the node protocol. The client chooses it; in text it
// is written as 16 hexadecimal digits.
using RequestUid = std::uint64_t;

// The due time of a timer that is not set.
inline constexpr Micros kNever = ~Micros{0};

// Maximum size of a message of either protocol in bytes, including its length field or line feed.
inline constexpr std::size_t kMaxMessageBytes = 16 << 10;

// Transport opens, writes to and closes connections. All methods must be called from the event loop's thread
// and return without blocking. Results are reported by calls of OnConnected, OnBytes and OnClosed to the
// object that requested the connection. Calls with the id of a closed connection are ignored.
class Transport {
 public:
  virtual ~Transport() = default;

  // Starts to connect to `address` (IP:PORT). Either OnConnected or OnClosed is called later.
  virtual ConnId Connect(const std::string& address) = 0;

  // Queues `bytes` for sending on the connection.
  virtual void Send(ConnId conn, std::string_view bytes) = 0;

  // Reports whether the connection is open and the kernel has accepted every byte queued on it.
  virtual bool AllWritten(ConnId conn) const = 0;

  // Reports whether the peer has closed the connection or the connection no longer exists. Bytes that the
  // peer sent before it closed the connection may still be unread.
  virtual bool HungUp(ConnId conn) const = 0;

  // Closes the connection without a callback. If `flush` is true, the bytes already queued are written first.
  virtual void Close(ConnId conn, bool flush) = 0;

  // Writes one line to the daemon's log. Meant for rare events: lines beyond a limit per second are only
  // counted.
  virtual void Log(const logging::LogRecord& record) = 0;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_TRANSPORT_HPP_
