// Reads keys (/v1/kv) or the instances of a service (/v1/health) through Consul's HTTP interface. Consul
// answers each blocking read with the whole list, so following changes is a full read that blocks until the
// list changes.
#ifndef MOUNTFLOW_DISCOVERY_CONSUL_PROTOCOL_HPP_
#define MOUNTFLOW_DISCOVERY_CONSUL_PROTOCOL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/registry_options.hpp"
#include "discovery/registry_protocol.hpp"

namespace mountflow::discovery {

// The RegistryProtocol of Consul.
class ConsulProtocol : public RegistryProtocol {
 public:
  ConsulProtocol(const ClientOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  void StartRead(const ReadStep& step) override;
  void ReceiveReply(const http::Message& reply) override;
  void ReceiveStream(std::string_view /*bytes*/) override {}
  [[nodiscard]] std::optional<ProtocolEvent> NextEvent() override;
  void Reset() override { event_.reset(); }
  [[nodiscard]] bool IsAuthenticating() const override { return false; }

 private:
  // Returns the request target: path and query.
  [[nodiscard]] std::string Target(const ReadStep& step);
  // Returns `longest`, shortened by a random amount of up to an eighth.
  [[nodiscard]] Micros RandomizeWait(Micros longest);
  [[nodiscard]] ProtocolEvent DecodeReply(const http::Message& reply) const;

  const ClientOptions options_;
  std::uint64_t random_;
  std::optional<ProtocolEvent> event_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_CONSUL_PROTOCOL_HPP_
