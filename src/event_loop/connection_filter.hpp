// A transformation between the bytes on a connection and those its handler sees, such as TLS.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mountflow::event_loop {

// Does no I/O itself. One object per connection, owned by the event loop and called from its thread alone.
class ConnectionFilter {
 public:
  virtual ~ConnectionFilter() = default;
  // Called once, when the connection is established: what must be sent first is appended to `out`.
  virtual void Start(std::string* out) = 0;
  // Takes bytes from the peer. What they decode to is appended to `plain`, what must be sent in reply to
  // `out`. False when nothing more can come: error() says why. What was appended counts all the same.
  virtual bool Receive(std::string_view bytes, std::string* plain, std::string* out) = 0;
  // Encodes `plain` to `out`. Only when ready. False when nothing more can be sent: error() says why.
  virtual bool Send(std::string_view plain, std::string* out) = 0;
  // Appends the last bytes of an orderly close.
  virtual void Finish(std::string* out) = 0;
  // Whether the handshake is complete.
  virtual bool ready() const = 0;
  virtual const std::string& error() const = 0;
};

// Makes a filter for each accepted connection; null when it can make none, and the connection is reset.
using FilterFactory = std::function<std::unique_ptr<ConnectionFilter>()>;

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_
