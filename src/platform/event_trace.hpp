// One line for each event the module is told and each action it takes: what the scheduler believes, to be
// held against what passed on the sockets. Off unless asked for (`mountflowd --platform --trace FILE`).
#ifndef MOUNTFLOW_PLATFORM_EVENT_TRACE_HPP_
#define MOUNTFLOW_PLATFORM_EVENT_TRACE_HPP_

#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::platform {

std::string Describe(const Event& event);
std::string Describe(const Action& action);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_EVENT_TRACE_HPP_
