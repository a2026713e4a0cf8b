// The keys of a fake registry with their revisions, which Consul calls indices. ConsulRegistry and
// EtcdRegistry provide access to this store, each through its protocol.
//
// The store retains its whole history, including compacted revisions, so that a test can compare a client's
// view with the keys at any revision. Memory use grows with each change.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_KEY_VALUE_STORE_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_KEY_VALUE_STORE_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mountflow::registry_standin {

using Revision = std::uint64_t;

// The keys from `first` up to but not including `end`, with the conventions of etcd's range requests: an
// empty `end` selects the single key `first`, and an `end` of one zero byte selects all keys from `first` on.
struct KeyRange {
  std::string first;
  std::string end;

  [[nodiscard]] bool Contains(const std::string& key) const;
};

// A map of keys to values in which each commit is a revision.
class KeyValueStore {
 public:
  struct Change {
    std::string key;
    std::string value;
    bool removed = false;
    Revision revision = 0;  // set by Commit()

    [[nodiscard]] static Change Write(std::string key, std::string value) {
      return {std::move(key), std::move(value), false, 0};
    }
    [[nodiscard]] static Change Removal(std::string key) { return {std::move(key), "", true, 0}; }
  };
  struct Entry {
    std::string value;
    Revision create_revision = 0;
    Revision modify_revision = 0;
    std::uint64_t version = 0;  // number of writes since the key was created
  };
  using Entries = std::map<std::string, Entry>;

  // Applies all changes as one revision, which becomes the newest one. Removals of keys that do not exist are
  // also recorded.
  void Commit(Revision revision, std::vector<Change> changes);

  // Returns the newest revision; 1 for a new store.
  [[nodiscard]] Revision revision() const { return revision_; }
  [[nodiscard]] const Entries& entries() const { return entries_; }
  // Returns the newest revision that removed a key; 0 if no key was removed.
  [[nodiscard]] Revision last_removal() const { return last_removal_; }
  // Returns the keys of a range as of a revision, even if that revision was compacted.
  [[nodiscard]] Entries EntriesAt(Revision revision, const KeyRange& range) const;
  [[nodiscard]] std::vector<std::string> KeysWithPrefix(const std::string& prefix) const;
  // Returns all changes from this revision on, in ascending order. The pointers are valid until the next call
  // of a non-const member function.
  [[nodiscard]] std::vector<const Change*> ChangesSince(Revision first) const;

  // Makes the revisions before this one unavailable to clients. A revision beyond the newest one is treated
  // as the newest.
  void Compact(Revision revision);
  [[nodiscard]] Revision compacted() const { return compacted_; }

  // Restores the keys of an earlier revision and drops all later changes.
  void RestoreTo(Revision revision);
  // Moves only the revision counter back. The keys stay, with modify revisions of at most `revision`, and the
  // history is dropped.
  void RewindTo(Revision revision);

 private:
  static void Apply(const Change& change, Entries* entries);

  std::vector<Change> history_;  // ascending by revision
  Entries entries_;
  Revision revision_ = 1;
  Revision compacted_ = 0;
  Revision last_removal_ = 0;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_KEY_VALUE_STORE_HPP_
