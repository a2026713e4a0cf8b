// Consul's interface: full and blocking reads of keys (/v1/kv) or of the instances of a service (/v1/health).
// A change is told by the whole list, so that following is a full read that waits.
#ifndef MOUNTFLOW_DISCOVERY_CONSUL_PROTOCOL_HPP_
#define MOUNTFLOW_DISCOVERY_CONSUL_PROTOCOL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "discovery/registry_options.hpp"
#include "discovery/registry_protocol.hpp"

namespace mountflow::discovery {

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
  [[nodiscard]] std::string Target(const ReadStep& step);
  // At most `longest`, and an eighth less at the least.
  [[nodiscard]] Micros DrawWait(Micros longest);
  [[nodiscard]] ProtocolEvent DecodeReply(const http::Message& reply) const;

  const ClientOptions options_;
  std::uint64_t random_;
  std::optional<ProtocolEvent> event_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_CONSUL_PROTOCOL_HPP_
