// Reads the settings text of the wire (path=value lines) into Settings.
#ifndef MOUNTFLOW_SETTINGS_SETTINGS_HPP_
#define MOUNTFLOW_SETTINGS_SETTINGS_HPP_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::settings {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct WireSettings {
  Settings settings;
  std::vector<std::string> report_names;  // order of values in a load report
};

// Throws SettingsError, naming the key or line, when a known key cannot be
// read. Unknown keys are skipped; an absent key keeps the default of Settings.
WireSettings ParseSettings(std::string_view text);

}  // namespace mountflow::settings

#endif  // MOUNTFLOW_SETTINGS_SETTINGS_HPP_
