// Runs a scenario: starts the programs on free loopback ports with recording proxies between them, drives the
// workload, injects the faults and writes the message log.
#ifndef MOUNTFLOW_TOOLS_CHAOS_RUNNER_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_RUNNER_HPP_

#include <string>
#include <tl/expected.hpp>

#include "tools/chaos/run_error.hpp"
#include "tools/chaos/scenario.hpp"

namespace mountflow::chaos {

struct RunOptions {
  std::string program_folder;         // contains mountflowd, mountflow-node and mountflow-registry-standin
  std::string daemon = "mountflowd";  // name or path of the program run as the daemon
  std::string folder;                 // for the message log, configurations and logs; created if missing
  bool quiet = false;                 // do not print events
};

struct RunResult {
  std::string message_log;  // path of the file
  std::string summary;      // counts of jobs and answers, as the clients saw them
};

// Runs the scenario and blocks until its end. A process must run at most one scenario at a time.
[[nodiscard]] tl::expected<RunResult, RunError> RunScenario(const Scenario& scenario,
                                                            const RunOptions& options);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_RUNNER_HPP_
