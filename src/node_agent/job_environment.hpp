// Derives properties of a job's process from the job's attributes: environment, output files and signals.
#ifndef MOUNTFLOW_NODE_AGENT_JOB_ENVIRONMENT_HPP_
#define MOUNTFLOW_NODE_AGENT_JOB_ENVIRONMENT_HPP_

#include <string>
#include <utility>
#include <vector>

#include "node_agent/submitted_task.hpp"

namespace mountflow::node_agent {

// Parses "A=1,B=x\,y" into pairs of name and value. A backslash escapes a comma or backslash in a value.
// Parts without a name are skipped.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> ParseVariableList(const std::string& text);
// Returns the number of a signal given by name (with or without "SIG") or by number; 0 if it is unknown.
[[nodiscard]] int SignalNumber(const std::string& name);
// Returns the absolute path of "HOST:PATH" or "PATH". A relative path is resolved against `home`. If the path
// ends in a slash it is a directory, and `default_name` is appended.
[[nodiscard]] std::string ResolveOutputPath(const std::string& text, const std::string& home,
                                            const std::string& default_name);

// The files that receive the standard output and standard error of a job.
struct OutputFiles {
  std::string out, err;
  bool joins_out_to_err = false;  // both streams go to `err`; `out` is not written
  bool joins_err_to_out = false;  // both streams go to `out`; `err` is not written
};
// Returns the output files that the job's attributes request, with defaults for missing paths.
[[nodiscard]] OutputFiles OutputFilesOf(const std::string& attempt, const SubmittedTask& task,
                                        const std::string& home);
// Returns the environment as "NAME=VALUE" strings. Variables that the batch protocol defines come after those
// of the job and take precedence over them.
[[nodiscard]] std::vector<std::string> EnvironmentOf(const std::string& attempt, const SubmittedTask& task,
                                                     const std::string& home);

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_JOB_ENVIRONMENT_HPP_
