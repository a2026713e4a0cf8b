#include "discovery/state.hpp"

#include <algorithm>

namespace mountflow::discovery {

void RegistryState::Remember(const std::string& key, std::uint64_t revision) {
  removed_[key] = revision;
  removed_order_.emplace_back(revision, key);
  while (removed_order_.size() > kMostRemoved) {
    const auto& [at, old] = removed_order_.front();
    const auto it = removed_.find(old);
    if (it != removed_.end() && it->second == at) removed_.erase(it);
    removed_order_.pop_front();
  }
}

std::vector<KeyChange> RegistryState::Replace(std::uint64_t revision, std::vector<KeyValue> all,
                                              bool* emptied) {
  std::map<std::string, KeyValue> now;
  for (KeyValue& kv : all) {
    std::string key = kv.key;
    now[std::move(key)] = std::move(kv);
  }
  // Between two full reads a key may have gone and come again: only an unmoved revision says that none did.
  if (revision != revision_) ++lives_;
  std::vector<KeyChange> changes;
  std::size_t gone = 0;
  for (const auto& [key, kv] : all_) {
    if (now.count(key) > 0) continue;
    changes.push_back({key, "", revision, true});
    ++gone;
  }
  for (const auto& [key, kv] : now) {
    const auto had = all_.find(key);
    if (had != all_.end() && had->second.value == kv.value) continue;
    changes.push_back({key, kv.value, kv.modify_index, false});
  }
  *emptied = all_.size() > 1 && gone * 2 > all_.size();
  all_ = std::move(now);
  removed_.clear();
  removed_order_.clear();
  revision_ = full_at_ = revision;
  return changes;
}

std::vector<KeyChange> RegistryState::Apply(std::vector<KeyChange> changes) {
  std::vector<KeyChange> counted;
  // Within one message too, only the order of revisions counts.
  std::stable_sort(changes.begin(), changes.end(),
                   [](const KeyChange& a, const KeyChange& b) { return a.revision < b.revision; });
  for (KeyChange& c : changes) {
    if (c.revision <= full_at_) continue;
    const auto had = all_.find(c.key);
    if (had != all_.end() && c.revision <= had->second.modify_index) continue;
    const auto removed = removed_.find(c.key);
    if (removed != removed_.end() && c.revision <= removed->second) continue;
    revision_ = std::max(revision_, c.revision);
    if (c.removed) {
      Remember(c.key, c.revision);
      ++lives_;
      if (had == all_.end()) continue;
      all_.erase(had);
    } else {
      if (had == all_.end()) ++lives_;
      KeyValue& kv = all_[c.key];
      kv.key = c.key;
      kv.value = c.value;
      kv.modify_index = c.revision;
      if (kv.create_index == 0) kv.create_index = c.revision;
    }
    counted.push_back(std::move(c));
  }
  return counted;
}

}  // namespace mountflow::discovery
