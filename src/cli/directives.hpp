// Options that a job script carries in its first lines.
#ifndef MOUNTFLOW_CLI_DIRECTIVES_HPP_
#define MOUNTFLOW_CLI_DIRECTIVES_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace mountflow::cli {

inline constexpr std::size_t kMaxDirectives = 1000;          // lines
inline constexpr std::size_t kMaxDirectiveLineBytes = 8192;  // of one line

enum class DirectiveErrorCode { kLineTooLong, kTooManyDirectives, kOpenQuote };

struct DirectiveError {
  DirectiveErrorCode code = DirectiveErrorCode::kOpenQuote;
  std::size_t line = 0;  // of the script, from 1
};
[[nodiscard]] std::string Describe(const DirectiveError& error);

// Returns the arguments of the directives in `script`, as on a command line.
//
// A line is a directive when what begins with its first non-blank character starts with `prefix`. The first
// line that is neither a directive, nor a comment, nor blank ends them. With an empty prefix there are no
// directives. Arguments are split at blanks, with ' " and \ as in the shell; nothing is expanded.
[[nodiscard]] tl::expected<std::vector<std::string>, DirectiveError> ReadDirectives(std::string_view script,
                                                                                    std::string_view prefix);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_DIRECTIVES_HPP_
