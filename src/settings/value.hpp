// Values of the settings text: numbers, times, flags, named choices and lists, each read with a typed error.
#ifndef MOUNTFLOW_SETTINGS_VALUE_HPP_
#define MOUNTFLOW_SETTINGS_VALUE_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::settings {

// Bound of a list and of a count in one settings text.
inline constexpr std::size_t kMaxItems = 4096;

enum class SettingsErrorCode {
  kMalformedLine,  // `line` tells which
  kBadValue,       // of `key`
  kListTooLong     // the value of `key`
};

struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kBadValue;
  std::string key;
  std::size_t line = 0;  // from 1
  std::string expected;
  std::string got;
};

// One sentence that names the key or the line, what was expected, and what came.
[[nodiscard]] std::string Describe(const SettingsError& error);

// A key and its value, or one item of its value where that is a list.
struct Setting {
  std::string_view key;
  const std::string& value;
};

template <typename T>
using Result = tl::expected<T, SettingsError>;
using Status = Result<void>;

[[nodiscard]] tl::unexpected<SettingsError> BadValue(const Setting& setting, std::string expected);

[[nodiscard]] Result<double> ParseNumber(const Setting& setting);  // finite
[[nodiscard]] Result<Micros> ParseTime(const Setting& setting);    // 0 or more
[[nodiscard]] Result<int> ParseInteger(const Setting& setting);
[[nodiscard]] Result<unsigned> ParseCount(const Setting& setting);                 // 0 or more
[[nodiscard]] Result<std::size_t> ParseListSize(const Setting& setting);           // 0 to kMaxItems
[[nodiscard]] Result<bool> ParseFlag(const Setting& setting);                      // "true" or "false"
[[nodiscard]] Result<std::vector<std::string>> ParseList(const Setting& setting);  // separated by commas

// A word that a value may be, and what it means.
template <typename T>
struct Choice {
  const char* word;
  T meaning;
};

template <typename T, std::size_t count>
[[nodiscard]] Result<T> ParseChoice(const Setting& setting, const Choice<T> (&choices)[count]) {
  std::string expected = "one of";
  for (const Choice<T>& choice : choices) {
    if (setting.value == choice.word) return choice.meaning;
    expected += std::string(" ") + choice.word;
  }
  return BadValue(setting, std::move(expected));
}

}  // namespace mountflow::settings

#endif  // MOUNTFLOW_SETTINGS_VALUE_HPP_
