#include "platform/node_watch.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace mountflow::platform {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr double kMicrosPerMilli = 1000.0;
constexpr double kMaxStartMillis = 9e12;  // start times from this value on are ignored as invalid

using Code = NodeListError::Code;

tl::unexpected<NodeListError> Unusable(Code code, std::size_t event, std::string got) {
  return tl::unexpected<NodeListError>({code, event, std::move(got)});
}

// Returns the JSON type of a member for error messages, "nothing" if it is absent.
std::string TypeOf(const json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? "nothing" : it->type_name();
}

std::optional<std::uint64_t> WholeNumber(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::optional<std::string> Text(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_string()) return std::nullopt;
  return it->get_ref<const std::string&>();
}

void ReadStart(const json& entry, ListedNode* node) {
  const auto since = entry.find("since_ms");
  if (since == entry.end() || !since->is_number()) return;
  const auto millis = since->get<double>();
  if (!std::isfinite(millis) || millis <= 0 || millis >= kMaxStartMillis) return;
  node->started_at = static_cast<Micros>(millis * kMicrosPerMilli);
}

// Reads the member `free`, an array of two numbers: free cores and free memory.
void ReadFreeCapacity(const json& entry, ListedNode* node) {
  const auto free = entry.find("free");
  if (free == entry.end() || !free->is_array() || free->size() != 2) return;
  if (!(*free)[0].is_number() || !(*free)[1].is_number()) return;
  node->free_cores = (*free)[0].get<double>();
  node->free_memory = (*free)[1].get<double>();
}

// Reads an entry of the node list. Returns nothing if it has no name or no status. The other members may be
// absent, for example for a node that was removed.
std::optional<ListedNode> ReadEntry(const json& entry) {
  if (!entry.is_object()) return std::nullopt;
  std::optional<std::string> name = Text(entry, "name");
  std::optional<std::string> status = Text(entry, "status");
  if (!name || name->empty() || !status) return std::nullopt;
  ListedNode node;
  node.name = std::move(*name);
  node.status = std::move(*status);
  node.address = Text(entry, "address").value_or("");
  node.zone = Text(entry, "zone").value_or("");
  node.kind = Text(entry, "type").value_or("");
  node.rack = static_cast<unsigned>(WholeNumber(entry, "group").value_or(0));
  ReadStart(entry, &node);
  ReadFreeCapacity(entry, &node);
  return node;
}

// Reads the member `fleet` of the event at `index` in the reply.
tl::expected<void, NodeListError> ReadListMember(const json& list, std::size_t index, NodeListEvent* change) {
  if (!list.is_object()) return Unusable(Code::kListNotAnObject, index, list.type_name());
  const auto snapshot = list.find("snapshot");
  change->whole = snapshot != list.end() && snapshot->is_boolean() && snapshot->get<bool>();
  const auto entries = list.find("endpoints");
  if (entries == list.end() || !entries->is_array()) {
    return Unusable(Code::kNoEndpoints, index, TypeOf(list, "endpoints"));
  }
  if (entries->size() > kMaxNodes) {
    return Unusable(Code::kTooManyNodes, index, std::to_string(entries->size()));
  }
  for (const json& entry : *entries) {
    if (std::optional<ListedNode> node = ReadEntry(entry)) change->nodes.push_back(std::move(*node));
  }
  return {};
}

}  // namespace

std::string Describe(const NodeListError& error) {
  const std::string event = "results[" + std::to_string(error.event) + "]";
  const auto sentence = [&]() -> std::string {
    switch (error.code) {
      case Code::kNotAnObject:
        return "reply: expected a JSON object";
      case Code::kNoResults:
        return "results: expected an array";
      case Code::kNoNumber:
        return event + ".seq: expected a whole number";
      case Code::kListNotAnObject:
        return event + ".fleet: expected an object";
      case Code::kNoEndpoints:
        return event + ".fleet.endpoints: expected an array";
      case Code::kTooManyNodes:
        return event + ".fleet.endpoints: expected at most " + std::to_string(kMaxNodes) + " entries";
    }
    return "reply: expected events of the node list";
  };
  return sentence() + ", got " + error.got;
}

