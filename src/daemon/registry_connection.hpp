// Connects a registry client to its TCP connection on the event loop.
#ifndef MOUNTFLOW_DAEMON_REGISTRY_CONNECTION_HPP_
#define MOUNTFLOW_DAEMON_REGISTRY_CONNECTION_HPP_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "discovery/client.hpp"
#include "event_loop/event_loop.hpp"
#include "tls/keys.hpp"

namespace mountflow::daemon {

// Carries out the I/O actions of a registry client, which has one connection at a time. Not thread-safe: may
// be used by the event loop's thread only. All pointers must outlive this object.
class RegistryConnection : public event_loop::ConnectionHandler {
 public:
  // `on_closed` is called after the client has handled the close of its connection; it may be empty.
  RegistryConnection(event_loop::EventLoop* loop, discovery::RegistryClient* client, tls::Keys* keys,
                     std::function<void()> on_closed)
      : loop_(loop), client_(client), keys_(keys), on_closed_(std::move(on_closed)) {}

  // Runs the client's timers and carries out its actions. Must be called after each turn of the event loop.
  void Poll();

  void OnConnected(event_loop::ConnId connection) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  void CarryOut(const discovery::ClientAction& action);

  event_loop::EventLoop* loop_;
  discovery::RegistryClient* client_;
  tls::Keys* keys_;
  std::function<void()> on_closed_;
  event_loop::ConnId connection_ = 0;  // 0 if not connected
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_REGISTRY_CONNECTION_HPP_
