#include "cli/directives.hpp"

namespace mountflow::cli {
namespace {

bool IsBlank(char c) { return c == ' ' || c == '\t' || c == '\r'; }

// Splits one line; false when a quote is not closed.
bool Split(std::string_view line, std::vector<std::string>* to) {
  std::string word;
  bool in_word = false;
  char quote = 0;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (quote != 0) {
      if (c == quote) {
        quote = 0;
      } else if (c == '\\' && quote == '"' && i + 1 < line.size()) {
        word.push_back(line[++i]);
      } else {
        word.push_back(c);
      }
    } else if (c == '\'' || c == '"') {
      quote = c;
      in_word = true;
    } else if (c == '\\' && i + 1 < line.size()) {
      word.push_back(line[++i]);
      in_word = true;
    } else if (IsBlank(c)) {
      if (in_word) to->push_back(word);
      word.clear();
      in_word = false;
    } else if (c == '#' && !in_word) {
      break;  // the rest is a comment
    } else {
      word.push_back(c);
      in_word = true;
    }
  }
  if (in_word) to->push_back(word);
  return quote == 0;
}

}  // namespace

Directives ReadDirectives(std::string_view script, std::string_view prefix) {
  Directives result;
  if (prefix.empty()) return result;
  std::size_t number = 0, count = 0;
  while (!script.empty()) {
    ++number;
    const std::size_t end = script.find('\n');
    std::string_view line = script.substr(0, end);
    script = end == std::string_view::npos ? std::string_view{} : script.substr(end + 1);
    while (!line.empty() && IsBlank(line.front())) line.remove_prefix(1);
    while (!line.empty() && IsBlank(line.back())) line.remove_suffix(1);
    if (line.empty()) continue;
    const std::string at = "script line " + std::to_string(number) + ": expected ";
    if (line.substr(0, prefix.size()) == prefix) {
      if (line.size() > kMostDirectiveLine) {
        result.error = at + "a directive of at most " + std::to_string(kMostDirectiveLine) + " bytes";
        return result;
      }
      if (++count > kMostDirectives) {
        result.error = at + "at most " + std::to_string(kMostDirectives) + " directives";
        return result;
      }
      if (!Split(line.substr(prefix.size()), &result.arguments)) {
        result.error = at + "a closing quote";
        return result;
      }
      continue;
    }
    if (line.front() != '#') break;
  }
  return result;
}

}  // namespace mountflow::cli
