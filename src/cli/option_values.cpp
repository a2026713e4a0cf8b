#include "cli/option_values.hpp"

#include <time.h>

#include <cctype>
#include <cstdlib>

#include "cli/server_address.hpp"

namespace mountflow::cli {
namespace {

// Numbers of digits in the forms of a date and time, without seconds.
constexpr std::size_t kHourMinute = 4;
constexpr std::size_t kWithDay = 6;
constexpr std::size_t kWithMonth = 8;
constexpr std::size_t kWithYear = 10;
constexpr std::size_t kWithCentury = 12;

constexpr int kFirstYear = 1900;  // year in which tm_year is 0
constexpr int kPivotYear = 69;    // two-digit years below it are in the century from 2000

tl::unexpected<OptionError> Unexpected(const char* option, const char* expected, std::string got) {
  return tl::make_unexpected(OptionError{option, expected, std::move(got)});
}

tl::expected<void, OptionError> AddAttribute(const std::string& text, pbs_protocol::Attributes* list) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) return Unexpected("-W", "attribute=value", text);
  SetAttribute(list, text.substr(0, equals), text.substr(equals + 1));
  return {};
}

bool HasOnlyDigits(const std::string& text) {
  return text.find_first_not_of("0123456789") == std::string::npos;
}

bool IsDateTimeLength(std::size_t length) {
  return length == kHourMinute || length == kWithDay || length == kWithMonth || length == kWithYear ||
         length == kWithCentury;
}

// Parses the digits of [[CC]YY]MMDDhhmm into `when`. Returns false if a part is out of range.
bool SetDateTime(const std::string& digits, tm* when) {
  const auto two_digits = [&digits](std::size_t from_end) {
    return std::atoi(digits.substr(digits.size() - from_end, 2).c_str());
  };
  when->tm_min = two_digits(2);
  when->tm_hour = two_digits(kHourMinute);
  if (digits.size() >= kWithDay) when->tm_mday = two_digits(kWithDay);
  if (digits.size() >= kWithMonth) when->tm_mon = two_digits(kWithMonth) - 1;
  if (digits.size() >= kWithYear) {
    const int year = two_digits(kWithYear);
    when->tm_year = year < kPivotYear ? year + 100 : year;
    if (digits.size() == kWithCentury) when->tm_year = two_digits(kWithCentury) * 100 + year - kFirstYear;
  }
  return when->tm_min <= 59 && when->tm_hour <= 23 && when->tm_mday >= 1 && when->tm_mday <= 31 &&
         when->tm_mon >= 0 && when->tm_mon <= 11;
}

// Returns the time `when`, of which `length` digits were given. If it is past and the year was not given,
// advances the smallest part that was not given by one.
time_t NextTime(tm when, std::size_t length, time_t now) {
  when.tm_isdst = -1;
  time_t result = mktime(&when);
  if (result >= now || length >= kWithYear) return result;
  if (length == kHourMinute) ++when.tm_mday;
  if (length == kWithDay) ++when.tm_mon;
  if (length == kWithMonth) ++when.tm_year;
  when.tm_isdst = -1;
  return mktime(&when);
}

// Parses the seconds ".SS" at position `dot`. Returns 0 if there are none, and nothing if they are malformed.
std::optional<int> ParseSeconds(const std::string& text, std::size_t dot) {
  if (dot == std::string::npos) return 0;
  const std::string digits = text.substr(dot + 1);
  if (digits.size() != 2 || !HasOnlyDigits(digits)) return std::nullopt;
  return std::atoi(digits.c_str());
}

}  // namespace

std::string Describe(const OptionError& error) {
  std::string text = "illegal " + error.option + " value";
  if (error.expected.empty()) return error.got ? text + ": " + *error.got : text;
  text += ": expected " + error.expected;
  if (error.got) text += ", got '" + *error.got + "'";
  return text;
}

void SetAttribute(pbs_protocol::Attributes* list, const std::string& name, const std::string& value,
                  const std::string& resource) {
  for (pbs_protocol::Attribute& attribute : *list) {
    if (attribute.name != name || attribute.resource != resource) continue;
    attribute.value = value;
    return;
  }
  list->push_back({name, resource, value, pbs_protocol::Op::kSet});
}

tl::expected<void, OptionError> AddResources(const std::string& text, pbs_protocol::Attributes* list) {
  for (const std::string& item : Split(text, ',')) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos || equals == 0 || equals + 1 == item.size()) {
      return Unexpected("-l", "resource=value", item);
    }
    SetAttribute(list, "Resource_List", item.substr(equals + 1), item.substr(0, equals));
  }
  return {};
}

tl::expected<void, OptionError> AddAttributes(const std::string& text, pbs_protocol::Attributes* list) {
  std::string item;
  char quote = '\0';  // the quote character that is open; '\0' if none
  for (const char character : text) {
    const bool is_quote = quote != '\0' ? character == quote : character == '"' || character == '\'';
    if (is_quote) {
      quote = quote != '\0' ? '\0' : character;
    } else if (character == ',' && quote == '\0') {
      auto added = AddAttribute(item, list);
      if (!added) return added;
      item.clear();
    } else {
      item.push_back(character);
    }
  }
  return AddAttribute(item, list);
}

tl::expected<std::uint64_t, OptionError> ParseDateTime(const std::string& text) {
  const auto malformed = [&text] { return Unexpected("-a", "[[CC]YY]MMDDhhmm[.SS]", text); };
  const std::size_t dot = text.find('.');
  const std::string digits = text.substr(0, dot);
  const std::optional<int> seconds = ParseSeconds(text, dot);
  if (!seconds || *seconds > 60 || !HasOnlyDigits(digits) || !IsDateTimeLength(digits.size())) {
    return malformed();
  }
  const time_t now = time(nullptr);
  tm when{};
  localtime_r(&now, &when);
  when.tm_sec = *seconds;
  if (!SetDateTime(digits, &when)) return malformed();
  const time_t result = NextTime(when, digits.size(), now);
  if (result < 0) return malformed();
  return static_cast<std::uint64_t>(result);
}

}  // namespace mountflow::cli
