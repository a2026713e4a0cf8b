// Directives: options of qsub in the first lines of a job script.
#ifndef MOUNTFLOW_CLI_DIRECTIVES_HPP_
#define MOUNTFLOW_CLI_DIRECTIVES_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace mountflow::cli {

inline constexpr std::size_t kMaxDirectives = 1000;          // in one script
inline constexpr std::size_t kMaxDirectiveLineBytes = 8192;  // without surrounding blanks

enum class DirectiveErrorCode { kLineTooLong, kTooManyDirectives, kUnclosedQuote };

struct DirectiveError {
  DirectiveErrorCode code = DirectiveErrorCode::kUnclosedQuote;
  std::size_t line = 0;  // line number in the script, from 1
};
// Returns a message for users.
[[nodiscard]] std::string Describe(const DirectiveError& error);

// Returns the arguments of the directives in `script`, as on a command line.
//
// A line is a directive if `prefix` begins at its first non-blank character. Directives end at the first line
// that is neither a directive, nor a comment, nor blank. If the prefix is empty, there are no directives.
// Arguments are split at blanks; the characters ' " and \ quote as in the shell. Nothing is expanded.
[[nodiscard]] tl::expected<std::vector<std::string>, DirectiveError> ReadDirectives(std::string_view script,
                                                                                    std::string_view prefix);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_DIRECTIVES_HPP_
