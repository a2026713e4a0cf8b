#include "settings/value.hpp"

#include <cmath>
#include <cstdlib>
#include <utility>

namespace mountflow::settings {
namespace {

constexpr double kMaxTime = 9e15;    // microseconds; exactly representable in a double
constexpr double kMaxInteger = 2e9;  // fits into an int

}  // namespace

std::string Describe(const SettingsError& error) {
  std::string where = "setting " + error.key;
  if (error.code == SettingsErrorCode::kMalformedLine) where = "settings line " + std::to_string(error.line);
  return where + ": expected " + error.expected + ", got '" + error.got + "'";
}

tl::unexpected<SettingsError> BadValue(const Setting& setting, std::string expected) {
  return tl::make_unexpected(SettingsError{SettingsErrorCode::kBadValue, std::string(setting.key), 0,
                                           std::move(expected), setting.value});
}

Result<double> ParseNumber(const Setting& setting) {
  char* end = nullptr;
  const double number = std::strtod(setting.value.c_str(), &end);
  if (setting.value.empty() || *end != '\0' || !std::isfinite(number)) return BadValue(setting, "a number");
  return number;
}

Result<Micros> ParseTime(const Setting& setting) {
  const Result<double> number = ParseNumber(setting);
  if (!number) return tl::make_unexpected(number.error());
  if (*number < 0 || *number > kMaxTime) return BadValue(setting, "a time of 0 or more");
  return static_cast<Micros>(*number);
}

Result<int> ParseInteger(const Setting& setting) {
  const Result<double> number = ParseNumber(setting);
  if (!number) return tl::make_unexpected(number.error());
  if (*number != std::floor(*number) || std::fabs(*number) > kMaxInteger) {
    return BadValue(setting, "a whole number");
  }
  return static_cast<int>(*number);
}

Result<unsigned> ParseCount(const Setting& setting) {
  const Result<int> number = ParseInteger(setting);
  if (!number) return tl::make_unexpected(number.error());
  if (*number < 0) return BadValue(setting, "a count");
  return static_cast<unsigned>(*number);
}

Result<std::size_t> ParseListSize(const Setting& setting) {
  const Result<unsigned> count = ParseCount(setting);
  if (!count) return tl::make_unexpected(count.error());
  if (*count > kMaxItems) return BadValue(setting, "a count");
  return std::size_t{*count};
}

Result<bool> ParseFlag(const Setting& setting) {
  if (setting.value == "true") return true;
  if (setting.value == "false") return false;
  return BadValue(setting, "true or false");
}

Result<std::vector<std::string>> ParseList(const Setting& setting) {
  std::vector<std::string> items;
  if (setting.value.empty()) return items;
  const std::string_view value = setting.value;
  for (std::size_t from = 0;;) {
    const std::size_t comma = value.find(',', from);
    if (items.size() == kMaxItems) {
      return tl::make_unexpected(SettingsError{SettingsErrorCode::kListTooLong, std::string(setting.key), 0,
                                               "a list of at most " + std::to_string(kMaxItems) + " items",
                                               "more"});
    }
    items.emplace_back(value.substr(from, comma - from));
    if (comma == std::string_view::npos) return items;
    from = comma + 1;
  }
}

}  // namespace mountflow::settings
