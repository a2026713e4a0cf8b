// Generates scenario files from names of faults and a seed.
#ifndef MOUNTFLOW_TOOLS_CHAOS_SCENARIO_GENERATOR_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_SCENARIO_GENERATOR_HPP_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tools/chaos/scenario_codec.hpp"

namespace mountflow::chaos {

// Returns the text of the default scenario with its faults replaced by the named ones. The names are crash,
// hang, pauses, mass_restart, discovery_stale, zone_loss, grow, shrink, ageing, class_fail, neighbour,
// reconnect, burst, heavy_tail, daemon_kill, daemon_stop and daemon_reload. Times and sizes are drawn from a
// random generator that starts from `seed`, so the same names and seed give the same text.
[[nodiscard]] tl::expected<std::string, ScenarioError> GenerateScenario(
    const std::vector<std::string>& fault_names, std::uint64_t seed);

// Returns the fault names of one run of the soak test: the faults of daemons and three others drawn by
// `seed`.
[[nodiscard]] std::vector<std::string> DrawSoakFaults(std::uint64_t seed);

extern const char kDefaultScenario[];  // JSON with comments

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_SCENARIO_GENERATOR_HPP_
