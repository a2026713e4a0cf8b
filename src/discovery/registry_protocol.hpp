// Interface through which a registry client talks to one kind of registry. A protocol encodes requests and
// decodes replies into events for the client. It performs no I/O and reads no clock. The client manages the
// connection and decides what to read from which endpoint.
//
// After each call of another function the client calls NextEvent until it returns nothing. Events are decoded
// one at a time. If an event makes the client reset the connection, the client calls Reset, and everything
// received after that event is discarded.
#ifndef MOUNTFLOW_DISCOVERY_REGISTRY_PROTOCOL_HPP_
#define MOUNTFLOW_DISCOVERY_REGISTRY_PROTOCOL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "discovery/endpoint_selector.hpp"
#include "discovery/entry.hpp"
#include "discovery/state.hpp"
#include "http/message.hpp"

namespace mountflow::discovery {

// Bytes for the client to send.
struct SendRequest {
  std::string bytes;
  bool is_stream = false;  // pass the body of the reply to ReceiveStream as it arrives
};

// All pairs of the registry at one revision. Ends the read.
struct FullRead {
  std::uint64_t revision = 0;
  std::vector<KeyValue> pairs;
};

// A message of a watch. The read continues.
struct WatchProgress {
  std::uint64_t store_revision = 0;  // revision of the endpoint when it sent the message
  bool is_created = false;   // first message of the watch; changes up to store_revision are yet to come
  bool is_fragment = false;  // more fragments of this revision follow; only the last one carries `changes`
  std::vector<KeyChange> changes;
};

// The read ended because the revisions that it requires have been compacted.
struct ReadCompacted {};

// The endpoint belongs to a different cluster than before.
struct ClusterChanged {
  bool is_read_invalid = false;  // the current read began on the old cluster and must be restarted
};

// The read has failed.
struct ReadFailed {
  std::string reason;
  // True if the endpoint answered, but with unusable data or an error. False if the connection failed.
  bool is_rejection = false;
};

using ProtocolEvent =
    std::variant<SendRequest, FullRead, WatchProgress, ReadCompacted, ClusterChanged, ReadFailed>;

// Encodes the requests of reads and decodes their replies. It handles one read at a time.
class RegistryProtocol {
 public:
  RegistryProtocol() = default;
  RegistryProtocol(const RegistryProtocol&) = delete;
  RegistryProtocol& operator=(const RegistryProtocol&) = delete;
  virtual ~RegistryProtocol() = default;

  // Starts a read over an established connection.
  virtual void StartRead(const ReadStep& step) = 0;
  // Handles a complete reply. A streamed reply is passed with an empty body when it has ended.
  virtual void ReceiveReply(const http::Message& reply) = 0;
  // Handles a part of the body of a streamed reply.
  virtual void ReceiveStream(std::string_view bytes) = 0;
  // Returns the next event, or nothing if there is none yet.
  [[nodiscard]] virtual std::optional<ProtocolEvent> NextEvent() = 0;
  // Discards the current read because its connection was closed.
  virtual void Reset() = 0;
  // Reports whether the current read is waiting for an authentication token.
  [[nodiscard]] virtual bool IsAuthenticating() const = 0;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRY_PROTOCOL_HPP_
