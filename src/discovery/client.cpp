#include "discovery/client.hpp"

#include <algorithm>
#include <utility>

#include "discovery/consul_protocol.hpp"
#include "discovery/etcd_protocol.hpp"

namespace mountflow::discovery {
namespace {

constexpr std::size_t kMaxWarnings = 256;  // stored until TakeWarnings() is called
constexpr int kStreamStatus = 200;

EndpointSelectorOptions SelectorOptions(const ClientOptions& options) {
  // Consul adds a random amount of up to a sixteenth to the wait of a blocking read.
  constexpr Micros kMaxJitterDivisor = 16;
  EndpointSelectorOptions selector = options.endpoint_selector;
  selector.endpoint_count = options.endpoints.size();
  if (options.kind == RegistryKind::kConsul) {
    selector.follow_timeout = options.wait + options.wait / kMaxJitterDivisor + selector.full_read_timeout;
  }
  return selector;
}

std::unique_ptr<RegistryProtocol> MakeProtocol(const ClientOptions& options, std::uint64_t seed) {
  if (options.kind == RegistryKind::kEtcd) return std::make_unique<EtcdProtocol>(options);
  return std::make_unique<ConsulProtocol>(options, seed);
}

}  // namespace

RegistryClient::RegistryClient(ClientOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      selector_(SelectorOptions(options_), seed),
      protocol_(MakeProtocol(options_, seed)),
      coalescer_(options_.min_interval) {}

// ---- Output ----

std::vector<RegistryWarning> RegistryClient::TakeWarnings() { return std::exchange(warnings_, {}); }

std::vector<job_manager::NodeListEvent> RegistryClient::TakeEvents() { return std::exchange(events_, {}); }

NodeListStatus RegistryClient::Status(Micros now) const {
  NodeListStatus status = status_;
  status.known = coalescer_.has_published();
  status.current = IsFollowing() && is_connected_;
  status.endpoint = options_.endpoints[selector_.endpoint()];
  status.revision = state_.revision();
  status.age = confirmed_at_ == 0 ? 0 : now - std::min(now, confirmed_at_);
  status.nodes = coalescer_.node_count();
  return status;
}

void RegistryClient::Warn(RegistryWarning warning) {
  if (warnings_.size() < kMaxWarnings) warnings_.push_back(std::move(warning));
}

void RegistryClient::Warn(RegistryWarning::Code code, std::uint64_t revision) {
  RegistryWarning warning;
  warning.code = code;
  warning.endpoint = options_.endpoints[step_.endpoint];
  warning.revision = revision;
  Warn(std::move(warning));
}

// ---- Timers ----

void RegistryClient::Tick(Micros now) {
  if (selector_.IsOverdue(now)) HandleConnectionFailure(now, "no answer in time");
  StartNextRead(now);
  PublishEvent(now);
}

Micros RegistryClient::NextTimer() const {
  Micros next = selector_.NextTimer();
  if (!is_reading_ && IsRateLimited()) next = std::max(next, read_sent_at_ + options_.min_interval);
  if (const auto event_due = coalescer_.NextTimer()) next = std::min(next, *event_due);
  return next;
}

void RegistryClient::StartFullRead(Micros now) {
  if (IsFollowing()) ResetConnection();
  selector_.RequestFullRead(now);
  Tick(now);
}

bool RegistryClient::IsRateLimited() const {
  return options_.kind == RegistryKind::kConsul && read_sent_at_ != 0;
}

bool RegistryClient::IsFollowing() const {
  return is_reading_ && step_.kind == ReadKind::kFollow && !protocol_->IsAuthenticating();
}

// ---- Reads ----

void RegistryClient::StartNextRead(Micros now) {
  if (is_reading_) return;
  if (IsRateLimited() && now < read_sent_at_ + options_.min_interval) return;
  const ReadStep step = selector_.StartNextRead(now);
  if (step.kind == ReadKind::kNone) return;
  step_ = step;
  is_reading_ = true;
  const bool is_reusable = is_open_ && open_endpoint_ == step.endpoint;
  if (!is_reusable) return OpenEndpoint(step.endpoint);
  if (is_connected_) SendRead(now);
}

void RegistryClient::OpenEndpoint(std::size_t endpoint) {
  if (is_open_) actions_.emplace_back(CloseConnection{});
  is_open_ = true;
  is_connected_ = false;
  open_endpoint_ = endpoint;
  reader_ = std::make_unique<http::Reader>(http::Reader::Side::kReplies, options_.max_reply_bytes);
  actions_.emplace_back(OpenConnection{options_.endpoints[endpoint]});
}

void RegistryClient::SendRead(Micros now) {
  read_sent_at_ = now;
  protocol_->StartRead(step_);
  ProcessEvents(now);
}

// ---- Connection events ----

void RegistryClient::Connected(Micros now) {
  is_connected_ = true;
  if (is_reading_) SendRead(now);
}

void RegistryClient::Received(Micros now, std::string_view bytes) {
  if (!is_open_ || !reader_) return;
  selector_.NoteActivity(now);
  if (!reader_->Feed(bytes)) return HandleConnectionFailure(now, "expected " + reader_->error());
  ProcessEvents(now);
  while (is_open_ && reader_ && !reader_->messages().empty()) {
    const http::Message reply = std::move(reader_->messages().front());
    reader_->messages().pop_front();
    HandleReply(now, reply);
  }
  Tick(now);
}

void RegistryClient::Closed(Micros now, const std::string& reason) {
  if (!is_open_) return;
  is_open_ = false;  // already closed: ResetConnection must not close it
  is_connected_ = false;
  if (!is_reading_) return ResetConnection();
  HandleConnectionFailure(now, reason);
  Tick(now);
}

void RegistryClient::ResetConnection() {
  if (is_open_) actions_.emplace_back(CloseConnection{});
  is_open_ = false;
  is_connected_ = false;
  is_reading_ = false;
  reader_.reset();
  protocol_->Reset();
}

// ---- Protocol events ----

void RegistryClient::HandleReply(Micros now, const http::Message& reply) {
  if (!is_reading_) return HandleConnectionFailure(now, "expected no reply here");
  protocol_->ReceiveReply(reply);
  ProcessEvents(now);
  if (!reply.keep_alive && is_open_ && !is_reading_) ResetConnection();
}

struct RegistryClient::EventHandler {
  RegistryClient* client;
  Micros now;

  void operator()(SendRequest request) const {
    if (request.is_stream) {
      client->reader_->Stream(kStreamStatus, [protocol = client->protocol_.get()](std::string_view part) {
        protocol->ReceiveStream(part);
      });
    }
    client->actions_.emplace_back(SendBytes{std::move(request.bytes)});
  }
  void operator()(FullRead read) const { client->HandleFullRead(now, std::move(read)); }
  void operator()(WatchProgress progress) const { client->HandleWatchProgress(now, std::move(progress)); }
  void operator()(const ReadCompacted& /*event*/) const { client->HandleCompaction(now); }
  void operator()(const ClusterChanged& change) const { client->HandleClusterChange(now, change); }
  void operator()(const ReadFailed& failure) const { client->HandleReadFailure(now, failure); }
};

// Invariant: each event is handled before the next one is decoded, and no event is handled after one that
// ended the read. Therefore the state of the protocol (cluster ID, fragments of a revision) never advances
// past events that the selector has not seen.
void RegistryClient::ProcessEvents(Micros now) {
  while (is_reading_) {
    auto event = protocol_->NextEvent();
    if (!event) return;
    std::visit(EventHandler{this, now}, std::move(*event));
  }
}

void RegistryClient::HandleConnectionFailure(Micros now, const std::string& reason) {
  HandleReadFailure(now, {reason, false});
}

void RegistryClient::HandleReadFailure(Micros now, const ReadFailed& failure) {
  ResetConnection();
  ++status_.breaks;
  if (failure.is_rejection) {
    selector_.OnRejection(now);
  } else {
    selector_.OnConnectionFailure(now);
  }
  // A first connection failure is not reported, because it is usually retried at once.
  if (selector_.failures() <= 1 && !failure.is_rejection) return;
  RegistryWarning warning;
  warning.code = RegistryWarning::Code::kReadFailed;
  warning.endpoint = options_.endpoints[step_.endpoint];
  warning.reason = failure.reason;
  warning.next_endpoint = options_.endpoints[selector_.endpoint()];
  warning.delay = selector_.NextTimer() - std::min(now, selector_.NextTimer());
  Warn(std::move(warning));
}

// The changes since the newest revision are lost, so the client reads the whole state again.
void RegistryClient::HandleCompaction(Micros now) {
  ResetConnection();
  ++status_.compactions;
  Warn(RegistryWarning::Code::kCompacted);
  selector_.OnCompaction(now);
}

void RegistryClient::HandleClusterChange(Micros now, const ClusterChanged& change) {
  Warn(RegistryWarning::Code::kClusterChanged);
  ++status_.new_histories;
  state_.ForgetRevisions();
  selector_.OnNewHistory(now);
  if (change.is_read_invalid) ResetConnection();
}

void RegistryClient::HandleWatchProgress(Micros now, WatchProgress progress) {
  // An endpoint whose store is older than the newest revision seen may lack changes.
  if (progress.store_revision != 0 && progress.store_revision < selector_.revision()) {
    ResetConnection();
    Warn(RegistryWarning::Code::kWatchBehind, progress.store_revision);
    selector_.OnRejection(now);
    return selector_.RequestFullRead(selector_.NextTimer());
  }
  if (progress.is_fragment) return;
  std::uint64_t newest = selector_.revision();
  for (const KeyChange& change : progress.changes) newest = std::max(newest, change.revision);
  // The store's revision may be ahead of the changes in a message. A message without changes is a progress
  // notice: it confirms that there are none up to the store's revision.
  const bool is_notice = progress.changes.empty() && !progress.is_created;
  if (is_notice) newest = std::max(newest, progress.store_revision);
  selector_.OnProgress(now, newest);
  // Note: a resumed watch first confirms its creation and sends the missed changes only afterwards. The list
  // is confirmed only when these changes have arrived.
  if (progress.is_created) watch_created_revision_ = progress.store_revision;
  if (selector_.revision() >= watch_created_revision_) confirmed_at_ = now;
  if (!progress.changes.empty()) MergeChanges(state_.Apply(std::move(progress.changes)));
}

void RegistryClient::HandleFullRead(Micros now, FullRead read) {
  is_reading_ = false;
  if (read.pairs.size() > options_.max_keys) {
    const std::string reason = "expected at most " + std::to_string(options_.max_keys) + " keys";
    return HandleReadFailure(now, {reason, true});
  }
  switch (selector_.OnFullRead(now, read.revision)) {
    case ReadVerdict::kBehind:
      Warn(RegistryWarning::Code::kFullReadBehind, read.revision);
      return ResetConnection();
    case ReadVerdict::kNewHistory:
      Warn(RegistryWarning::Code::kHistoryRestarted, read.revision);
      ++status_.new_histories;
      state_.ForgetRevisions();
      break;
    case ReadVerdict::kAccepted:
      break;
  }
  if (step_.kind == ReadKind::kFull) ++status_.rereads;
  ReplaceState(now, std::move(read));
}

// ---- Known state ----

void RegistryClient::ReplaceState(Micros now, FullRead read) {
  const auto [changes, lacks_most_entries] = state_.Replace(read.revision, std::move(read.pairs));
  if (lacks_most_entries) {
    ++status_.emptied;
    Warn(RegistryWarning::Code::kMostEntriesRemoved, read.revision);
  }
  confirmed_at_ = now;
  coalescer_.OnFullRead();
  MergeChanges(changes);
}

void RegistryClient::MergeChanges(const std::vector<KeyChange>& changes) {
  for (RegistryWarning& warning : coalescer_.Merge(changes)) {
    ++status_.skipped;
    Warn(std::move(warning));
  }
}

void RegistryClient::PublishEvent(Micros now) {
  if (auto event = coalescer_.TakeEvent(now)) events_.push_back(std::move(*event));
}

}  // namespace mountflow::discovery
