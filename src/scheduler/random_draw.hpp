// Random numbers that are the same on every platform: SplitMix64 (Steele, Lea and Flood).
#ifndef MOUNTFLOW_SCHEDULER_RANDOM_DRAW_HPP_
#define MOUNTFLOW_SCHEDULER_RANDOM_DRAW_HPP_

#include <cstddef>
#include <cstdint>

namespace mountflow {

inline constexpr std::uint64_t kSplitMixIncrement = 0x9e3779b97f4a7c15U;

// Returns a hash of `value` that is the same in all schedulers.
inline std::uint64_t Mix(std::uint64_t value) {
  value += kSplitMixIncrement;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31);
}

// A random number generator with a fixed seed.
class RandomDraw {
 public:
  explicit RandomDraw(std::uint64_t seed) : state_(seed) {}

  // Returns a random number from 0 to count - 1. `count` must not be 0.
  std::size_t Below(std::size_t count) {
    const std::uint64_t drawn = Mix(state_);
    state_ += kSplitMixIncrement;
    return static_cast<std::size_t>(drawn % count);
  }

 private:
  std::uint64_t state_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_RANDOM_DRAW_HPP_
