#include "node_agent/registry_publisher.hpp"

#include <algorithm>
#include <limits>

namespace mountflow::node_agent {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr std::size_t kMaxWritesInFlight = 32;  // registries limit requests in flight as well
constexpr Micros kReconnectBackoff = 300'000;
constexpr std::size_t kMaxReplyBytes = 1 << 16;
constexpr int kHttpOk = 200;

}  // namespace

void RegistryPublisher::SetEntry(const std::string& node, const std::string& value, bool immediately) {
  Entry& entry = entries_[node];
  if (entry.wanted == value && entry.is_set) return;
  entry.wanted = value;
  entry.is_set = true;
  if (immediately) entry.next_write_at = 0;
}

bool RegistryPublisher::AllWritten() const {
  return std::all_of(entries_.begin(), entries_.end(),
                     [](const auto& entry) { return entry.second.written == entry.second.wanted; });
}

void RegistryPublisher::Dispatch() {
  const Micros now = loop_->Now();
  if (!in_flight_.empty() || now < next_attempt_at_) return;
  for (auto& [node, entry] : entries_) {
    if (entry.written == entry.wanted || now < entry.next_write_at) continue;
    if (in_flight_.size() >= kMaxWritesInFlight) break;
    if (connection_ == 0) Connect();
    entry.next_write_at = now + options_.publish_period;
    in_flight_.push_back({node, entry.wanted});
    SendWrite(in_flight_.back());
  }
}

void RegistryPublisher::Connect() {
  connection_ =
      loop_->Connect(options_.node_list_address, this, 0, keys_->Session(options_.node_list_address));
  reader_ = std::make_unique<http::Reader>(http::Reader::Side::kReplies, kMaxReplyBytes);
}

void RegistryPublisher::SendWrite(const Write& write) {
  const char* const method = write.value.empty() ? "DELETE" : "PUT";
  const std::string path = "/v1/kv/" + http::EncodeUrl(options_.entry_prefix + write.node);
  loop_->Send(connection_, http::WriteRequest(method, path, {{"Host", "registry"}}, write.value));
}

Micros RegistryPublisher::NextTimer() const {
  if (!in_flight_.empty()) return kNever;
  Micros next = kNever;
  for (const auto& [node, entry] : entries_) {
    if (entry.written != entry.wanted) next = std::min(next, std::max(entry.next_write_at, next_attempt_at_));
  }
  return next;
}

void RegistryPublisher::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  if (connection != connection_) return;
  reader_->Feed(bytes);
  while (!reader_->messages().empty() && !in_flight_.empty()) {
    const Write& write = in_flight_.front();
    if (reader_->messages().front().status == kHttpOk) entries_[write.node].written = write.value;
    reader_->messages().pop_front();
    in_flight_.pop_front();
  }
}

void RegistryPublisher::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  if (connection != connection_) return;
  connection_ = 0;
  in_flight_.clear();
  next_attempt_at_ = loop_->Now() + kReconnectBackoff;
}

}  // namespace mountflow::node_agent
