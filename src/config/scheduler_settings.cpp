#include "config/scheduler_settings.hpp"

#include <utility>

#include "config/settings_text.hpp"
#include "settings/settings.hpp"

namespace mountflow::config {
namespace {

ConfigError InvalidSetting(const SectionReader& section, const settings::SettingsError& cause) {
  ConfigError error;
  error.code = ConfigErrorCode::kInvalidSetting;
  error.file = section.file();
  error.pointer = section.pointer();
  error.expected = cause.expected;
  error.found = settings::Describe(cause);
  return error;
}

}  // namespace

ConfigResult<job_manager::JobManagerOptions> DecodeSchedulerSettings(const SectionReader& section) {
  const auto parsed = settings::ParseSettings(ToSettingsText(section.json()));
  if (!parsed) return tl::unexpected(InvalidSetting(section, parsed.error()));

  job_manager::JobManagerOptions options;
  options.settings = parsed->settings;
  for (const SectionReader& task_class : section.Items("profiles")) {
    options.classes.push_back(task_class.json()["name"].get<std::string>());
    options.hard_limits.push_back(static_cast<Micros>(task_class.json()["hard_limit_us"].get<double>()));
  }
  for (const SectionReader& tenant : section.Items("orgs")) {
    options.tenants.push_back(tenant.json().value("name", ""));
  }
  section.Read("kinds", &options.kinds);
  section.Read("failure_domains", &options.zones);
  return options;
}

}  // namespace mountflow::config
