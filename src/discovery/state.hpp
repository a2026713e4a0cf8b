// What a key-value registry is known to hold under a prefix: full reads and
// changes merged by revision, nothing guessed, nothing resurrected.
//
// A change counts only if its revision is above the last full read's and above
// that key's own, removals included; so frames that come twice or out of order
// do no harm. A full read replaces all: keys that it lacks are told as gone.
#ifndef MOUNTFLOW_DISCOVERY_STATE_HPP_
#define MOUNTFLOW_DISCOVERY_STATE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "discovery/entry.hpp"

namespace mountflow::discovery {

inline constexpr std::size_t kMostRemoved = 65'536;  // removals remembered; beyond: the oldest is forgotten

struct KeyChange {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
};

class RegistryState {
 public:
  // Returns what is different now. `emptied` is set when more than half of what was known is gone at once.
  std::vector<KeyChange> Replace(std::uint64_t revision, std::vector<KeyValue> all, bool* emptied);
  // Returns the changes that counted.
  std::vector<KeyChange> Apply(std::vector<KeyChange> changes);
  // The registry says that nothing newer than this is missing.
  void Reached(std::uint64_t revision) { revision_ = std::max(revision_, revision); }
  // A registry whose history began anew: revisions known so far say nothing.
  void Forget() {
    revision_ = full_at_ = 0;
    ++lives_;
  }

  std::uint64_t revision() const { return revision_; }
  // Grows whenever a key came or went, and whenever one may have done so unseen.
  std::uint64_t lives() const { return lives_; }
  const std::map<std::string, KeyValue>& all() const { return all_; }

 private:
  void Remember(const std::string& key, std::uint64_t revision);
  std::map<std::string, KeyValue> all_;
  std::map<std::string, std::uint64_t> removed_;
  std::deque<std::pair<std::uint64_t, std::string>> removed_order_;
  std::uint64_t revision_ = 0, full_at_ = 0, lives_ = 0;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_STATE_HPP_
