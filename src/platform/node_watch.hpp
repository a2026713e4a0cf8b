// A watch on the node list of the discovery service. The service publishes numbered events; the watch reads
// them by long poll over HTTP/1.1 and resumes after the last number it has received.
#ifndef MOUNTFLOW_PLATFORM_NODE_WATCH_HPP_
#define MOUNTFLOW_PLATFORM_NODE_WATCH_HPP_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "http/message.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// Limits of the size of a reply in bytes and of the number of entries of an event.
inline constexpr std::size_t kMaxReplyBytes = 2 << 20;
inline constexpr std::size_t kMaxNodes = 4096;

// Time for which the service may hold a poll open, in microseconds. It is short because events are missed
// while the service is silent, and a silent service is detected only after this time plus kReplyGracePeriod.
inline constexpr Micros kLongPollTimeout = 1'000'000;
// Additional time for a reply to arrive before the connection is considered broken.
inline constexpr Micros kReplyGracePeriod = 600'000;
inline constexpr Micros kWatchConnectTimeout = 500'000;

// Bounds of the backoff between connections. After a first failure the watch reconnects immediately; after
// further ones the delay doubles from the minimum up to the maximum.
inline constexpr Micros kMinPollDelay = 20'000;
inline constexpr Micros kMaxPollDelay = 400'000;

// Number of consecutive replies with a gap in the event numbers after which the complete list is requested.
inline constexpr int kMaxGaps = 3;

// One entry of the node list, with the names and status texts of the service.
struct ListedNode {
  std::string name, address, zone, kind, status;
  unsigned rack = 0;
  Micros started_at = 0;  // 0 if unknown
  double free_cores = 0.0, free_memory = 0.0;
};

// One event of the platform's change log. It identifies nodes by name and address. The batch daemon's
// counterpart is job_manager::NodeListEvent; both are converted to the scheduler's NodeListUpdate, which
// identifies nodes by id only.
struct NodeListEvent {
  std::uint64_t number = 0;
  bool whole = false;  // true for a snapshot of the list, false for a delta
  std::vector<ListedNode> nodes;
};

// The events of one reply.
struct NodeListEvents {
  std::vector<NodeListEvent> changes;  // new events, in order
  std::uint64_t last = 0;              // number of the event to resume after
  bool gap = false;                    // an event number was missing; the events after it were discarded
};

// The reason why a reply cannot be used.
struct NodeListError {
  enum class Code {
    kNotAnObject,      // the reply is not a JSON object
    kNoResults,        // `results` is absent or not an array
    kNoNumber,         // `seq` of an event is absent or not an unsigned integer
    kListNotAnObject,  // `fleet` of an event is not an object
    kNoEndpoints,      // `fleet.endpoints` is absent or not an array
    kTooManyNodes      // `fleet.endpoints` has more than kMaxNodes entries
  };
  Code code = Code::kNotAnObject;
  std::size_t event = 0;  // index in `results`, if the code refers to an event
  std::string got;        // the JSON type or the number of entries that was received
};

// Returns an error text such as "results[2].seq: expected a whole number, got string".
std::string Describe(const NodeListError& error);

// Reads a reply of the service, or the member `known` of the configuration: {"seq":N,"results":[...]}. Events
// with numbers up to `since` are skipped. The number of a delta must be one more than that of the event
// before it; a snapshot may have any higher number. An entry without a name or status is skipped; its other
// members are optional.
tl::expected<NodeListEvents, NodeListError> ReadNodeListEvents(const nlohmann::json& reply,
                                                               std::uint64_t since);

// NodeWatch keeps one long poll open and collects the received events. Not thread-safe: all calls must come
// from the event loop's thread.
//
//   - A broken connection is opened again, the first time immediately and then with backoff.
//   - A poll without a reply after kLongPollTimeout + kReplyGracePeriod is treated as a broken connection.
//   - An event whose number was received before is skipped. After a gap in the numbers the watch polls again
//     from the last number received, and after kMaxGaps consecutive gaps from the beginning.
//
// Bounds: one connection, kMaxReplyBytes per reply, kMaxNodes entries per event.
class NodeWatch {
 public:
  // Creates a watch that resumes after event number `since`. `transport` must outlive the watch.
  NodeWatch(std::string address, std::uint64_t since, Transport* transport)
      : address_(std::move(address)), last_(since), transport_(transport) {}

  // Changes the address of the service. The watch resumes after the last number received from the old
  // address.
  void SetAddress(Micros now, const std::string& address);

  // Reports whether the connection belongs to the watch. Callbacks for other connections are ignored.
  bool Owns(ConnId conn) const { return conn != 0 && conn == conn_; }
  void OnConnected(Micros now, ConnId conn);
  void OnBytes(Micros now, ConnId conn, std::string_view bytes);
  void OnClosed(Micros now, ConnId conn);

  // Handles timeouts and reconnects. Must be called at NextDue() or soon after.
  void Tick(Micros now);
  Micros NextDue() const { return due_; }

  // Returns and clears the events received since the last call. Events of incomplete replies are not
  // included.
  std::vector<NodeListEvent> Take();

  // Returns the number of the last event received.
  std::uint64_t last() const { return last_; }

 private:
  void Connect(Micros now);
  void Poll(Micros now);
  // Logs `reason`, closes the connection and schedules a reconnect.
  void CloseAndRetry(Micros now, const std::string& reason);
  // Returns false if the reply could not be used and the connection was closed.
  bool HandleReply(Micros now, const http::Message& reply);
  std::optional<http::Message> NextReply();

  std::string address_;
  std::uint64_t last_;
  Transport* transport_;
  ConnId conn_ = 0;
  bool connected_ = false;
  Micros due_ = 0;         // time to connect, or time at which the current connection or poll times out
  Micros poll_delay_ = 0;  // backoff before the next connection
  int gaps_ = 0;           // consecutive replies with a gap
  std::optional<http::Reader> reader_;
  std::vector<NodeListEvent> changes_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_WATCH_HPP_
