// Decodes the section of TLS key files that several configurations have.
#ifndef MOUNTFLOW_CONFIG_TLS_SECTION_HPP_
#define MOUNTFLOW_CONFIG_TLS_SECTION_HPP_

#include <nlohmann/json.hpp>
#include <string>

#include "config/config_error.hpp"
#include "tls/context.hpp"

namespace mountflow::config {

// Reads {"ca", "certificate", "key", "name"} at `pointer` of `file`. Returns kInvalidValue if only one of
// certificate and key is present. Does not check whether the files can be loaded.
[[nodiscard]] ConfigResult<tls::Options> ReadTls(const nlohmann::json& section, const std::string& file,
                                                 const std::string& pointer);

}  // namespace mountflow::config

#endif  // MOUNTFLOW_CONFIG_TLS_SECTION_HPP_
