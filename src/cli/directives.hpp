// Options that a job script carries in its first lines.
#ifndef MOUNTFLOW_CLI_DIRECTIVES_HPP_
#define MOUNTFLOW_CLI_DIRECTIVES_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace mountflow::cli {

inline constexpr std::size_t kMostDirectives = 1000;     // lines
inline constexpr std::size_t kMostDirectiveLine = 8192;  // bytes

struct Directives {
  std::vector<std::string> arguments;  // as on a command line
  std::string error;                   // names the line and what was expected
};

// A line is a directive when what begins with its first non-blank character starts with `prefix`. The first
// line that is neither a directive, nor a comment, nor blank ends them. An empty prefix: no directives.
// Arguments are split at blanks, with ' " and \ as in the shell; nothing is expanded.
Directives ReadDirectives(std::string_view script, std::string_view prefix);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_DIRECTIVES_HPP_
