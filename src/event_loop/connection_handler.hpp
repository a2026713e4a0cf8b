// What users of the event loop implement to hear of their connections.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_HANDLER_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_HANDLER_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::event_loop {

using ConnId = std::uint64_t;
using ListenerId = std::uint64_t;

struct PeerInfo {
  std::string address;   // IP:PORT
  bool has_uid = false;  // the kernel knows the owner of the other end
  std::uint32_t uid = 0;
};

// Called from EventLoop::Run alone. Not owned by the loop: must outlive its connections. Each call may close
// or abort the connection.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void OnAccepted(ListenerId /*listener*/, ConnId /*connection*/, const PeerInfo& /*peer*/) {}
  virtual void OnConnected(ConnId /*connection*/) {}
  virtual void OnReceived(ConnId /*connection*/, std::string_view /*bytes*/) {}
  // The write buffer became empty.
  virtual void OnSent(ConnId /*connection*/) {}
  // The connection is gone, or could not be established. Not called after Close or Abort.
  virtual void OnClosed(ConnId /*connection*/, const std::string& /*reason*/) {}
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_HANDLER_HPP_
