// The known keys of a registry under a prefix, merged by revision from full reads and changes.
//
// A change is applied only if its revision is greater than that of the last full read and than that of the
// key's last change, including its removal. Therefore repeated and reordered messages have no effect, and a
// removed key never comes back through an older change. A full read replaces all keys; keys that it lacks are
// reported as removed.
#ifndef MOUNTFLOW_DISCOVERY_STATE_HPP_
#define MOUNTFLOW_DISCOVERY_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "discovery/entry.hpp"

namespace mountflow::discovery {

// Maximum number of removals to remember. An older change cannot restore a key whose removal is remembered.
// The oldest removal is forgotten first.
inline constexpr std::size_t kMaxRemovals = 65'536;

// A new value of a key, or its removal.
struct KeyChange {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

// Stores the known keys and the revisions of their last changes. Not thread-safe.
class RegistryState {
 public:
  // Differences between a full read and the keys known before.
  struct Replacement {
    std::vector<KeyChange> changes;
    bool lacks_most_entries = false;  // more than half of the entries known before were removed
  };
  // Replaces all keys with the result of a full read.
  [[nodiscard]] Replacement Replace(std::uint64_t revision, std::vector<KeyValue> pairs);
  // Applies changes that are not outdated. Returns those that had an effect, ordered by revision.
  std::vector<KeyChange> Apply(std::vector<KeyChange> changes);
  // Discards the known revisions because the registry was restored from a backup or is a different cluster.
  void ForgetRevisions();

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // Returns a number that increases whenever a key was added or removed, or may have been without an observed
  // change.
  [[nodiscard]] std::uint64_t incarnations() const { return incarnations_; }
  [[nodiscard]] const std::map<std::string, KeyValue>& entries() const { return entries_; }

 private:
  [[nodiscard]] bool IsOutdated(const KeyChange& change) const;
  void RememberRemoval(const std::string& key, std::uint64_t revision);
  void Remove(const KeyChange& change);
  void Store(const KeyChange& change);

  std::map<std::string, KeyValue> entries_;
  std::map<std::string, std::uint64_t> removals_;  // revision of the removal, by key
  std::deque<std::pair<std::uint64_t, std::string>> removal_order_;
  std::uint64_t revision_ = 0;
  std::uint64_t full_read_revision_ = 0;
  std::uint64_t incarnations_ = 0;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_STATE_HPP_
