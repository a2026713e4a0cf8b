#include "pbs_server/attribute_values.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdio>

namespace mountflow::pbs_server {
namespace {

constexpr double kMaxSizeBytes = 1e18;
constexpr double kMaxDurationSeconds = 1e9;
constexpr double kMicrosPerSecond = 1e6;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kSecondsPerMinute = 60;
constexpr Micros kSecondsPerHour = 3600;
constexpr char kUserKeySeparator = '\n';

struct SizeUnit {
  std::string_view name;
  double bytes;
};
// The unit "w" is a word of eight bytes.
constexpr SizeUnit kParsedUnits[] = {{"", 1.0},
                                     {"b", 1.0},
                                     {"w", 8.0},
                                     {"kb", 1024.0},
                                     {"kw", 8192.0},
                                     {"mb", 1048576.0},
                                     {"mw", 8388608.0},
                                     {"gb", 1073741824.0},
                                     {"gw", 8589934592.0},
                                     {"tb", 1099511627776.0}};
constexpr SizeUnit kFormattedUnits[] = {{"gb", 1073741824.0}, {"mb", 1048576.0}, {"kb", 1024.0}, {"b", 1.0}};

struct LoadField {
  std::string_view name;
  std::optional<double> LoadReport::*value;
};
constexpr LoadField kLoadFields[] = {{"x0", &LoadReport::free_cores},
                                     {"x1", &LoadReport::free_memory},
                                     {"queue", &LoadReport::queued},
                                     {"util", &LoadReport::utilisation}};

template <typename T>
std::optional<T> ParseWhole(std::string_view text) {
  T value{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool IsDigitOrPoint(char letter) { return (letter >= '0' && letter <= '9') || letter == '.'; }

}  // namespace

std::optional<double> ParseNumber(std::string_view text) {
  const std::optional<double> number = ParseWhole<double>(text);
  return number && std::isfinite(*number) ? number : std::nullopt;
}

std::string FormatNumber(double number) {
  std::array<char, 40> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.12g", number);
  return {text.data(), static_cast<std::size_t>(length)};
}

std::optional<std::uint64_t> ParseCount(std::string_view text) { return ParseWhole<std::uint64_t>(text); }

std::optional<double> ParseSize(std::string_view text) {
  const auto unit_begin = std::find_if_not(text.begin(), text.end(), IsDigitOrPoint);
  const auto digits = static_cast<std::size_t>(unit_begin - text.begin());
  const std::optional<double> number = ParseNumber(text.substr(0, digits));
  if (!number) return std::nullopt;
  std::string unit_name(text.substr(digits));
  std::transform(unit_name.begin(), unit_name.end(), unit_name.begin(), ToLower);
  for (const SizeUnit& unit : kParsedUnits) {
    if (unit.name != unit_name) continue;
    const double bytes = *number * unit.bytes;
    return bytes <= kMaxSizeBytes ? std::optional(bytes) : std::nullopt;
  }
  return std::nullopt;
}

std::string FormatSize(double bytes) {
  for (const SizeUnit& unit : kFormattedUnits) {
    const double count = bytes / unit.bytes;
    if (count >= 1.0 && count == std::floor(count)) return FormatNumber(count) + std::string(unit.name);
  }
  return FormatNumber(std::round(bytes)) + "b";
}

std::optional<Micros> ParseDuration(std::string_view text) {
  constexpr int kMaxColons = 2;
  double seconds = 0.0;
  for (int colons = 0;; ++colons) {
    const std::size_t colon = text.find(':');
    const std::optional<double> part = ParseNumber(text.substr(0, colon));
    if (colons > kMaxColons || !part || *part < 0.0) return std::nullopt;
    seconds = seconds * static_cast<double>(kSecondsPerMinute) + *part;
    if (colon == std::string_view::npos) break;
    text = text.substr(colon + 1);
  }
  if (seconds > kMaxDurationSeconds) return std::nullopt;
  return static_cast<Micros>(std::llround(seconds * kMicrosPerSecond));
}

std::string FormatDuration(Micros duration) {
  const Micros seconds = duration / kSecond;
  const Micros fraction = duration % kSecond;
  const auto hours = static_cast<unsigned long long>(seconds / kSecondsPerHour);
  const auto minutes = static_cast<unsigned long long>(seconds / kSecondsPerMinute % kSecondsPerMinute);
  const auto rest = static_cast<unsigned long long>(seconds % kSecondsPerMinute);
  std::array<char, 64> text{};
  int length = std::snprintf(text.data(), text.size(), "%02llu:%02llu:%02llu", hours, minutes, rest);
  std::string formatted(text.data(), static_cast<std::size_t>(length));
  if (fraction == 0) return formatted;
  length = std::snprintf(text.data(), text.size(), ".%06llu", static_cast<unsigned long long>(fraction));
  return formatted.append(text.data(), static_cast<std::size_t>(length));
}

std::string FormatLoad(const LoadReport& report) {
  std::string text;
  for (const LoadField& field : kLoadFields) {
    const std::optional<double>& value = report.*field.value;
    if (!value) continue;
    if (!text.empty()) text += ' ';
    text.append(field.name).append("=").append(FormatNumber(*value));
  }
  return text;
}

LoadReport ParseLoad(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const std::size_t space = text.find(' ');
    const std::string_view pair = text.substr(0, space);
    text = space == std::string_view::npos ? std::string_view{} : text.substr(space + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    const std::optional<double> value = ParseNumber(pair.substr(equals + 1));
    if (!value) continue;
    for (const LoadField& field : kLoadFields) {
      if (field.name == pair.substr(0, equals)) report.*field.value = value;
    }
  }
  return report;
}

std::string FormatUserKey(std::string_view user, std::string_view key) {
  std::string text(user);
  text.push_back(kUserKeySeparator);
  text += key;
  return text;
}

bool IsUserKey(std::string_view text) { return text.find(kUserKeySeparator) != std::string_view::npos; }

}  // namespace mountflow::pbs_server
