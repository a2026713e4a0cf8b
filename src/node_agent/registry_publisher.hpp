// Writes node list entries as plain keys of a Consul registry, without a lease.
#ifndef MOUNTFLOW_NODE_AGENT_REGISTRY_PUBLISHER_HPP_
#define MOUNTFLOW_NODE_AGENT_REGISTRY_PUBLISHER_HPP_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "node_agent/host_options.hpp"
#include "tls/keys.hpp"

namespace mountflow::node_agent {

// Writes only the latest value of each entry, and repeats lost writes. The loop, the options and the keys
// must outlive this object.
class RegistryPublisher : public event_loop::ConnectionHandler {
 public:
  RegistryPublisher(event_loop::EventLoop* loop, const NodeHostOptions& options, tls::Keys* keys)
      : loop_(loop), options_(options), keys_(keys) {}

  // Sets the wanted value of a node's entry; with an empty value the entry is deleted. If `immediately` is
  // set, the write does not wait for the end of the publish period.
  void SetEntry(const std::string& node, const std::string& value, bool immediately);
  // Reports whether the registry has confirmed the wanted values of all entries.
  [[nodiscard]] bool AllWritten() const;
  // Sends the writes that are due.
  void Dispatch();
  // Returns when Dispatch() is due; the maximum value if no write is due or writes are in flight.
  [[nodiscard]] Micros NextTimer() const;

  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  struct Entry {
    std::string wanted, written;
    bool is_set = false;
    Micros next_write_at = 0;
  };
  struct Write {
    std::string node, value;
  };
  void Connect();
  void SendWrite(const Write& write);

  event_loop::EventLoop* loop_;
  const NodeHostOptions& options_;
  tls::Keys* keys_;
  std::map<std::string, Entry> entries_;
  std::deque<Write> in_flight_;  // in the order of the expected replies
  event_loop::ConnId connection_ = 0;
  Micros next_attempt_at_ = 0;
  std::unique_ptr<http::Reader> reader_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_REGISTRY_PUBLISHER_HPP_
