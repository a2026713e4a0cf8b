// Comparison of a job's attributes with the criteria of a selection.
#ifndef MOUNTFLOW_PBS_SERVER_ATTRIBUTE_COMPARISON_HPP_
#define MOUNTFLOW_PBS_SERVER_ATTRIBUTE_COMPARISON_HPP_

#include <string>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_server {

// Returns NAME from "NAME" or "NAME@HOST".
[[nodiscard]] std::string UserOf(const std::string& user);

// Reports whether the attributes `shown` satisfy the criterion `wanted`, compared by its operator. A missing
// attribute is compared as an empty text. An operator that is no comparison means equality.
[[nodiscard]] bool Matches(const pbs_protocol::Attributes& shown, const pbs_protocol::Attribute& wanted);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_ATTRIBUTE_COMPARISON_HPP_
