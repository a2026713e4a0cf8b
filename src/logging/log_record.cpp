#include "logging/log_record.hpp"

#include <algorithm>

#include "logging/event_table.hpp"

namespace mountflow::logging {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsControl(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte < kFirstPrintable || byte == kDelete;
}

bool NeedsQuotes(char character) {
  return IsControl(character) || character == ' ' || character == '"' || character == '\\' ||
         character == '=';
}

void AppendEscaped(char character, std::string* line) {
  if (character == '"' || character == '\\') {
    *line += '\\';
    *line += character;
  } else if (character == '\n') {
    *line += "\\n";
  } else if (character == '\r') {
    *line += "\\r";
  } else if (character == '\t') {
    *line += "\\t";
  } else if (IsControl(character)) {
    const auto byte = static_cast<unsigned char>(character);
    *line += "\\x";
    *line += kHexDigits[byte >> 4];
    *line += kHexDigits[byte & 0xf];
  } else {
    *line += character;
  }
}

void AppendValue(const std::string& text, std::string* line) {
  if (!text.empty() && std::none_of(text.begin(), text.end(), NeedsQuotes)) {
    *line += text;
    return;
  }
  *line += '"';
  for (const char character : text) AppendEscaped(character, line);
  *line += '"';
}

void AppendValue(std::int64_t number, std::string* line) { *line += std::to_string(number); }
void AppendValue(std::uint64_t number, std::string* line) { *line += std::to_string(number); }

}  // namespace

std::string FormatKeyValue(const LogRecord& record) {
  std::string line(kEventField);
  line += '=';
  line += Name(record.event);
  for (const LogField& field : record.fields) {
    line += ' ';
    line += field.name;
    line += '=';
    std::visit([&line](const auto& value) { AppendValue(value, &line); }, field.value);
  }
  return line;
}

}  // namespace mountflow::logging
