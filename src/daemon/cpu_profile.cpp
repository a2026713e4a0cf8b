#include "daemon/cpu_profile.hpp"

#include <time.h>

namespace mountflow::daemon {

std::uint64_t ProcessCpuNanoseconds() {
  constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
  timespec spent = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<std::uint64_t>(spent.tv_sec) * kNanosecondsPerSecond +
         static_cast<std::uint64_t>(spent.tv_nsec);
}

ScopedCpuTimer::ScopedCpuTimer(CpuProfile* profile, std::uint64_t CpuTimes::*counter)
    : counter_(profile->enabled ? &(profile->times.*counter) : nullptr),
      started_(profile->enabled ? ProcessCpuNanoseconds() : 0) {}

ScopedCpuTimer::~ScopedCpuTimer() {
  if (counter_ != nullptr) *counter_ += ProcessCpuNanoseconds() - started_;
}

}  // namespace mountflow::daemon
