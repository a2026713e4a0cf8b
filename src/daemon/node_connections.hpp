// Connects the node sessions to TCP connections of the event loop.
#ifndef MOUNTFLOW_DAEMON_NODE_CONNECTIONS_HPP_
#define MOUNTFLOW_DAEMON_NODE_CONNECTIONS_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "daemon/cpu_profile.hpp"
#include "event_loop/event_loop.hpp"
#include "node_sessions/node_sessions.hpp"

namespace mountflow::daemon {

// Carries out the I/O actions of the node sessions and reports received bytes to them. Not thread-safe: may
// be used by the event loop's thread only. All pointers must outlive this object.
class NodeConnections : public event_loop::ConnectionHandler {
 public:
  NodeConnections(event_loop::EventLoop* loop, node_sessions::NodeSessions* sessions, CpuProfile* profile)
      : loop_(loop), sessions_(sessions), profile_(profile) {}

  // Opens, writes to and closes connections, in the order of `actions`.
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
