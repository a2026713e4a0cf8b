// Parsing of option values that several commands share.
#ifndef MOUNTFLOW_CLI_OPTION_VALUES_HPP_
#define MOUNTFLOW_CLI_OPTION_VALUES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::cli {

// An invalid value of an option.
struct OptionError {
  std::string option;              // for example "-l"
  std::string expected;            // description of a valid value; may be empty
  std::optional<std::string> got;  // the invalid value, if the message should quote it
};
// Returns a message for users.
[[nodiscard]] std::string Describe(const OptionError& error);

// Sets an attribute in `list`, or one resource of an attribute. Replaces an earlier value.
void SetAttribute(pbs_protocol::Attributes* list, const std::string& name, const std::string& value,
                  const std::string& resource = "");

// Parses resources such as "ncpus=2,mem=1gb" and adds them to `list` as resources of Resource_List.
[[nodiscard]] tl::expected<void, OptionError> AddResources(const std::string& text,
                                                           pbs_protocol::Attributes* list);

// Parses attributes such as "a=b,c=d" and adds them to `list`. Commas within quotes belong to the value.
[[nodiscard]] tl::expected<void, OptionError> AddAttributes(const std::string& text,
                                                            pbs_protocol::Attributes* list);

// Parses a time of the form [[CC]YY]MMDDhhmm[.SS], as in the POSIX touch command, where MM and DD may be
// omitted as well. Returns seconds since the epoch. If the year, month or day is omitted, the result is the
// next such time that is not past.
[[nodiscard]] tl::expected<std::uint64_t, OptionError> ParseDateTime(const std::string& text);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_OPTION_VALUES_HPP_
