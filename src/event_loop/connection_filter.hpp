// What stands between a connection's bytes and its handler, sans-I/O: TLS.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_

#include <string>
#include <string_view>

namespace mountflow::event_loop {

class ConnectionFilter {
 public:
  virtual ~ConnectionFilter() = default;
  // Once, when the connection stands: what is to be sent first goes to `out`.
  virtual void Start(std::string* out) = 0;
  // Bytes of the other side. What they say is appended to `plain`, what must be sent to `out`. False when
  // nothing more can come: error() says why. What was appended counts all the same.
  virtual bool Receive(std::string_view bytes, std::string* plain, std::string* out) = 0;
  // Only when ready. False: nothing more can be sent.
  virtual bool Send(std::string_view plain, std::string* out) = 0;
  // The last bytes of an orderly end.
  virtual void Finish(std::string* out) = 0;
  virtual bool ready() const = 0;
  virtual const std::string& error() const = 0;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_FILTER_HPP_
