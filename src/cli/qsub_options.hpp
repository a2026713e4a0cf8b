// Options of qsub, from the command line and from the directives of a script.
#ifndef MOUNTFLOW_CLI_QSUB_OPTIONS_HPP_
#define MOUNTFLOW_CLI_QSUB_OPTIONS_HPP_

#include <CLI/CLI.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace mountflow::cli {

// Values of the options and operands of qsub. There is one field for each option of the POSIX command. A
// field is empty if its option is not given.
struct QsubOptions {
  std::optional<std::string> date;
  std::optional<std::string> account;
  std::optional<std::string> checkpoint;
  std::optional<std::string> directive_prefix;
  std::optional<std::string> error_path;
  bool hold = false;
  std::optional<std::string> join;
  std::optional<std::string> keep;
  std::vector<std::string> resources;
  std::optional<std::string> mail;
  std::optional<std::string> mail_users;
  std::optional<std::string> name;
  std::optional<std::string> output_path;
  std::optional<int> priority;
  std::optional<std::string> destination;
  std::optional<std::string> rerun;
  std::optional<std::string> shell;
  std::optional<std::string> users;
  std::optional<std::string> variables;
  bool all_variables = false;
  std::vector<std::string> additional;
  bool quiet = false;
  bool interactive = false;
  std::vector<std::string> operands;
};

// Adds the options of qsub to `app`, which stores their values in `options`. `options` must outlive `app`.
void BindOptions(CLI::App* app, QsubOptions* options);

// Parses arguments and merges them into `options`. Single values replace the existing ones, flags are set,
// and lists are appended. The operands of `options` do not change. The error is the parser's message.
[[nodiscard]] tl::expected<void, std::string> MergeArguments(const std::vector<std::string>& arguments,
                                                             QsubOptions* options);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_QSUB_OPTIONS_HPP_
