#include "discovery/etcd_protocol.hpp"

#include <iterator>
#include <utility>

namespace mountflow::discovery {
namespace {

constexpr int kStatusOk = 200;
constexpr std::size_t kMaxReasonBytes = 200;

}  // namespace

void EtcdProtocol::StartRead(const ReadStep& step) {
  step_ = step;
  SendRead();
}

void EtcdProtocol::SendRead() {
  is_authenticating_ = !options_.user.empty() && token_.empty();
  if (is_authenticating_) {
    return Post("/v3/auth/authenticate", WriteAuthenticate(options_.user, options_.password), false);
  }
  ClearRead();
  if (step_.kind == ReadKind::kFull) {
    return Post("/v3/kv/range", WriteRange(options_.prefix, options_.prefix, 0, options_.page), false);
  }
  Post("/v3/watch", WriteWatch(options_.prefix, step_.after_revision + 1), true);
}

void EtcdProtocol::Post(const std::string& path, const std::string& body, bool is_stream) {
  http::HeaderFields headers = {{"Host", "registry"}, {"Content-Type", "application/json"}};
  if (!token_.empty()) headers.emplace_back("Authorization", token_);
  events_.emplace_back(SendRequest{http::WriteRequest("POST", path, headers, body), is_stream});
}

void EtcdProtocol::ClearRead() {
  pages_.clear();
  pages_revision_ = 0;
  stream_.clear();
  decoded_bytes_ = 0;
  fragments_.clear();
}

void EtcdProtocol::Reset() {
  ClearRead();
  events_.clear();
  is_authenticating_ = false;
}

std::optional<ProtocolEvent> EtcdProtocol::NextEvent() {
  if (events_.empty()) return NextWatchEvent();
  ProtocolEvent event = std::move(events_.front());
  events_.pop_front();
  return event;
}

void EtcdProtocol::ReceiveReply(const http::Message& reply) {
  // The reply to a watch is an endless stream. A complete reply means that the watch ended or was rejected.
  const bool is_watch_end = step_.kind == ReadKind::kFollow && !is_authenticating_;
  if (reply.status != kStatusOk || is_watch_end) return ReceiveFailure(reply);
  if (is_authenticating_) return ReceiveToken(reply);
  ReceivePage(reply);
}

void EtcdProtocol::ReceiveFailure(const http::Message& reply) {
  EtcdError error;
  const bool has_error = ReadError(reply.body, &error);
  if (reply.status != kStatusOk && has_error && error.IsCompacted()) {
    events_.emplace_back(ReadCompacted{});
    return;
  }
  if (has_error && error.IsTokenInvalid()) token_.clear();  // the next read requests a new one
  if (reply.status == kStatusOk) {
    events_.emplace_back(ReadFailed{"the watch ended", false});
    return;
  }
  Fail(has_error ? error.text : "status " + std::to_string(reply.status));
}

void EtcdProtocol::ReceiveToken(const http::Message& reply) {
  if (!ReadToken(reply.body, &token_)) return Fail("expected a token");
  SendRead();
}

void EtcdProtocol::ReceivePage(const http::Message& reply) {
  auto range = DecodeRange(reply.body);
  if (!range) return Fail("expected " + Describe(range.error()));
  if (IsOtherCluster(range->cluster)) {
    const bool is_read_invalid = pages_revision_ != 0;
    events_.emplace_back(ClusterChanged{is_read_invalid});
    if (is_read_invalid) return;
  }
  if (pages_revision_ == 0) pages_revision_ = range->revision;
  const bool is_last = !range->more || range->pairs.empty();
  pages_.insert(pages_.end(), std::move_iterator(range->pairs.begin()),
                std::move_iterator(range->pairs.end()));
  if (pages_.size() > options_.max_keys) {
    return Fail("expected at most " + std::to_string(options_.max_keys) + " keys");
  }
  if (!is_last) {
    const std::string next_key = pages_.back().key + std::string(1, '\0');
    return Post("/v3/kv/range", WriteRange(next_key, options_.prefix, pages_revision_, options_.page), false);
  }
  events_.emplace_back(FullRead{pages_revision_, std::exchange(pages_, {})});
}

bool EtcdProtocol::IsOtherCluster(std::uint64_t cluster) {
  if (cluster == 0 || cluster == cluster_) return false;
  const std::uint64_t previous = std::exchange(cluster_, cluster);
  return previous != 0;
}

std::optional<ProtocolEvent> EtcdProtocol::NextWatchEvent() {
  while (events_.empty()) {
    const std::size_t end = stream_.find('\n', decoded_bytes_);
    if (end == std::string::npos) break;
    const std::string message = stream_.substr(decoded_bytes_, end - decoded_bytes_);
    decoded_bytes_ = end + 1;
    if (!message.empty()) DecodeWatchMessage(message);
  }
  if (events_.empty()) {
    stream_.erase(0, std::exchange(decoded_bytes_, 0));
    if (stream_.size() <= options_.max_message_bytes) return std::nullopt;
    Fail("expected a watch message of at most " + std::to_string(options_.max_message_bytes) + " bytes");
  }
  ProtocolEvent event = std::move(events_.front());
  events_.pop_front();
  return event;
}

void EtcdProtocol::DecodeWatchMessage(std::string_view message) {
  auto watch = DecodeWatch(message);
  if (!watch) return Fail("expected " + Describe(watch.error()));
  // Note: a restored registry counts up again and soon reuses the revisions seen before for different
  // changes. Only its cluster ID reveals the restore.
  if (IsOtherCluster(watch->cluster)) {
    events_.emplace_back(ClusterChanged{true});
    return;
  }
  if (watch->canceled && watch->compact_revision != 0) {
    events_.emplace_back(ReadCompacted{});
    return;
  }
  if (watch->canceled) return Fail("the watch was cancelled: " + watch->reason.substr(0, kMaxReasonBytes));
  AddFragment(std::move(*watch));
}

// Stores the fragments of a revision until the last one has arrived. If the connection fails before that, the
// watch must resume before this revision.
void EtcdProtocol::AddFragment(EtcdWatch watch) {
  fragments_.insert(fragments_.end(), std::move_iterator(watch.events.begin()),
                    std::move_iterator(watch.events.end()));
  WatchProgress progress{watch.header_revision, watch.created, watch.fragment, {}};
  if (!watch.fragment) progress.changes = std::exchange(fragments_, {});
  events_.emplace_back(std::move(progress));
  if (watch.fragment && fragments_.size() > options_.max_keys) Fail("expected fewer events in one revision");
}

}  // namespace mountflow::discovery
