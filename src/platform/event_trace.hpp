// Trace lines for the scheduler's events and actions. They allow a comparison of its decisions with the
// messages on the connections. Tracing is enabled by `mountflowd --platform --trace FILE`.
//
// A line consists of the name of the event or action and its fields as key=value, in a fixed order:
//   attempt_ended request=7 attempt=1 node=3 result=rejected reason=no_cores closed=0 elapsed_us=900
// Names of times end in _us (microseconds). Keys and services are hexadecimal. A number that a node did not
// report is omitted.
#ifndef MOUNTFLOW_PLATFORM_EVENT_TRACE_HPP_
#define MOUNTFLOW_PLATFORM_EVENT_TRACE_HPP_

#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::platform {

// Returns the trace line of an event or action, without a line feed. Returns an empty string for those that
// are not traced: timers, health checks and membership.
std::string Describe(const Event& event);
std::string Describe(const Action& action);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_EVENT_TRACE_HPP_
