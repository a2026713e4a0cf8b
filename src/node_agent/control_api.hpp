// The HTTP control API of a host, for chaos tests:
//   GET /v1/nodes               lists the nodes and their state
//   PUT /v1/nodes/NAME/kill     resets connections, loses tasks and reports; the entry is removed or expires
//   PUT /v1/nodes/NAME/start    starts a new incarnation, which warms up
//   PUT /v1/nodes/NAME/drain    rejects further attempts; undrain reverts this
//   PUT /v1/nodes/NAME/undrain
//   PUT /v1/nodes/NAME/slow?factor=F    decisions and starts take F times as long
//   PUT /v1/nodes/NAME/fail?queue=Q     commits of tasks of queue Q fail; with an empty Q, none fails
//   PUT /v1/nodes/NAME/hang     the node accepts bytes but sends no reply; unhang reverts this
//   PUT /v1/nodes/NAME/unhang
#ifndef MOUNTFLOW_NODE_AGENT_CONTROL_API_HPP_
#define MOUNTFLOW_NODE_AGENT_CONTROL_API_HPP_

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "node_agent/hosted_node.hpp"

namespace mountflow::node_agent {

using HostedNodes = std::map<std::string, std::unique_ptr<HostedNode>>;  // by name

// Handles the requests of the control API. The loop and the nodes must outlive this object.
class ControlApi {
 public:
  ControlApi(event_loop::EventLoop* loop, const HostedNodes* nodes) : loop_(loop), nodes_(nodes) {}
  // Carries out the request and returns the encoded HTTP reply.
  [[nodiscard]] std::string Handle(const http::Message& request) const;

 private:
  struct Response;
  struct Route;  // an action on a node and its handler
  static const Route kRoutes[];
  [[nodiscard]] Response Answer(const http::Message& request) const;
  [[nodiscard]] Response ListNodes() const;

  [[nodiscard]] Response Kill(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Start(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Drain(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Undrain(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Slow(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Fail(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Hang(HostedNode* node, const http::Message& request) const;
  [[nodiscard]] Response Unhang(HostedNode* node, const http::Message& request) const;

  event_loop::EventLoop* loop_;
  const HostedNodes* nodes_;
};

// Serves the control API on the connections that the event loop accepts. The loop and the nodes must outlive
// this object.
class ControlServer : public event_loop::ConnectionHandler {
 public:
  ControlServer(event_loop::EventLoop* loop, const HostedNodes* nodes) : loop_(loop), api_(loop, nodes) {}
  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId connection,
                  const event_loop::PeerInfo& peer) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  event_loop::EventLoop* loop_;
  ControlApi api_;
  std::map<event_loop::ConnId, http::Reader> readers_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_CONTROL_API_HPP_
