// Parses the values of the settings text (numbers, times, flags, named choices and lists) and reports typed
// errors.
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

// Largest number of items in a list, and largest number of classes or tenants.
inline constexpr std::size_t kMaxItems = 4096;

// The kinds of errors in a settings text.
enum class SettingsErrorCode {
  kMalformedLine,  // the line numbered `line` does not have the form path=value
  kBadValue,       // the value of `key` is invalid
  kListTooLong     // the value of `key` has more than kMaxItems items
};

// The reason why a settings text cannot be parsed.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kBadValue;
  std::string key;       // empty for kMalformedLine
  std::size_t line = 0;  // counted from 1; 0 unless kMalformedLine
  std::string expected;
  std::string got;
};

// Returns one sentence with the key or the line, the expected value and the actual value.
[[nodiscard]] std::string Describe(const SettingsError& error);

// A key and its value, or a key and one item of its value if that is a list.
struct Setting {
  std::string_view key;
  const std::string& value;
};

// A parsed value or the error.
template <typename T>
using Result = tl::expected<T, SettingsError>;
using Status = Result<void>;

// Returns a kBadValue error for `setting`.
[[nodiscard]] tl::unexpected<SettingsError> BadValue(const Setting& setting, std::string expected);

// Parse the value of a setting. Each comment states the accepted values.
[[nodiscard]] Result<double> ParseNumber(const Setting& setting);         // finite
[[nodiscard]] Result<Micros> ParseTime(const Setting& setting);           // 0 or more, in microseconds
[[nodiscard]] Result<int> ParseInteger(const Setting& setting);           // a whole number
[[nodiscard]] Result<unsigned> ParseCount(const Setting& setting);        // 0 or more
[[nodiscard]] Result<std::size_t> ParseListSize(const Setting& setting);  // 0 to kMaxItems
[[nodiscard]] Result<bool> ParseFlag(const Setting& setting);             // "true" or "false"
[[nodiscard]] Result<std::vector<std::string>> ParseList(const Setting& setting);  // separated by commas

// A word that a value may have, and its meaning.
template <typename T>
struct Choice {
  const char* word;
  T meaning;
};

// Returns the meaning of the word in `choices` that equals the value.
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
