#include "tools/chaos/recording_proxy.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace mountflow::chaos {
namespace {

constexpr std::size_t kMaxHeldBytes = 8 << 20;  // per connection; a connection that exceeds it is cut

}  // namespace

RecordingProxy::RecordingProxy(event_loop::EventLoop* loop, MessageLogWriter* log, ProxyPoint point,
                               std::string peer)
    : loop_(loop), log_(log), point_(point), peer_(std::move(peer)), node_list_(loop, log, peer_) {}

tl::expected<void, event_loop::EventLoopError> RecordingProxy::Listen() {
  auto listener = loop_->Listen("127.0.0.1:0", this);
  if (!listener) return tl::unexpected(std::move(listener.error()));
  listener_ = *listener;
  return {};
}

std::string RecordingProxy::address() const {
  return "127.0.0.1:" + std::to_string(loop_->PortOf(listener_));
}

void RecordingProxy::SetNodeListCallback(std::function<void(std::size_t)> callback) {
  node_list_.on_node_list = std::move(callback);
}

json RecordingProxy::ConnectionFields(const Relay& relay) const {
  return {{"tap", NameOf(point_)}, {"who", peer_}, {"conn", relay.number}};
}

void RecordingProxy::OnAccepted(event_loop::ListenerId, event_loop::ConnId connection,
                                const event_loop::PeerInfo&) {
  if (control_.reject_connections) return loop_->Abort(connection);
  const std::uint64_t number = ++last_number_;
  Relay& relay = relays_[number];
  relay.number = number;
  relay.client = connection;
  relay.server = loop_->Connect(upstream_, this);
  relay_of_connection_[relay.client] = number;
  relay_of_connection_[relay.server] = number;
  if (point_ == ProxyPoint::kNodeList) {
    relay.node_list = std::make_unique<NodeListConnection>(&node_list_);
    node_list_.ForgetLogged();
  }
  if (LogsConnections()) log_->Write(loop_->Now(), "open", ConnectionFields(relay));
}

void RecordingProxy::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const auto it = relay_of_connection_.find(connection);
  if (it == relay_of_connection_.end()) return;
  Relay& relay = relays_.at(it->second);
  const bool is_request = connection == relay.client;
  LogMessages(&relay, is_request, bytes);
  const Micros now = loop_->Now();
  const Micros due = now + (is_request ? 0 : control_.reply_delay);
  (is_request ? relay.to_server : relay.to_client).push_back({due, std::string(bytes)});
  relay.held_bytes += bytes.size();
  if (relay.held_bytes > kMaxHeldBytes) return CloseRelay(relay.number);
  if (due > now) ForwardLater(relay.number, due);
  Forward(&relay);
}

// Logs the messages in the received bytes. Replies of the registry are instead decoded when they are
// forwarded to the daemon, see ForwardReplies().
void RecordingProxy::LogMessages(Relay* relay, bool is_request, std::string_view bytes) {
  if (point_ == ProxyPoint::kNodeList) {
    if (is_request) relay->node_list->OnRequestBytes(bytes);
    return;
  }
  if (relay->is_malformed) return;
  if (is_request) {
    relay->undecoded_requests.append(bytes);
    LogDecoded<pbs_protocol::Request>(relay, "ask", &relay->undecoded_requests);
  } else {
    relay->undecoded_replies.append(bytes);
    LogDecoded<pbs_protocol::Reply>(relay, "reply", &relay->undecoded_replies);
  }
}

template <typename Message>
void RecordingProxy::LogDecoded(Relay* relay, const char* kind, std::string* undecoded) {
  std::size_t used = 0;
  for (;;) {
    Message message;
    const pbs_protocol::DecodeResult result =
        pbs_protocol::Decode(std::string_view{*undecoded}.substr(used), &message);
    if (result.state != pbs_protocol::DisState::kOk) {
      relay->is_malformed = result.state == pbs_protocol::DisState::kBad;
      break;
    }
    used += result.used;
    json fields = ConnectionFields(*relay);
    fields.update(LogFields(message));
    log_->Write(loop_->Now(), kind, std::move(fields));
  }
  undecoded->erase(0, used);
}

