#include "discovery/backoff.hpp"

#include <algorithm>

namespace mountflow::discovery {
namespace {

// Keeps the shift below from overflowing; by then each usual bound is reached.
constexpr unsigned kMaxDoublings = 16;

}  // namespace

Micros ExponentialDelay(Micros initial, Micros max, unsigned failures) {
  return std::min(max, initial << std::min(failures, kMaxDoublings));
}

Micros Backoff::NextDelay() {
  const Micros delay = ExponentialDelay(options_.initial_delay, options_.max_delay, failures_);
  ++failures_;
  return delay + static_cast<Micros>(static_cast<double>(delay) * options_.spread * DrawShare());
}

// A number in [0, 1) by SplitMix64 (Steele, Lea, Flood 2014).
double Backoff::DrawShare() {
  constexpr unsigned kUnusedBits = 11;  // a double has 53 bits of mantissa
  random_ += 0x9e3779b97f4a7c15U;
  std::uint64_t mixed = random_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  return static_cast<double>((mixed ^ (mixed >> 31U)) >> kUnusedBits) * 0x1.0p-53;
}

}  // namespace mountflow::discovery
