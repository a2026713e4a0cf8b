// Reads scenario files: JSON with comments, validated against a schema. Only this codec contains their keys.
#ifndef MOUNTFLOW_TOOLS_CHAOS_SCENARIO_CODEC_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_SCENARIO_CODEC_HPP_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "config/config_error.hpp"
#include "tools/chaos/scenario.hpp"

namespace mountflow::chaos {

struct ScenarioError {
  enum class Code : std::uint8_t {
    kInvalidFile,       // `file_error` has the position and the reason
    kNoSuchDaemon,      // a fault names a daemon that does not exist; there are `daemons`
    kUnknownFaultName,  // GenerateScenario has no fault of the name `fault_name`
  };
  Code code = Code::kInvalidFile;
  std::string source;  // name of the file; empty for kUnknownFaultName
  config::ConfigError file_error;
  std::string fault_name;
  int daemons = 0;
};
[[nodiscard]] std::string Describe(const ScenarioError& error);

using ScenarioErrors = std::vector<ScenarioError>;

// Parses and validates a scenario. `source` names the text in errors.
[[nodiscard]] tl::expected<Scenario, ScenarioErrors> ParseScenario(const std::string& text,
                                                                   const std::string& source);

// Returns the name of the fault in scenario files and in the events of the message log.
[[nodiscard]] const char* NameOf(FaultKind kind);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_SCENARIO_CODEC_HPP_
