// Includes the whole package: the daemon's configuration, and the functions with which other programs read
// theirs.
//
// A text is converted to a configuration in steps, each in its own file: JSON parsing (json_text.hpp), the
// check against a schema (schema_check.hpp), the scheduler's settings (scheduler_settings.hpp), which are
// converted to settings text (settings_text.hpp), and the other sections (sections.hpp). daemon_loader.hpp
// runs all steps. The functions keep no state and may be called from any thread.
#ifndef MOUNTFLOW_CONFIG_CONFIG_HPP_
#define MOUNTFLOW_CONFIG_CONFIG_HPP_

#include "config/config_error.hpp"    // IWYU pragma: export
#include "config/daemon_config.hpp"   // IWYU pragma: export
#include "config/daemon_loader.hpp"   // IWYU pragma: export
#include "config/embedded_texts.hpp"  // IWYU pragma: export
#include "config/json_text.hpp"       // IWYU pragma: export
#include "config/schema_check.hpp"    // IWYU pragma: export
#include "config/state_folder.hpp"    // IWYU pragma: export
#include "config/tls_section.hpp"     // IWYU pragma: export

#endif  // MOUNTFLOW_CONFIG_CONFIG_HPP_
