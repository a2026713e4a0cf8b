// Proxies between the programs of a chaos test. Each forwards the bytes of its connections, logs every
// message, and can hold, delay or cut the traffic.
#ifndef MOUNTFLOW_TOOLS_CHAOS_RECORDING_PROXY_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_RECORDING_PROXY_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "event_loop/event_loop.hpp"
#include "tools/chaos/log_entry.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/node_list_recorder.hpp"

namespace mountflow::chaos {

// The disturbances that a proxy applies to its traffic.
struct TrafficControl {
  bool hold_requests = false;
  bool hold_replies = false;
  Micros reply_delay = 0;
  bool reject_connections = false;   // new connections are reset
  std::size_t reply_piece_size = 0;  // reply bytes forwarded every kReplyPieceInterval; 0: no limit
};
// Microseconds.
inline constexpr Micros kReplyPieceInterval = 20'000;

// One listening port and the connections accepted on it. The loop and the log must outlive the proxy.
class RecordingProxy : public event_loop::ConnectionHandler {
 public:
  // `peer` is the node or daemon behind the proxy; for kNodeList, the daemon that reads the list.
  RecordingProxy(event_loop::EventLoop* loop, MessageLogWriter* log, ProxyPoint point, std::string peer);

  [[nodiscard]] tl::expected<void, event_loop::EventLoopError> Listen();
  [[nodiscard]] std::string address() const;
  void SetUpstream(std::string address) { upstream_ = std::move(address); }
  void SetControl(const TrafficControl& control);
  // Closes all connections.
  void CutAll();
  // Cuts one connection, once: the one that carries the last of the next `bytes` bytes of replies.
  void CutAfterReplyBytes(std::size_t bytes) { reply_bytes_until_cut_ = bytes; }
  // For kNodeList: `callback` is called for each list that passes, with its number of nodes.
  void SetNodeListCallback(std::function<void(std::size_t)> callback);

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId connection,
                  const event_loop::PeerInfo& peer) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  struct Chunk {
    Micros due = 0;
    std::string bytes;
  };
  // A connection from a client and the one that it is forwarded to.
  struct Relay {
    std::uint64_t number = 0;
    event_loop::ConnId client = 0;
    event_loop::ConnId server = 0;
    std::string undecoded_requests;
    std::string undecoded_replies;
    bool is_malformed = false;  // a message did not decode; bytes are forwarded but no longer logged
    std::deque<Chunk> to_server;
    std::deque<Chunk> to_client;
    std::size_t held_bytes = 0;
    Micros last_piece_at = 0;
    std::unique_ptr<NodeListConnection> node_list;
  };
  void LogMessages(Relay* relay, bool is_request, std::string_view bytes);
  template <typename Message>
  void LogDecoded(Relay* relay, const char* kind, std::string* undecoded);
  void Forward(Relay* relay);
  void ForwardReplies(Relay* relay);
  void ForwardLater(std::uint64_t number, Micros due);
  void CloseAfterSent(std::uint64_t number);
  void CloseRelay(std::uint64_t number);
  [[nodiscard]] json ConnectionFields(const Relay& relay) const;
  [[nodiscard]] bool LogsConnections() const { return point_ != ProxyPoint::kNodeList; }

  event_loop::EventLoop* loop_;
  MessageLogWriter* log_;
  ProxyPoint point_;
  std::string peer_;
  std::string upstream_;
  event_loop::ListenerId listener_ = 0;
  TrafficControl control_;
  NodeListRecorder node_list_;             // used for kNodeList
  std::size_t reply_bytes_until_cut_ = 0;  // 0: no cut planned
  std::map<std::uint64_t, Relay> relays_;
  std::map<event_loop::ConnId, std::uint64_t> relay_of_connection_;
  std::uint64_t last_number_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // observed by timers that outlive the proxy
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_RECORDING_PROXY_HPP_
