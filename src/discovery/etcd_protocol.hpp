// Reads keys through etcd's JSON gateway: a full read is a range read in pages, and following is a watch. If
// a user is configured, the protocol first exchanges user and password for a token.
#ifndef MOUNTFLOW_DISCOVERY_ETCD_PROTOCOL_HPP_
#define MOUNTFLOW_DISCOVERY_ETCD_PROTOCOL_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/etcd.hpp"
#include "discovery/registry_options.hpp"
#include "discovery/registry_protocol.hpp"

namespace mountflow::discovery {

// The RegistryProtocol of etcd.
class EtcdProtocol : public RegistryProtocol {
 public:
  explicit EtcdProtocol(const ClientOptions& options) : options_(options) {}

  void StartRead(const ReadStep& step) override;
  void ReceiveReply(const http::Message& reply) override;
  void ReceiveStream(std::string_view bytes) override { stream_.append(bytes); }
  [[nodiscard]] std::optional<ProtocolEvent> NextEvent() override;
  void Reset() override;
  [[nodiscard]] bool IsAuthenticating() const override { return is_authenticating_; }

 private:
  void SendRead();
  void Post(const std::string& path, const std::string& body, bool is_stream);
  void ReceiveToken(const http::Message& reply);
  void ReceivePage(const http::Message& reply);
  void ReceiveFailure(const http::Message& reply);
  void Fail(const std::string& reason) { events_.emplace_back(ReadFailed{reason, true}); }
  [[nodiscard]] std::optional<ProtocolEvent> NextWatchEvent();
  void DecodeWatchMessage(std::string_view message);
  void AddFragment(EtcdWatch watch);
  void ClearRead();
  // Records the cluster ID of a reply. Reports whether it differs from the one recorded before; an ID of 0 is
  // ignored.
  [[nodiscard]] bool IsOtherCluster(std::uint64_t cluster);

  const ClientOptions options_;
  ReadStep step_;
  bool is_authenticating_ = false;
  std::string token_;          // empty: must be requested before the next read if a user is configured
  std::uint64_t cluster_ = 0;  // 0: unknown
  std::deque<ProtocolEvent> events_;

  // State of a full read. All pages are read at the revision of the first one; the watch that follows
  // delivers later changes.
  std::vector<KeyValue> pages_;
  std::uint64_t pages_revision_ = 0;  // 0: no page received yet

  // State of a watch.
  std::string stream_;                // received bytes; one JSON object per line
  std::size_t decoded_bytes_ = 0;     // length of the part of stream_ that is decoded already
  std::vector<KeyChange> fragments_;  // changes of a revision whose last fragment has not arrived
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_ETCD_PROTOCOL_HPP_
