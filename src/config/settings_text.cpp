#include "config/settings_text.hpp"

#include <array>
#include <cstddef>
#include <cstdio>

namespace mountflow::config {
namespace {

using nlohmann::json;

// Large enough for any double with 17 significant digits, which are enough to read back the same double.
constexpr std::size_t kMaxNumberLength = 40;

std::string ScalarText(const json& value) {
  std::string text;
  if (value.is_string()) {
    text = value.get<std::string>();
  } else if (value.is_number_float()) {
    std::array<char, kMaxNumberLength> digits{};
    std::snprintf(digits.data(), digits.size(), "%.17g", value.get<double>());
    text = digits.data();
  } else {
    text = value.dump();
  }
  // Replaces the separators of the settings text.
  for (char& character : text) {
    if (character == ' ' || character == ',' || character == '\n') character = '_';
  }
  return text;
}

std::string Join(const json& scalars) {
  std::string joined;
  for (const json& scalar : scalars) {
    if (!joined.empty()) joined += ",";
    joined += ScalarText(scalar);
  }
  return joined;
}

void AppendLines(const json& value, const std::string& path, std::string* text) {
  const auto path_of = [&path](const std::string& name) { return path.empty() ? name : path + "." + name; };
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) AppendLines(member, path_of(name), text);
  } else if (value.is_array() && !value.empty() && value[0].is_object()) {
    *text += path_of("count") + "=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) AppendLines(value[i], path_of(std::to_string(i)), text);
  } else {
    *text += path + "=" + (value.is_array() ? Join(value) : ScalarText(value)) + "\n";
  }
}

}  // namespace

std::string ToSettingsText(const json& value) {
  std::string text;
  AppendLines(value, "", &text);
  return text;
}

}  // namespace mountflow::config
