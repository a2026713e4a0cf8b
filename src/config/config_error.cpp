#include "config/config_error.hpp"

namespace mountflow::config {

std::string Describe(const ConfigError& error) {
  switch (error.code) {
    case ConfigErrorCode::kUnreadableFile:
      return error.file + ": cannot be read";
    case ConfigErrorCode::kMalformedJson:
      return error.file + ": line " + std::to_string(error.line) + ", column " +
             std::to_string(error.column) + ": expected " + error.expected + ": " + error.found;
    case ConfigErrorCode::kSchemaViolation:
    case ConfigErrorCode::kInvalidSetting:
      return error.file + ": at " + error.pointer + ": " + error.found;
    case ConfigErrorCode::kInvalidValue:
      break;
  }
  return error.file + ": at " + error.pointer + ": expected " + error.expected;
}

std::vector<std::string> DescribeEach(const ConfigErrors& errors) {
  std::vector<std::string> lines;
  lines.reserve(errors.size());
  for (const ConfigError& error : errors) lines.push_back(Describe(error));
  return lines;
}

}  // namespace mountflow::config
