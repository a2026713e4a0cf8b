// Deduplication of usage reports: remembers which attempts were posted, so that a repeated report counts
// once. The number of attempts is bounded. Beyond the capacity the attempts that ended first are forgotten.
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

  // Returns the digest with which this attempt was added; nullopt if it was not added or is forgotten.
  [[nodiscard]] std::optional<std::uint64_t> FindDigest(std::string_view attempt) const;
  // Returns the latest end of all forgotten attempts; 0 if there are none. An unknown attempt that ended at
  // or before this time may have been posted.
  [[nodiscard]] Micros forgotten_until() const { return forgotten_until_; }
  // Adds an attempt that ended at `end`. Beyond the capacity, forgets the attempt that ended first.
  void Add(std::string_view attempt, std::uint64_t digest, Micros end);

 private:
  // A 128-bit hash of the attempt's name. It saves memory, because names are long and there are millions.
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
  std::priority_queue<EndAndKey, std::vector<EndAndKey>, EndsLater> by_end_;  // earliest end on top
  Micros forgotten_until_ = 0;
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_POSTED_ATTEMPTS_HPP_
