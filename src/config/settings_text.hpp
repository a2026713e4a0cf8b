// Converts the scheduler's settings to the text format of settings/settings.hpp, so that the configuration
// and the other protocols share one table of keys.
#ifndef MOUNTFLOW_CONFIG_SETTINGS_TEXT_HPP_
#define MOUNTFLOW_CONFIG_SETTINGS_TEXT_HPP_

#include <nlohmann/json.hpp>
#include <string>

namespace mountflow::config {

// Converts {"a":{"b":[1,2]}} to the line "a.b=1,2", and a list of objects to "a.count=N", "a.0.NAME=..." and
// so on. Spaces, commas and line ends in values become "_".
[[nodiscard]] std::string ToSettingsText(const nlohmann::json& value);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_SETTINGS_TEXT_HPP_
