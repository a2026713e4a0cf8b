// The clock of the event loop.
#ifndef MOUNTFLOW_EVENT_LOOP_STEADY_CLOCK_HPP_
#define MOUNTFLOW_EVENT_LOOP_STEADY_CLOCK_HPP_

#include <ctime>

#include "mountflow/scheduler.hpp"

namespace mountflow::event_loop {

// Wall time in microseconds that never goes back and does not jump: the wall clock at construction plus the
// monotonic time elapsed since.
class SteadyClock {
 public:
  SteadyClock() : wall_start_(Read(CLOCK_REALTIME)), monotonic_start_(Read(CLOCK_MONOTONIC)) {}

  [[nodiscard]] Micros Now() const { return wall_start_ + (Read(CLOCK_MONOTONIC) - monotonic_start_); }

 private:
  static Micros Read(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<Micros>(time.tv_sec) * 1'000'000u + static_cast<Micros>(time.tv_nsec) / 1000u;
  }

  Micros wall_start_;
  Micros monotonic_start_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_STEADY_CLOCK_HPP_
