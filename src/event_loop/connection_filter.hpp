// Interface for transforming the bytes between a socket and its connection handler, as TLS does.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mountflow::event_loop {

// Transforms the bytes of one connection. Does no I/O itself. Each connection has its own filter object,
// which the event loop owns and calls from its thread only.
class ConnectionFilter {
 public:
  virtual ~ConnectionFilter() = default;
  // Appends the first bytes to send, if any, to `out`. Called once, when the connection is established.
  virtual void Start(std::string* out) = 0;
  // Processes bytes from the peer. Appends the decoded bytes to `plain` and the bytes to send in reply to
  // `out`. Returns false if no more bytes can be received; error() has the reason. The appended bytes are
  // valid in that case too.
  virtual bool Receive(std::string_view bytes, std::string* plain, std::string* out) = 0;
  // Appends the encoded form of `plain` to `out`. Call it only when ready(). Returns false if no more bytes
  // can be sent; error() has the reason.
  virtual bool Send(std::string_view plain, std::string* out) = 0;
  // Appends the bytes that end the connection in an orderly way to `out`.
  virtual void Finish(std::string* out) = 0;
  // Reports whether the handshake is complete.
  virtual bool ready() const = 0;
  virtual const std::string& error() const = 0;
};

// Creates the filter of an accepted connection. If it returns null, the connection is reset.
using FilterFactory = std::function<std::unique_ptr<ConnectionFilter>()>;

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_
