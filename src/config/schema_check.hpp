// Validation of JSON values against a JSON schema.
#ifndef MOUNTFLOW_CONFIG_SCHEMA_CHECK_HPP_
#define MOUNTFLOW_CONFIG_SCHEMA_CHECK_HPP_

#include <nlohmann/json.hpp>
#include <string>

#include "config/config_error.hpp"

namespace mountflow::config {

// Returns a kSchemaViolation for each value that violates the schema, the outermost value last; empty if the
// value is valid. `schema` is JSON with comments and must be a valid schema. `name` identifies the value's
// file in errors.
[[nodiscard]] ConfigErrors CheckSchema(const nlohmann::json& value, const char* schema,
                                       const std::string& name);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_SCHEMA_CHECK_HPP_
