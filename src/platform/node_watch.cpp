#include "platform/node_watch.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace mountflow::platform {
namespace {

using nlohmann::json;

bool Whole(const json& object, const char* key, std::uint64_t* to) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_unsigned()) return false;
  *to = it->get<std::uint64_t>();
  return true;
}

bool Text(const json& object, const char* key, std::string* to) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_string()) return false;
  *to = it->get_ref<const std::string&>();
  return true;
}

// An entry that lacks its name or state says nothing; the rest may be absent where a machine has gone.
bool ReadEntry(const json& entry, ListedNode* machine) {
  if (!entry.is_object() || !Text(entry, "name", &machine->name) || machine->name.empty()) return false;
  if (!Text(entry, "status", &machine->status)) return false;
  Text(entry, "address", &machine->address);
  Text(entry, "zone", &machine->zone);
  Text(entry, "type", &machine->kind);
  std::uint64_t number = 0;
  if (Whole(entry, "group", &number)) machine->rack = static_cast<unsigned>(number);
  if (const auto since = entry.find("since_ms"); since != entry.end() && since->is_number()) {
    const double ms = since->get<double>();
    if (std::isfinite(ms) && ms > 0 && ms < 9e12) machine->started_at = static_cast<Micros>(ms * 1000.0);
  }
  if (const auto free = entry.find("free"); free != entry.end() && free->is_array() && free->size() == 2 &&
                                            (*free)[0].is_number() && (*free)[1].is_number()) {
    machine->free_cores = (*free)[0].get<double>();
    machine->free_memory = (*free)[1].get<double>();
  }
  return true;
}

}  // namespace

bool ReadChanges(const json& reply, std::uint64_t since, std::vector<NodeListChange>* changes,
                 std::uint64_t* last, bool* gap) {
  *last = since;
  *gap = false;
  if (!reply.is_object()) return false;
  const auto results = reply.find("results");
  if (results == reply.end() || !results->is_array()) return false;
  for (const json& event : *results) {
    NodeListChange change;
    if (!event.is_object() || !Whole(event, "seq", &change.number)) return false;
    if (change.number <= *last) continue;
    const auto fleet = event.find("fleet");
    if (fleet != event.end()) {
      if (!fleet->is_object()) return false;
      const auto whole = fleet->find("snapshot");
      change.whole = whole != fleet->end() && whole->is_boolean() && whole->get<bool>();
      const auto entries = fleet->find("endpoints");
      if (entries == fleet->end() || !entries->is_array() || entries->size() > kMaxNodes) return false;
      for (const json& entry : *entries) {
        ListedNode machine;
        if (ReadEntry(entry, &machine)) change.nodes.push_back(std::move(machine));
      }
    }
    if (!change.whole && change.number != *last + 1) {
      *gap = true;
      return true;
    }
    *last = change.number;
    if (fleet != event.end()) changes->push_back(std::move(change));
  }
  return true;
}

std::vector<NodeListChange> NodeWatch::Take() { return std::exchange(changes_, {}); }

void NodeWatch::Follow(Micros now, const std::string& address) {
  address_ = address;
  if (conn_ != 0) port_->Close(std::exchange(conn_, 0), false);
  wait_ = 0;
  Connect(now);
}

void NodeWatch::Connect(Micros now) {
  up_ = false;
  reader_.emplace(http::Reader::Side::kReplies, kMaxReplyBytes);
  conn_ = port_->Connect(address_);
  due_ = now + kConnectWait;
}

void NodeWatch::Ask(Micros now) {
  const std::string target =
      "/changes?since=" + std::to_string(last_) + "&timeout=" + std::to_string(kAskedWait / 1000);
  port_->Send(conn_, http::WriteRequest("GET", target, {{"Host", address_}}, ""));
  due_ = now + kAskedWait + kLate;
}

void NodeWatch::OnConnected(Micros now, ConnId conn) {
  if (!Owns(conn)) return;
  up_ = true;
  Ask(now);
}

void NodeWatch::Break(Micros now, const std::string& why) {
  port_->Log("change log at " + address_ + ": asked again after " + std::to_string(last_) + ": " + why);
  if (conn_ != 0) port_->Close(std::exchange(conn_, 0), false);
  up_ = false;
  due_ = now + wait_;
  wait_ = std::min(kAskMost, std::max(kAskFirst, wait_ * 2));
}

bool NodeWatch::TakeReply(Micros now, const http::Message& reply) {
  const json read = reply.status == 200 ? json::parse(reply.body, nullptr, false) : json();
  std::uint64_t last = last_;
  bool gap = false;
  std::vector<NodeListChange> changes;
  if (!ReadChanges(read, last_, &changes, &last, &gap)) {
    Break(now, "a reply that cannot be used, status " + std::to_string(reply.status));
    return false;
  }
  if (last != last_) wait_ = 0;
  last_ = last;
  std::move(changes.begin(), changes.end(), std::back_inserter(changes_));
  if (gap) {
    if (++gaps_ >= kGapTries) last_ = 0, gaps_ = 0;  // from the whole list on
    Break(now, "a number is missing");
    return false;
  }
  gaps_ = 0;
  wait_ = 0;
  return true;
}

void NodeWatch::OnBytes(Micros now, ConnId conn, std::string_view bytes) {
  if (!Owns(conn)) return;
  const bool good = reader_->Feed(bytes);
  bool keep = true;
  while (!reader_->messages().empty()) {
    const http::Message reply = std::move(reader_->messages().front());
    reader_->messages().pop_front();
    keep = reply.keep_alive;
    if (!TakeReply(now, reply)) return;
    if (keep) Ask(now);
  }
  if (!good) return Break(now, reader_->error());
  if (!keep) Break(now, "closed after its reply");
}

void NodeWatch::OnClosed(Micros now, ConnId conn) {
  if (!Owns(conn)) return;
  conn_ = 0;
  // A body that runs to the end of the connection is only now whole; what is no JSON was cut off.
  reader_->Finish();
  if (!reader_->messages().empty()) {
    const http::Message reply = std::move(reader_->messages().front());
    if (!TakeReply(now, reply)) return;
  }
  Break(now, up_ ? "the connection ended" : "no connection");
}

void NodeWatch::Tick(Micros now) {
  if (now < due_) return;
  if (conn_ != 0) return Break(now, up_ ? "no reply in time" : "no connection in time");
  Connect(now);
}

}  // namespace mountflow::platform
