// Remembers which attempts were posted, so that a repeated report counts once. Bounded: beyond its capacity
// the attempts that ended first are forgotten.
#ifndef MOUNTFLOW_LEDGER_POSTED_ATTEMPTS_HPP_
#define MOUNTFLOW_LEDGER_POSTED_ATTEMPTS_HPP_

#include <cstdint>
#include <optional>
#include <queue>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

class PostedAttempts {
 public:
  explicit PostedAttempts(std::size_t capacity) : capacity_(capacity) {}

  // The digest with which this attempt was added; nullopt when it was not, or is forgotten.
  [[nodiscard]] std::optional<std::uint64_t> FindDigest(std::string_view attempt) const;
  // The newest end of a forgotten attempt; 0 when none is. Attempts that ended up to here may have been
  // posted.
  [[nodiscard]] Micros forgotten_until() const { return forgotten_until_; }
  void Add(std::string_view attempt, std::uint64_t digest, Micros end);

 private:
  // A hash of the name, of 128 bits: names are long and there are millions.
  struct Key {
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const Key&) const = default;
    bool operator>(const Key& other) const { return std::tie(low, high) > std::tie(other.low, other.high); }
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const { return key.low; }
  };
  using EndAndKey = std::pair<Micros, Key>;
  struct EndsLater {
    bool operator()(const EndAndKey& a, const EndAndKey& b) const {
      return a.first != b.first ? a.first > b.first : a.second > b.second;
    }
  };
  static Key KeyOf(std::string_view attempt);

  std::size_t capacity_;
  std::unordered_map<Key, std::uint64_t, KeyHash> digests_;
  std::priority_queue<EndAndKey, std::vector<EndAndKey>, EndsLater> by_end_;  // the first end on top
  Micros forgotten_until_ = 0;
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_POSTED_ATTEMPTS_HPP_
