#include "daemon/path_pattern.hpp"

namespace mountflow::daemon {
namespace {

constexpr std::string_view kRestParameter = "{rest...}";

bool HasPrefix(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

std::optional<std::string> MatchPath(std::string_view pattern, std::string_view path) {
  const std::size_t open = pattern.find('{');
  if (open == std::string_view::npos) {
    return pattern == path ? std::optional<std::string>("") : std::nullopt;
  }
  if (!HasPrefix(path, pattern.substr(0, open))) return std::nullopt;
  const std::string_view remainder = path.substr(open);
  if (pattern.substr(open) == kRestParameter) return std::string(remainder);
  const std::string_view suffix = pattern.substr(pattern.find('}', open) + 1);
  const std::string_view segment = remainder.substr(0, remainder.find('/'));
  if (remainder.substr(segment.size()) != suffix) return std::nullopt;
  return std::string(segment);
}

}  // namespace mountflow::daemon
