// CPU time of the daemon's parts, for `mountflowd --measure`.
#ifndef MOUNTFLOW_DAEMON_CPU_PROFILE_HPP_
#define MOUNTFLOW_DAEMON_CPU_PROFILE_HPP_

#include <cstdint>

namespace mountflow::daemon {

// CPU time of this process so far, in nanoseconds.
[[nodiscard]] std::uint64_t ProcessCpuNanoseconds();

// Nanoseconds of the process's CPU time. A part includes the parts that it calls: the PBS server calls the
// job manager, and the job manager calls the scheduler.
struct CpuTimes {
  std::uint64_t pbs_server = 0;
  std::uint64_t node_sessions = 0;
  std::uint64_t job_manager = 0;
  std::uint64_t scheduler = 0;
  std::uint64_t process = 0;
};

// Counters of the parts. Not thread-safe: used by the event loop's thread alone.
struct CpuProfile {
  bool enabled = false;
  CpuTimes times;
};

// Adds the CPU time of its scope to a counter of an enabled profile.
class ScopedCpuTimer {
 public:
  ScopedCpuTimer(CpuProfile* profile, std::uint64_t CpuTimes::*counter);
  ~ScopedCpuTimer();
  ScopedCpuTimer(const ScopedCpuTimer&) = delete;
  ScopedCpuTimer& operator=(const ScopedCpuTimer&) = delete;

 private:
  std::uint64_t* counter_;  // null: the profile is not enabled
  std::uint64_t started_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_CPU_PROFILE_HPP_
