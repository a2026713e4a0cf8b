// Errors found while reading a configuration.
#ifndef MOUNTFLOW_CONFIG_CONFIG_ERROR_HPP_
#define MOUNTFLOW_CONFIG_CONFIG_ERROR_HPP_

#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace mountflow::config {

enum class ConfigErrorCode {
  kUnreadableFile,   // the file is missing or cannot be opened
  kMalformedJson,    // the text is not valid JSON at `line` and `column`
  kSchemaViolation,  // a value that the schema does not allow
  kInvalidSetting,   // the scheduler's settings reject a value
  kInvalidValue,     // allowed by the schema, but invalid by itself or together with other values
};

// One error and its location.
struct ConfigError {
  ConfigErrorCode code = ConfigErrorCode::kInvalidValue;
  std::string file;      // file name, or the name of an embedded text
  std::string pointer;   // JSON pointer (RFC 6901) to the value; "/" for the whole document
  std::size_t line = 0;  // 1-based; `line` and `column` are set only with kMalformedJson
  std::size_t column = 0;
  std::string expected;
  std::string found;  // description by the JSON parser, schema or settings; empty with kInvalidValue
};

template <typename T>
using ConfigResult = tl::expected<T, ConfigError>;
// The errors of a whole document, which are reported together.
using ConfigErrors = std::vector<ConfigError>;

// Returns one line for operators: "FILE: at POINTER: expected X".
[[nodiscard]] std::string Describe(const ConfigError& error);
// Returns one such line for each error.
[[nodiscard]] std::vector<std::string> DescribeEach(const ConfigErrors& errors);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_CONFIG_ERROR_HPP_
