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
  // What the wire of the simulator says by position and the sockets say by name, in the order of positions.
  std::vector<std::string> class_names, tenant_names, kind_names, zone_names;
  Micros connect_timeout = 0;   // 0: not told
  Micros conn_idle = 0;         // idle connections are closed after this; 0: not told
  Micros longest_deadline = 0;  // of all classes
};

// Throws SettingsError, naming the key or line, when a known key cannot be
// read. Unknown keys are skipped; an absent key keeps the default of Settings.
WireSettings ParseSettings(std::string_view text);

// Puts one value of a load report where its name says; names that are not known are skipped.
void PutReportValue(std::string_view name, double value, LoadReport* report);

}  // namespace mountflow::settings

#endif  // MOUNTFLOW_SETTINGS_SETTINGS_HPP_
