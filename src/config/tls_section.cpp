#include "config/tls_section.hpp"

#include <utility>

namespace mountflow::config {

ConfigResult<tls::Options> ReadTls(const nlohmann::json& section, const std::string& file,
                                   const std::string& pointer) {
  tls::Options options;
  options.ca = section.value("ca", "");
  options.certificate = section.value("certificate", "");
  options.key = section.value("key", "");
  options.name = section.value("name", "");
  if (options.certificate.empty() != options.key.empty()) {
    ConfigError error;
    error.code = ConfigErrorCode::kInvalidValue;
    error.file = file;
    error.pointer = pointer;
    error.expected = "certificate and key, or neither";
    return tl::unexpected(std::move(error));
  }
  return options;
}

}  // namespace mountflow::config
