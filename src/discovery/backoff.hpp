// Exponential backoff with jitter for consecutive failures. The jitter is needed because many daemons lose a
// registry at the same time and must not reconnect to it at the same time.
#ifndef MOUNTFLOW_DISCOVERY_BACKOFF_HPP_
#define MOUNTFLOW_DISCOVERY_BACKOFF_HPP_

#include <cstdint>

#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

// Returns `initial` doubled once for each of `failures` earlier consecutive failures, at most `max`. Adds no
// jitter.
[[nodiscard]] Micros ExponentialDelay(Micros initial, Micros max, unsigned failures);

struct BackoffOptions {
  Micros initial_delay = 200'000;
  Micros max_delay = 5'000'000;  // without the jitter
  double jitter = 0.25;          // greatest jitter, as a fraction of the delay it is added to
};

// Counts consecutive failures and computes the delay after each. The jitter is deterministic for a given
// seed. Not thread-safe.
class Backoff {
 public:
  Backoff(BackoffOptions options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Counts one failure and returns how long to wait before the next attempt.
  [[nodiscard]] Micros NextDelay();
  // Resets the failure count. Called after an attempt has succeeded.
  void Reset() { failures_ = 0; }
  // Returns the number of consecutive failures.
  [[nodiscard]] unsigned failures() const { return failures_; }

 private:
  [[nodiscard]] double RandomFraction();

  BackoffOptions options_;
  std::uint64_t random_;
  unsigned failures_ = 0;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_BACKOFF_HPP_
