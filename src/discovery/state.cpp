#include "discovery/state.hpp"

#include <algorithm>

namespace mountflow::discovery {

void RegistryState::ForgetRevisions() {
  revision_ = 0;
  full_read_revision_ = 0;
  ++incarnations_;
}

void RegistryState::RememberRemoval(const std::string& key, std::uint64_t revision) {
  removals_[key] = revision;
  removal_order_.emplace_back(revision, key);
  while (removal_order_.size() > kMaxRemovals) {
    const auto& [oldest_revision, oldest_key] = removal_order_.front();
    const auto oldest = removals_.find(oldest_key);
    if (oldest != removals_.end() && oldest->second == oldest_revision) removals_.erase(oldest);
    removal_order_.pop_front();
  }
}

RegistryState::Replacement RegistryState::Replace(std::uint64_t revision, std::vector<KeyValue> pairs) {
  std::map<std::string, KeyValue> entries;
  for (KeyValue& pair : pairs) {
    std::string key = pair.key;
    entries[std::move(key)] = std::move(pair);
  }
  // Between two full reads a key may have been removed and added again. Only an unchanged revision rules this
  // out.
  if (revision != revision_) ++incarnations_;
  Replacement replacement;
  std::size_t removed = 0;
  for (const auto& [key, pair] : entries_) {
    if (entries.count(key) > 0) continue;
    replacement.changes.push_back({key, "", revision, true});
    ++removed;
  }
  for (const auto& [key, pair] : entries) {
    const auto known = entries_.find(key);
    if (known != entries_.end() && known->second.value == pair.value) continue;
    replacement.changes.push_back({key, pair.value, pair.modify_index, false});
  }
  replacement.lacks_most_entries = entries_.size() > 1 && removed * 2 > entries_.size();
  entries_ = std::move(entries);
  removals_.clear();
  removal_order_.clear();
  revision_ = revision;
  full_read_revision_ = revision;
  return replacement;
}

std::vector<KeyChange> RegistryState::Apply(std::vector<KeyChange> changes) {
  // Changes must be applied in the order of their revisions, also within one message.
  std::stable_sort(changes.begin(), changes.end(), [](const KeyChange& left, const KeyChange& right) {
    return left.revision < right.revision;
  });
  std::vector<KeyChange> applied;
  for (KeyChange& change : changes) {
    if (IsOutdated(change)) continue;
    revision_ = std::max(revision_, change.revision);
    const bool is_known = entries_.count(change.key) > 0;
    if (change.removed) {
      Remove(change);
      if (!is_known) continue;  // the key was not known
    } else {
      Store(change);
    }
    applied.push_back(std::move(change));
  }
  return applied;
}

bool RegistryState::IsOutdated(const KeyChange& change) const {
  if (change.revision <= full_read_revision_) return true;
  const auto known = entries_.find(change.key);
  if (known != entries_.end() && change.revision <= known->second.modify_index) return true;
  const auto removal = removals_.find(change.key);
  return removal != removals_.end() && change.revision <= removal->second;
}

void RegistryState::Remove(const KeyChange& change) {
  RememberRemoval(change.key, change.revision);
  ++incarnations_;
  entries_.erase(change.key);
}

void RegistryState::Store(const KeyChange& change) {
  const auto [entry, is_new] = entries_.try_emplace(change.key);
  if (is_new) ++incarnations_;
  KeyValue& pair = entry->second;
  pair.key = change.key;
  pair.value = change.value;
  pair.modify_index = change.revision;
  if (pair.create_index == 0) pair.create_index = change.revision;
}

}  // namespace mountflow::discovery
