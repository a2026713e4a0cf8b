#include "config/json_text.hpp"

#include <cstddef>
#include <fstream>
#include <sstream>
#include <utility>

namespace mountflow::config {
namespace {

using nlohmann::json;

// Returns the parser's message without its position, which is given as a byte offset.
std::string ParserMessage(const json::parse_error& error) {
  const std::string text = error.what();
  const std::size_t separator = text.find("- ");
  return separator == std::string::npos ? text : text.substr(separator + 2);
}

ConfigError MalformedJson(const std::string& text, const std::string& name, const json::parse_error& error) {
  ConfigError malformed;
  malformed.code = ConfigErrorCode::kMalformedJson;
  malformed.file = name;
  malformed.line = 1;
  malformed.column = 1;
  // `byte` is the 1-based position at which the parser stopped; it may lie beyond the end of the text.
  for (std::size_t i = 0; i + 1 < error.byte && i < text.size(); ++i) {
    const bool ends_line = text[i] == '\n';
    malformed.column = ends_line ? 1 : malformed.column + 1;
    if (ends_line) ++malformed.line;
  }
  malformed.expected = "JSON";
  malformed.found = ParserMessage(error);
  return malformed;
}

}  // namespace

ConfigResult<std::string> ReadFile(const std::string& file) {
  const std::ifstream in(file, std::ios::binary);
  if (!in) {
    ConfigError unreadable;
    unreadable.code = ConfigErrorCode::kUnreadableFile;
    unreadable.file = file;
    return tl::unexpected(std::move(unreadable));
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

ConfigResult<json> ParseJson(const std::string& text, const std::string& name) {
  try {
    return ConfigResult<json>(tl::in_place, json::parse(text, nullptr, true, true));
  } catch (const json::parse_error& error) {
    return tl::unexpected(MalformedJson(text, name, error));
  }
}

}  // namespace mountflow::config
