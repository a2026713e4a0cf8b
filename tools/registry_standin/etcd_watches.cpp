#include "tools/registry_standin/etcd_watches.hpp"

#include <algorithm>
#include <utility>

#include "discovery/entry.hpp"

namespace mountflow::registry_standin {

using nlohmann::json;

json EtcdWatches::NewResult() const { return {{"header", cluster_->Header()}, {"watch_id", "0"}}; }

void EtcdWatches::Send(ConnectionId connection, const json& result) {
  replies_->push_back({connection, WriteStreamMessage(result)});
}

void EtcdWatches::Start(Micros now, ConnectionId connection, const json& create_request) {
  Watch watch;
  watch.connection = connection;
  watch.range = RangeOf(create_request);
  watch.next_revision = NumberOf(create_request, "start_revision");
  if (watch.next_revision == 0) watch.next_revision = cluster_->store.revision() + 1;
  watch.wants_progress = create_request.value("progress_notify", false);
  watch.allows_fragments = create_request.value("fragment", false);
  watch.last_sent_at = now;
  replies_->push_back({connection, WriteStreamHead()});
  json created = NewResult();
  created["created"] = true;
  Send(connection, created);
  const Revision compacted = cluster_->store.compacted();
  if (watch.next_revision <= compacted) {
    json cancelled = NewResult();
    cancelled["canceled"] = true;
    cancelled["compact_revision"] = NumberText(compacted);
    Send(connection, cancelled);
    return;
  }
  watches_.push_back(std::move(watch));
  SendChangesTo(now, &watches_.back());
}

void EtcdWatches::Forget(ConnectionId connection) {
  std::erase_if(watches_, [connection](const Watch& watch) { return watch.connection == connection; });
}

void EtcdWatches::CloseAll() {
  for (const Watch& watch : watches_) replies_->push_back({watch.connection, "", true});
  watches_.clear();
}

json EtcdWatches::ChangeToJson(const KeyValueStore::Change& change) const {
  json pair = {{"key", discovery::Base64(change.key)}, {"mod_revision", NumberText(change.revision)}};
  if (change.removed) return {{"kv", std::move(pair)}, {"type", "DELETE"}};
  const auto entry = cluster_->store.entries().find(change.key);
  const bool exists = entry != cluster_->store.entries().end();
  pair["value"] = discovery::Base64(change.value);
  pair["create_revision"] = NumberText(exists ? entry->second.create_revision : change.revision);
  return {{"kv", std::move(pair)}};
}

void EtcdWatches::SendChanges(Micros now) {
  for (Watch& watch : watches_) SendChangesTo(now, &watch);
}

void EtcdWatches::SendChangesTo(Micros now, Watch* watch) {
  const Revision revision = cluster_->store.revision();
  if (watch->next_revision > revision) return;
  std::vector<json> events;
  for (const KeyValueStore::Change* change : cluster_->store.ChangesSince(watch->next_revision)) {
    if (watch->range.Contains(change->key)) events.push_back(ChangeToJson(*change));
  }
  watch->next_revision = revision + 1;
  if (events.empty()) return;
  watch->last_sent_at = now;
  if (faults.reverse_events) std::reverse(events.begin(), events.end());
  SendEvents(*watch, events);
}

void EtcdWatches::SendEvents(const Watch& watch, const std::vector<json>& events) {
  const bool divides = watch.allows_fragments && faults.max_events != 0;
  const std::size_t max_events = divides ? faults.max_events : events.size();
  for (std::size_t first = 0; first < events.size(); first += max_events) {
    const std::size_t end = std::min(events.size(), first + max_events);
    const bool is_last = end == events.size();
    json result = NewResult();
    result["events"] = std::vector<json>(events.begin() + static_cast<std::ptrdiff_t>(first),
                                         events.begin() + static_cast<std::ptrdiff_t>(end));
    if (!is_last) result["fragment"] = true;
    Send(watch.connection, result);
    if (faults.duplicate_messages && is_last) Send(watch.connection, result);
  }
}

void EtcdWatches::SendProgress(Micros now) {
  for (Watch& watch : watches_) {
    if (!watch.wants_progress || now < watch.last_sent_at + progress_interval) continue;
    watch.last_sent_at = now;
    Send(watch.connection, NewResult());
  }
}

Micros EtcdWatches::NextTimer() const {
  Micros next = kNoTimer;
  for (const Watch& watch : watches_) {
    if (watch.wants_progress) next = std::min(next, watch.last_sent_at + progress_interval);
  }
  return next;
}

}  // namespace mountflow::registry_standin
