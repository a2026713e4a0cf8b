// Reads the settings text of the simulator's protocol (path=value lines) into Settings. The platform and the
// daemon's configuration produce the same text, so that one table of keys serves all three.
//
// The functions do no I/O, keep no state and may be called from any thread.
#ifndef MOUNTFLOW_SETTINGS_SETTINGS_HPP_
#define MOUNTFLOW_SETTINGS_SETTINGS_HPP_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "settings/value.hpp"

namespace mountflow::settings {

// The contents of a settings text: the scheduler's settings, and names and limits that only the protocols
// use.
struct WireSettings {
  Settings settings;
  std::vector<std::string> report_names;  // names of the values in a load report, in order
  // Names of the classes, tenants, node kinds and zones, which the simulator's protocol refers to by number.
  // The index of a name is its number.
  std::vector<std::string> class_names, tenant_names, kind_names, zone_names;
  Micros connect_timeout = 0;   // 0: not set
  Micros conn_idle = 0;         // time after which idle connections are closed; 0: not set
  Micros longest_deadline = 0;  // longest deadline of all classes, as a time after arrival
};

// Parses a settings text. Ignores unknown keys; an absent key leaves the default value of Settings. If a key
// occurs more than once, its last value applies. Returns the error of the first malformed line, or else of
// the first invalid value in the order of the key tables.
[[nodiscard]] tl::expected<WireSettings, SettingsError> ParseSettings(std::string_view text);

// Stores a value of a load report in the field that `name` stands for. Ignores unknown names.
void PutReportValue(std::string_view name, double value, LoadReport* report);

}  // namespace mountflow::settings

#endif  // MOUNTFLOW_SETTINGS_SETTINGS_HPP_
