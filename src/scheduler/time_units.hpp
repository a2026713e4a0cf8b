// Units of time for the constants of the decision library.
#ifndef MOUNTFLOW_SCHEDULER_TIME_UNITS_HPP_
#define MOUNTFLOW_SCHEDULER_TIME_UNITS_HPP_

#include "mountflow/scheduler.hpp"

namespace mountflow {

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;

// Returns the time `duration` before `now`, or 0 if that would be negative.
inline Micros TimeBefore(Micros now, Micros duration) { return now > duration ? now - duration : 0; }

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_TIME_UNITS_HPP_
