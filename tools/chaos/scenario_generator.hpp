// Generates scenario files from names of faults and a seed.
#ifndef MOUNTFLOW_TOOLS_CHAOS_SCENARIO_GENERATOR_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_SCENARIO_GENERATOR_HPP_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tools/chaos/scenario_codec.hpp"

namespace mountflow::chaos {

// The text of the default scenario with these faults in place of its own. Names: crash, hang, pauses,
// mass_restart, discovery_stale, zone_loss, grow, shrink, ageing, class_fail, neighbour, reconnect, burst,
// heavy_tail, daemon_kill, daemon_stop, daemon_reload. Times and sizes are drawn from the seed: the same
// names and seed give the same text.
[[nodiscard]] tl::expected<std::string, ScenarioError> GenerateScenario(
    const std::vector<std::string>& fault_names, std::uint64_t seed);

// The faults of one run of the soak: those of daemons, and three others.
[[nodiscard]] std::vector<std::string> DrawSoakFaults(std::uint64_t seed);

extern const char kDefaultScenario[];  // embedded, as JSON with comments

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_SCENARIO_GENERATOR_HPP_
