// What the fields of the wires' messages mean to the module. Free of state and I/O; strict: what has not the
// form of the protocol is not taken.
//
// Bounds: an owner's wait of kLongestWait, sizes of a million cores or units of memory.
#ifndef MOUNTFLOW_PLATFORM_MESSAGE_MAPPING_HPP_
#define MOUNTFLOW_PLATFORM_MESSAGE_MAPPING_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_codec.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

inline constexpr Micros kLongestWait = 600'000'000;  // an owner's wait beyond this is out of range

// Null, or what was expected where. `machine` is the one that runs the task already, else empty.
const char* ReadSetUp(const ClientMessage& message, const settings::WireSettings& wire, Micros now,
                      Task* task, std::string* machine);
LoadReport ReadReport(const NodeMessage& message);
bool ReadReported(std::string_view text, double* value);
int IndexOf(const std::vector<std::string>& names, const std::string& name);  // -1: not among them
RejectionReason CauseOf(const std::string& said);
bool ReadNoteKind(const std::string& said, ProgressKind* kind);
// Before an answer, what is neither a refusal, an error nor moot is as a reset.
AttemptResult EndingOf(int cause, bool placed);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_MESSAGE_MAPPING_HPP_
