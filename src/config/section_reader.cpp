#include "config/section_reader.hpp"

#include <cstddef>

namespace mountflow::config {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

std::vector<SectionReader> SectionReader::Items(const char* key) const {
  std::vector<SectionReader> items;
  if (!Has(key)) return items;
  const nlohmann::json& list = section_[key];
  for (std::size_t i = 0; i < list.size(); ++i) {
    items.emplace_back(list[i], file_, pointer_ + "/" + key + "/" + std::to_string(i), errors_);
  }
  return items;
}

void SectionReader::ReadSeconds(const char* key, Micros* field) const {
  if (!Has(key)) return;
  const double seconds = section_[key].get<double>();
  *field = static_cast<Micros>(seconds * kMicrosPerSecond);
}

void SectionReader::AddError(const std::string& relative_pointer, std::string expected) const {
  ConfigError error;
  error.code = ConfigErrorCode::kInvalidValue;
  error.file = file_;
  error.pointer = pointer_ + relative_pointer;
  error.expected = std::move(expected);
  errors_->push_back(std::move(error));
}

}  // namespace mountflow::config
