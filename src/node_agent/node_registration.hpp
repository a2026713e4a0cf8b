// Maintains the node list entries of a host's nodes, with or without leases.
#ifndef MOUNTFLOW_NODE_AGENT_NODE_REGISTRATION_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_REGISTRATION_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "discovery/registrar.hpp"
#include "discovery/registrar_connection.hpp"
#include "event_loop/event_loop.hpp"
#include "job_manager/messages.hpp"
#include "node_agent/host_options.hpp"
#include "node_agent/registry_publisher.hpp"
#include "tls/keys.hpp"

namespace mountflow::node_agent {

// Publishes changes of the nodes to the registry. The loop, the options and the keys must outlive this
// object.
class NodeRegistration {
 public:
  NodeRegistration(event_loop::EventLoop* loop, const NodeHostOptions& options, tls::Keys* keys);

  // Updates the entry of a node. Must be called in each turn of the loop for each node, without an entry if
  // the node is down. A change of state is written immediately, other changes once per publish period.
  // Without a lease, the entry of a node that is down is removed. With a lease it expires, as if the node had
  // died, unless the host stops. Returns when the next call is due.
  [[nodiscard]] Micros Update(const std::string& node, const std::optional<job_manager::ListedNode>& entry,
                              bool host_stops);
  // Sends the writes that are due. Returns when the next call is due.
  [[nodiscard]] Micros Dispatch();
  // Reports whether the registry has confirmed all entries.
  [[nodiscard]] bool AllWritten() const;

 private:
  enum class State { kUnknown, kDown, kDraining, kReady };
  struct Published {
    State state = State::kUnknown;
    Micros next_update_at = 0;
  };
  struct Lease {
    Lease(event_loop::EventLoop* loop, discovery::RegistrarOptions options, std::uint64_t seed,
          tls::Keys* keys);
    discovery::Registrar registrar;
    discovery::RegistrarConnection connection;
  };
  void Publish(const std::string& node, const std::optional<job_manager::ListedNode>& entry, bool immediately,
               bool host_stops);
  Lease& LeaseOf(const std::string& node);

  event_loop::EventLoop* loop_;
  const NodeHostOptions& options_;
  tls::Keys* keys_;
  std::map<std::string, Published> published_;
  std::unique_ptr<RegistryPublisher> publisher_;          // used without leases
  std::map<std::string, std::unique_ptr<Lease>> leases_;  // by node
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_REGISTRATION_HPP_
