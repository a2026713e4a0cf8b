// Decodes the section "settings": the description of a deployment, with the keys of the settings text.
#ifndef MOUNTFLOW_CONFIG_SCHEDULER_SETTINGS_HPP_
#define MOUNTFLOW_CONFIG_SCHEDULER_SETTINGS_HPP_

#include "config/section_reader.hpp"
#include "job_manager/job_manager.hpp"

namespace mountflow::config {

// Returns the scheduler's settings, and the names and deadlines of the classes, tenants, node kinds and zones
// that they number; kInvalidSetting if the settings are invalid. The schema guarantees at least one class,
// and a name and a deadline for each class. All other options have their default values.
[[nodiscard]] ConfigResult<job_manager::JobManagerOptions> DecodeSchedulerSettings(
    const SectionReader& section);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_SCHEDULER_SETTINGS_HPP_
