// Values of options that several commands share.
#ifndef MOUNTFLOW_CLI_OPTION_VALUES_HPP_
#define MOUNTFLOW_CLI_OPTION_VALUES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::cli {

// An option's value that cannot be used.
struct OptionError {
  std::string option;              // as "-l"
  std::string expected;            // may be empty
  std::optional<std::string> got;  // where it helps
};
[[nodiscard]] std::string Describe(const OptionError& error);

// Sets the attribute `name`, or its part `resource`, in `list`.
void SetAttribute(pbs_protocol::Attributes* list, const std::string& name, const std::string& value,
                  const std::string& resource = "");

// Adds "ncpus=2,mem=1gb" to `list` as parts of Resource_List.
[[nodiscard]] tl::expected<void, OptionError> AddResources(const std::string& text,
                                                           pbs_protocol::Attributes* list);

// Adds "a=b,c=d" to `list`. Commas within quotes belong to the value.
[[nodiscard]] tl::expected<void, OptionError> AddAttributes(const std::string& text,
                                                            pbs_protocol::Attributes* list);

// Reads the time [[CC]YY]MMDDhhmm[.SS] of the POSIX touch command as seconds since the epoch. What the short
// forms leave out is chosen so that the time is not past: the next day, month or year.
[[nodiscard]] tl::expected<std::uint64_t, OptionError> ParseDateTime(const std::string& text);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_OPTION_VALUES_HPP_
