// Carries the connections of the node sessions over the event loop.
#ifndef MOUNTFLOW_DAEMON_NODE_CONNECTIONS_HPP_
#define MOUNTFLOW_DAEMON_NODE_CONNECTIONS_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "daemon/cpu_profile.hpp"
#include "event_loop/event_loop.hpp"
#include "node_sessions/node_sessions.hpp"

namespace mountflow::daemon {

// Not thread-safe: used by the event loop's thread alone. The pointers must outlive it.
class NodeConnections : public event_loop::ConnectionHandler {
 public:
  NodeConnections(event_loop::EventLoop* loop, node_sessions::NodeSessions* sessions, CpuProfile* profile)
      : loop_(loop), sessions_(sessions), profile_(profile) {}

  // Opens, writes and closes connections, in this order.
  void CarryOut(const std::vector<node_sessions::SessionAction>& actions);

  void OnConnected(event_loop::ConnId connection) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  event_loop::EventLoop* loop_;
  node_sessions::NodeSessions* sessions_;
  CpuProfile* profile_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_NODE_CONNECTIONS_HPP_
