// Hosts one or more nodes in a process. Each node has a port for the batch protocol, sends reports to daemons
// and has an entry in the node list; the host serves the control API. All nodes of a rack must be in the same
// host, because the host stores the rack's idempotency keys.
#ifndef MOUNTFLOW_NODE_AGENT_NODE_HOST_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_HOST_HPP_

#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "node_agent/control_api.hpp"
#include "node_agent/host_options.hpp"
#include "node_agent/hosted_node.hpp"
#include "node_agent/node_registration.hpp"
#include "tls/keys.hpp"
#include "tls/tls_error.hpp"

namespace mountflow::node_agent {

// An address that cannot be bound, or key files that cannot be loaded.
using NodeHostError = std::variant<event_loop::EventLoopError, tls::TlsError>;
[[nodiscard]] std::string Describe(const NodeHostError& error);

// Runs the nodes and the control API on the event loop, which must outlive this object.
class NodeHost {
 public:
  NodeHost(event_loop::EventLoop* loop, NodeHostOptions options, std::vector<HostedNodeConfig> nodes);

  // Starts all nodes and the control API. Must be called once only.
  [[nodiscard]] tl::expected<void, NodeHostError> Start();
  // Removes the entries from the node list, and ends the loop when the removal is confirmed or a timeout
  // expires. Tasks are not drained.
  void Stop();

  [[nodiscard]] int control_port() const;
  [[nodiscard]] int PortOf(const std::string& node) const;  // 0 if there is no such node

 private:
  [[nodiscard]] tl::expected<void, NodeHostError> StartNodes();
  [[nodiscard]] tl::expected<void, NodeHostError> StartControlServer();
  // Sends all due output and sets the main timer. Called after each turn of the loop.
  void Dispatch();
  [[nodiscard]] Micros DispatchKeys();
  [[nodiscard]] Micros DispatchNode(const std::string& name, HostedNode* node);

  event_loop::EventLoop* loop_;
  const NodeHostOptions options_;
  const std::vector<HostedNodeConfig> configs_;
  tls::Keys registry_keys_;
  std::map<std::string, std::shared_ptr<IdempotencyKeyStore>> rack_keys_;  // by rack
  HostedNodes nodes_;
  ControlServer control_server_;
  event_loop::ListenerId control_listener_ = 0;
  NodeRegistration registration_;
  bool stopping_ = false;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_HOST_HPP_
