// Interface through which users of the event loop are notified of events on their connections.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_HANDLER_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_HANDLER_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::event_loop {

using ConnId = std::uint64_t;
using ListenerId = std::uint64_t;

// The other end of an accepted connection.
struct PeerInfo {
  std::string address;    // IP:PORT
  bool has_uid = false;   // whether `uid` is known from the kernel
  std::uint32_t uid = 0;  // user that owns the other end
};

// Receives the events of connections. Called from EventLoop::Run only. The loop does not own it, and it must
// outlive its connections. Each callback may close or abort the connection.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void OnAccepted(ListenerId /*listener*/, ConnId /*connection*/, const PeerInfo& /*peer*/) {}
  virtual void OnConnected(ConnId /*connection*/) {}
  virtual void OnReceived(ConnId /*connection*/, std::string_view /*bytes*/) {}
  // Called when the write buffer has become empty.
  virtual void OnSent(ConnId /*connection*/) {}
  // Called when the connection was closed by the peer, failed or could not be established. Not called after
  // Close or Abort.
  virtual void OnClosed(ConnId /*connection*/, const std::string& /*reason*/) {}
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_HANDLER_HPP_
