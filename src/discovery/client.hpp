// A client that follows the node list in a Consul or etcd registry. It performs no I/O and reads no clock:
// the caller passes in the time and the received bytes, and carries out the returned actions on the
// connection.
//
// RegistryClient manages the connection and connects these parts:
//   - EndpointSelector decides which endpoint to read next, and how.
//   - RegistryProtocol encodes requests and decodes replies.
//   - RegistryState merges keys by revision.
//   - NodeListCoalescer turns changes of keys into node list events.
//
// Limits:
//   - There is at most one connection at a time.
//   - A reply has at most `max_reply_bytes`. A longer one is handled as a connection failure.
//   - A list has at most `max_keys` keys, and a watch message at most `max_message_bytes`. If an endpoint
//     exceeds one of these limits, the client warns and moves on to the next endpoint.
//   - A value has at most kMaxEntryBytes. A longer value is skipped, with one warning per revision.
//   - At most kMaxWarnings warnings are stored until the caller takes them.
#ifndef MOUNTFLOW_DISCOVERY_CLIENT_HPP_
#define MOUNTFLOW_DISCOVERY_CLIENT_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "discovery/endpoint_selector.hpp"
#include "discovery/node_list_coalescer.hpp"
#include "discovery/registry_options.hpp"
#include "discovery/registry_protocol.hpp"
#include "discovery/registry_warning.hpp"
#include "discovery/state.hpp"
#include "http/message.hpp"
#include "job_manager/messages.hpp"

namespace mountflow::discovery {

// A request to open a connection to `address`, in place of any earlier one.
struct OpenConnection {
  std::string address;
};
// A request to send `bytes` over the connection.
struct SendBytes {
  std::string bytes;
};
// A request to close the connection.
struct CloseConnection {};
using ClientAction = std::variant<OpenConnection, SendBytes, CloseConnection>;

// State and counters of a registry client. The counters start at 0 when the client is constructed.
struct NodeListStatus {
  bool known = false;    // a node list has been published since the start
  bool current = false;  // the client is following changes now
  std::string endpoint;
  std::uint64_t revision = 0;
  Micros age = 0;  // microseconds since the registry last confirmed the list; 0 if it never did
  std::size_t nodes = 0;
  std::uint64_t rereads = 0;        // full reads that were accepted
  std::uint64_t breaks = 0;         // reads that failed
  std::uint64_t compactions = 0;    // reads that failed because their revisions were compacted
  std::uint64_t new_histories = 0;  // restores from a backup and changes of cluster
  std::uint64_t skipped = 0;        // values that are not valid node entries
  std::uint64_t emptied = 0;        // reads of the whole list that lacked more than half of the known entries
};

// Maintains a copy of the registry's node list and reports its changes as events. Not thread-safe.
class RegistryClient {
 public:
  RegistryClient(ClientOptions options, std::uint64_t seed);

  // Events of the connection that the last OpenConnection action requested.
  void Connected(Micros now);
  void Received(Micros now, std::string_view bytes);
  void Closed(Micros now, const std::string& reason);
  // Handles timeouts, and starts reads and publishes events that are due.
  void Tick(Micros now);
  // Returns the time at which Tick must be called next.
  [[nodiscard]] Micros NextTimer() const;
  // Ends a follow in progress and makes the next read a full one. Starts it if it is due.
  void StartFullRead(Micros now);

  // Returns the actions for the caller to carry out, in order. The caller clears them.
  [[nodiscard]] std::vector<ClientAction>& actions() { return actions_; }
  // Returns the events published since the last call.
  std::vector<job_manager::NodeListEvent> TakeEvents();
  // Returns the warnings since the last call.
  [[nodiscard]] std::vector<RegistryWarning> TakeWarnings();
  [[nodiscard]] NodeListStatus Status(Micros now) const;
  [[nodiscard]] const RegistryState& state() const { return state_; }

 private:
  // Handles protocol events, with one overload for each type.
  struct EventHandler;

  void StartNextRead(Micros now);
  void OpenEndpoint(std::size_t endpoint);
  void SendRead(Micros now);
  void ProcessEvents(Micros now);
  void HandleReply(Micros now, const http::Message& reply);
  void HandleFullRead(Micros now, FullRead read);
  void HandleWatchProgress(Micros now, WatchProgress progress);
  void HandleCompaction(Micros now);
  void HandleClusterChange(Micros now, const ClusterChanged& change);
  void HandleConnectionFailure(Micros now, const std::string& reason);
  void HandleReadFailure(Micros now, const ReadFailed& failure);
  void ReplaceState(Micros now, FullRead read);
  void MergeChanges(const std::vector<KeyChange>& changes);
  void PublishEvent(Micros now);
  // Ends the current read and closes the connection.
  void ResetConnection();
  // Reports whether `min_interval` applies to reads. Consul sends the whole list after each change, so
  // frequent changes are coalesced by reading less often.
  [[nodiscard]] bool IsRateLimited() const;
  // Reports whether a follow is in progress and no longer waits for authentication.
  [[nodiscard]] bool IsFollowing() const;
  // Stores a warning, unless kMaxWarnings are stored already.
  void Warn(RegistryWarning warning);
  void Warn(RegistryWarning::Code code, std::uint64_t revision = 0);

  ClientOptions options_;
  EndpointSelector selector_;
  std::unique_ptr<RegistryProtocol> protocol_;
  RegistryState state_;
  NodeListCoalescer coalescer_;

  // The read in progress, or the last one.
  ReadStep step_;
  bool is_reading_ = false;
  Micros read_sent_at_ = 0;  // 0 if no read was sent yet

  // The state of the connection.
  bool is_open_ = false;
  bool is_connected_ = false;
  std::size_t open_endpoint_ = 0;
  std::unique_ptr<http::Reader> reader_;

  std::uint64_t watch_created_revision_ = 0;  // revision of the store when the last watch was created
  Micros confirmed_at_ = 0;                   // when the registry last confirmed the list; 0 if it never did
  NodeListStatus status_;                     // only the counters; Status() fills in the other fields
  std::vector<job_manager::NodeListEvent> events_;
  std::vector<ClientAction> actions_;
  std::vector<RegistryWarning> warnings_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_CLIENT_HPP_
