#include "tools/registry_standin/key_value_store.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::registry_standin {

bool KeyRange::Contains(const std::string& key) const {
  if (end.empty()) return key == first;
  const bool is_unbounded = end == std::string(1, '\0');
  return key >= first && (is_unbounded || key < end);
}

void KeyValueStore::Apply(const Change& change, Entries* entries) {
  if (change.removed) {
    entries->erase(change.key);
    return;
  }
  Entry& entry = (*entries)[change.key];
  if (entry.create_revision == 0) entry.create_revision = change.revision;
  entry.value = change.value;
  entry.modify_revision = change.revision;
  ++entry.version;
}

void KeyValueStore::Commit(Revision revision, std::vector<Change> changes) {
  revision_ = revision;
  for (Change& change : changes) {
    change.revision = revision;
    if (change.removed && entries_.contains(change.key)) last_removal_ = revision;
    Apply(change, &entries_);
    history_.push_back(std::move(change));
  }
}

KeyValueStore::Entries KeyValueStore::EntriesAt(Revision revision, const KeyRange& range) const {
  Entries entries;
  for (const Change& change : history_) {
    if (change.revision > revision) break;
    if (range.Contains(change.key)) Apply(change, &entries);
  }
  return entries;
}

std::vector<std::string> KeyValueStore::KeysWithPrefix(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (auto it = entries_.lower_bound(prefix); it != entries_.end() && it->first.starts_with(prefix); ++it) {
    keys.push_back(it->first);
  }
  return keys;
}

std::vector<const KeyValueStore::Change*> KeyValueStore::ChangesSince(Revision first) const {
  auto it =
      std::lower_bound(history_.begin(), history_.end(), first,
                       [](const Change& change, Revision revision) { return change.revision < revision; });
  std::vector<const Change*> changes;
  for (; it != history_.end(); ++it) changes.push_back(&*it);
  return changes;
}

void KeyValueStore::Compact(Revision revision) {
  compacted_ = std::max(compacted_, std::min(revision, revision_));
}

void KeyValueStore::RestoreTo(Revision revision) {
  std::erase_if(history_, [revision](const Change& change) { return change.revision > revision; });
  revision_ = revision;
  compacted_ = std::min(compacted_, revision);
  entries_.clear();
  for (const Change& change : history_) Apply(change, &entries_);
}

void KeyValueStore::RewindTo(Revision revision) {
  history_.clear();
  revision_ = revision;
  last_removal_ = revision;
  for (auto& [key, entry] : entries_) entry.modify_revision = std::min(entry.modify_revision, revision);
}

}  // namespace mountflow::registry_standin
