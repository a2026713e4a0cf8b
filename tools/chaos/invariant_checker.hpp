// Checks the invariants of a chaos test. Its only input is the message log: the messages seen on the sockets
// and the clients' own entries. It shares no code with the daemon and sends no requests to it.
#ifndef MOUNTFLOW_TOOLS_CHAOS_INVARIANT_CHECKER_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_INVARIANT_CHECKER_HPP_

#include <nlohmann/json.hpp>
#include <vector>

#include "tools/chaos/verdict.hpp"

namespace mountflow::chaos {

// Checks the lines of a message log, of which the first is the head. A line that cannot be decoded ends the
// check and sets Verdict::error.
[[nodiscard]] Verdict CheckInvariants(const std::vector<nlohmann::json>& log);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_INVARIANT_CHECKER_HPP_
