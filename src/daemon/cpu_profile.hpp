// CPU time used by the components of the daemon, for `mountflowd --measure`.
#ifndef MOUNTFLOW_DAEMON_CPU_PROFILE_HPP_
#define MOUNTFLOW_DAEMON_CPU_PROFILE_HPP_

#include <cstdint>

namespace mountflow::daemon {

// Returns the CPU time that this process has used so far, in nanoseconds.
[[nodiscard]] std::uint64_t ProcessCpuNanoseconds();

// CPU time used by each component, in nanoseconds. The time of a component includes that of the components
// that it calls: the PBS server calls the job manager, and the job manager calls the scheduler.
struct CpuTimes {
  std::uint64_t pbs_server = 0;
  std::uint64_t node_sessions = 0;
  std::uint64_t job_manager = 0;
  std::uint64_t scheduler = 0;
  std::uint64_t process = 0;
};

// Collects the CPU time of each component while enabled. Not thread-safe: may be used by the event loop's
// thread only.
struct CpuProfile {
  bool enabled = false;
  CpuTimes times;
};

// Adds the CPU time used between its construction and its destruction to a counter of the profile. Does
// nothing if the profile is not enabled.
class ScopedCpuTimer {
 public:
  ScopedCpuTimer(CpuProfile* profile, std::uint64_t CpuTimes::*counter);
  ~ScopedCpuTimer();
  ScopedCpuTimer(const ScopedCpuTimer&) = delete;
  ScopedCpuTimer& operator=(const ScopedCpuTimer&) = delete;

 private:
  std::uint64_t* counter_;  // null if the profile is not enabled
  std::uint64_t started_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_CPU_PROFILE_HPP_
