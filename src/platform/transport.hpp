// What the parts of the platform's program ask of whoever owns the sockets: the daemon's shell in service, a
// script in tests. Connections are numbered; a number never comes again.
#ifndef MOUNTFLOW_PLATFORM_TRANSPORT_HPP_
#define MOUNTFLOW_PLATFORM_TRANSPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "mountflow/scheduler.hpp"

namespace mountflow::platform {

using ConnId = std::uint64_t;      // 0: none
using RequestUid = std::uint64_t;  // the 16 hex digits that name a set-up
inline constexpr Micros kNever = ~Micros{0};
inline constexpr std::size_t kMaxMessageBytes = 16 << 10;  // bytes of one message, on either wire

class Transport {
 public:
  virtual ~Transport() = default;
  // The part that asked is told later that the connection stands, or that it is closed.
  virtual ConnId Connect(const std::string& address) = 0;
  virtual void Send(ConnId conn, std::string_view bytes) = 0;
  virtual bool AllWritten(ConnId conn) const = 0;  // it stands, and the kernel has all that was sent
  // Its other end has closed it, or it is no more; what was sent before that may still wait to be read.
  virtual bool HungUp(ConnId conn) const = 0;
  // No word of a connection comes after this. With `flush` what was sent is still written first.
  virtual void Close(ConnId conn, bool flush) = 0;
  virtual void Log(const std::string& line) = 0;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_TRANSPORT_HPP_
