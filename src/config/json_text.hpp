// Reading of files and of JSON with comments.
#ifndef MOUNTFLOW_CONFIG_JSON_TEXT_HPP_
#define MOUNTFLOW_CONFIG_JSON_TEXT_HPP_

#include <nlohmann/json.hpp>
#include <string>

#include "config/config_error.hpp"

namespace mountflow::config {

// Returns the contents of the file, or kUnreadableFile.
[[nodiscard]] ConfigResult<std::string> ReadFile(const std::string& file);

// Parses JSON with line and block comments. Returns kMalformedJson if the text is not valid. `name`
// identifies the text in errors.
[[nodiscard]] ConfigResult<nlohmann::json> ParseJson(const std::string& text, const std::string& name);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_JSON_TEXT_HPP_
