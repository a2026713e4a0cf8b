// A pseudorandom number generator (SplitMix64). The numbers depend only on the seed, so that equal inputs of
// the job manager give equal outputs.
//
// Used by JobManager only; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_RANDOM_SOURCE_HPP_
#define MOUNTFLOW_JOB_MANAGER_RANDOM_SOURCE_HPP_

#include <cstdint>

namespace mountflow::job_manager {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}

  // Returns the next number, uniformly distributed in [0, 1).
  double Draw() {
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31;
    return static_cast<double>(mixed >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_RANDOM_SOURCE_HPP_