void RecordingProxy::Forward(Relay* relay) {
  const Micros now = loop_->Now();
  while (!control_.hold_requests && !relay->to_server.empty() && relay->to_server.front().due <= now) {
    relay->held_bytes -= relay->to_server.front().bytes.size();
    loop_->Send(relay->server, relay->to_server.front().bytes);
    relay->to_server.pop_front();
  }
  ForwardReplies(relay);
}

void RecordingProxy::ForwardReplies(Relay* relay) {
  const Micros now = loop_->Now();
  while (!control_.hold_replies && !relay->to_client.empty() && relay->to_client.front().due <= now) {
    std::string& front = relay->to_client.front().bytes;
    std::size_t size = front.size();
    if (control_.reply_piece_size != 0) {
      const Micros next_piece_at = relay->last_piece_at + kReplyPieceInterval;
      if (now < next_piece_at) return ForwardLater(relay->number, next_piece_at);
      relay->last_piece_at = now;
      size = std::min(size, control_.reply_piece_size);
    }
    if (reply_bytes_until_cut_ != 0) size = std::min(size, reply_bytes_until_cut_);
    const std::string bytes = front.substr(0, size);
    front.erase(0, size);
    if (front.empty()) relay->to_client.pop_front();
    relay->held_bytes -= size;
    if (relay->node_list) relay->node_list->OnReplyBytes(bytes);
    loop_->Send(relay->client, bytes);
    if (reply_bytes_until_cut_ == 0) continue;
    reply_bytes_until_cut_ -= size;
    if (reply_bytes_until_cut_ == 0) return CloseAfterSent(relay->number);
  }
}

void RecordingProxy::CloseAfterSent(std::uint64_t number) {
  loop_->Close(relays_.at(number).client, true);
  CloseRelay(number);
}

void RecordingProxy::ForwardLater(std::uint64_t number, Micros due) {
  loop_->AddTimer(due, [this, number, alive = std::weak_ptr<int>(alive_)] {
    if (alive.expired()) return;
    const auto it = relays_.find(number);
    if (it != relays_.end()) Forward(&it->second);
  });
}

void RecordingProxy::SetControl(const TrafficControl& control) {
  control_ = control;
  std::vector<std::uint64_t> numbers;  // a copy, because Forward() may close a relay
  numbers.reserve(relays_.size());
  for (const auto& [number, relay] : relays_) numbers.push_back(number);
  for (const std::uint64_t number : numbers) Forward(&relays_.at(number));
}

void RecordingProxy::CloseRelay(std::uint64_t number) {
  const auto it = relays_.find(number);
  if (it == relays_.end()) return;
  const Relay& relay = it->second;
  if (LogsConnections()) log_->Write(loop_->Now(), "close", ConnectionFields(relay));
  loop_->Abort(relay.client);
  loop_->Abort(relay.server);
  relay_of_connection_.erase(relay.client);
  relay_of_connection_.erase(relay.server);
  relays_.erase(it);
}

void RecordingProxy::CutAll() {
  while (!relays_.empty()) CloseRelay(relays_.begin()->first);
}

// Forwards the bytes received before the close, unless that direction is held, and closes the other side.
void RecordingProxy::OnClosed(event_loop::ConnId connection, const std::string&) {
  const auto it = relay_of_connection_.find(connection);
  if (it == relay_of_connection_.end()) return;
  Relay& relay = relays_.at(it->second);
  const bool by_client = connection == relay.client;
  if (by_client && !control_.hold_requests) {
    for (const Chunk& chunk : relay.to_server) loop_->Send(relay.server, chunk.bytes);
    loop_->Close(relay.server, true);
  }
  if (!by_client && !control_.hold_replies) {
    for (const Chunk& chunk : relay.to_client) loop_->Send(relay.client, chunk.bytes);
    loop_->Close(relay.client, true);
  }
  CloseRelay(relay.number);
}

}  // namespace mountflow::chaos