tl::expected<NodeListEvents, NodeListError> ReadNodeListEvents(const json& reply, std::uint64_t since) {
  NodeListEvents events;
  events.last = since;
  if (!reply.is_object()) return Unusable(Code::kNotAnObject, 0, reply.type_name());
  const auto results = reply.find("results");
  if (results == reply.end() || !results->is_array()) {
    return Unusable(Code::kNoResults, 0, TypeOf(reply, "results"));
  }
  for (std::size_t i = 0; i < results->size(); ++i) {
    const json& event = (*results)[i];
    if (!event.is_object()) return Unusable(Code::kNoNumber, i, event.type_name());
    const std::optional<std::uint64_t> number = WholeNumber(event, "seq");
    if (!number) return Unusable(Code::kNoNumber, i, TypeOf(event, "seq"));
    if (*number <= events.last) continue;
    NodeListEvent change;
    change.number = *number;
    const auto list = event.find("fleet");
    if (list != event.end()) {
      const auto read = ReadListMember(*list, i, &change);
      if (!read) return tl::unexpected(read.error());
    }
    if (!change.whole && change.number != events.last + 1) {
      events.gap = true;
      return events;
    }
    events.last = change.number;
    if (list != event.end()) events.changes.push_back(std::move(change));
  }
  return events;
}

std::vector<NodeListEvent> NodeWatch::Take() { return std::exchange(changes_, {}); }

void NodeWatch::SetAddress(Micros now, const std::string& address) {
  address_ = address;
  if (conn_ != 0) transport_->Close(std::exchange(conn_, 0), false);
  poll_delay_ = 0;
  Connect(now);
}

void NodeWatch::Connect(Micros now) {
  connected_ = false;
  reader_.emplace(http::Reader::Side::kReplies, kMaxReplyBytes);
  conn_ = transport_->Connect(address_);
  due_ = now + kWatchConnectTimeout;
}

void NodeWatch::Poll(Micros now) {
  const std::string target =
      "/changes?since=" + std::to_string(last_) + "&timeout=" + std::to_string(kLongPollTimeout / 1000);
  transport_->Send(conn_, http::WriteRequest("GET", target, {{"Host", address_}}, ""));
  due_ = now + kLongPollTimeout + kReplyGracePeriod;
}

void NodeWatch::OnConnected(Micros now, ConnId conn) {
  if (!Owns(conn)) return;
  connected_ = true;
  Poll(now);
}

void NodeWatch::CloseAndRetry(Micros now, const std::string& reason) {
  transport_->Log({logging::LogEvent::kNodeListPollFailed,
                   {{logging::kAddressField, address_},
                    {logging::kLastEventField, last_},
                    {logging::kReasonField, reason}}});
  if (conn_ != 0) transport_->Close(std::exchange(conn_, 0), false);
  connected_ = false;
  due_ = now + poll_delay_;
  poll_delay_ = std::min(kMaxPollDelay, std::max(kMinPollDelay, poll_delay_ * 2));
}

bool NodeWatch::HandleReply(Micros now, const http::Message& reply) {
  if (reply.status != kStatusOk) {
    CloseAndRetry(now, "reply: expected status 200, got " + std::to_string(reply.status));
    return false;
  }
  auto events = ReadNodeListEvents(json::parse(reply.body, nullptr, false), last_);
  if (!events) {
    CloseAndRetry(now, Describe(events.error()));
    return false;
  }
  if (events->last != last_) poll_delay_ = 0;
  last_ = events->last;
  std::move(events->changes.begin(), events->changes.end(), std::back_inserter(changes_));
  if (events->gap) {
    if (++gaps_ >= kMaxGaps) {
      last_ = 0;  // requests the complete list
      gaps_ = 0;
    }
    CloseAndRetry(now, "an event number is missing");
    return false;
  }
  gaps_ = 0;
  poll_delay_ = 0;
  return true;
}

std::optional<http::Message> NodeWatch::NextReply() {
  if (reader_->messages().empty()) return std::nullopt;
  http::Message reply = std::move(reader_->messages().front());
  reader_->messages().pop_front();
  return reply;
}

void NodeWatch::OnBytes(Micros now, ConnId conn, std::string_view bytes) {
  if (!Owns(conn)) return;
  const bool valid = reader_->Feed(bytes);
  bool keep_alive = true;
  while (const std::optional<http::Message> reply = NextReply()) {
    keep_alive = reply->keep_alive;
    if (!HandleReply(now, *reply)) return;
    if (keep_alive) Poll(now);
  }
  if (!valid) return CloseAndRetry(now, reader_->error());
  if (!keep_alive) CloseAndRetry(now, "the service closes the connection after its reply");
}

void NodeWatch::OnClosed(Micros now, ConnId conn) {
  if (!Owns(conn)) return;
  conn_ = 0;
  // A body without a length is complete only when the connection ends. A truncated body is rejected because
  // it is not valid JSON.
  reader_->Finish();
  if (const std::optional<http::Message> reply = NextReply()) {
    if (!HandleReply(now, *reply)) return;
  }
  CloseAndRetry(now, connected_ ? "the connection ended" : "connecting failed");
}

void NodeWatch::Tick(Micros now) {
  if (now < due_) return;
  if (conn_ != 0) return CloseAndRetry(now, connected_ ? "the poll timed out" : "connecting timed out");
  Connect(now);
}

}  // namespace mountflow::platform
