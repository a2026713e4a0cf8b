#include "ledger/posted_attempts.hpp"

#include <xxhash.h>

namespace mountflow::ledger {

PostedAttempts::Key PostedAttempts::KeyOf(std::string_view attempt) {
  const XXH128_hash_t hash = XXH3_128bits(attempt.data(), attempt.size());
  return {hash.low64, hash.high64};
}

std::optional<std::uint64_t> PostedAttempts::FindDigest(std::string_view attempt) const {
  const auto it = digests_.find(KeyOf(attempt));
  if (it == digests_.end()) return std::nullopt;
  return it->second;
}

void PostedAttempts::Add(std::string_view attempt, std::uint64_t digest, Micros end) {
  const Key key = KeyOf(attempt);
  digests_[key] = digest;
  by_end_.push({end, key});
  while (by_end_.size() > capacity_) {
    forgotten_until_ = by_end_.top().first;
    digests_.erase(by_end_.top().second);
    by_end_.pop();
  }
}

}  // namespace mountflow::ledger
