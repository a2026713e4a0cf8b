// Path patterns for the route table of the HTTP API.
#ifndef MOUNTFLOW_DAEMON_PATH_PATTERN_HPP_
#define MOUNTFLOW_DAEMON_PATH_PATTERN_HPP_

#include <optional>
#include <string>
#include <string_view>

namespace mountflow::daemon {

// Matches a path against a pattern that has at most one parameter:
//   "/v1/jobs"             matches only this path
//   "/v1/jobs/{id}/hold"   {id} matches the text up to the next '/', which may be empty
//   "/v1/jobs/{rest...}"   {rest...} matches the remaining text, which may be empty; must end the pattern
// Returns the parameter, which is empty if the pattern has none; nullopt if the path does not match.
[[nodiscard]] std::optional<std::string> MatchPath(std::string_view pattern, std::string_view path);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_PATH_PATTERN_HPP_
