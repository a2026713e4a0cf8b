// Patterns of the paths in the HTTP front's table of routes.
#ifndef MOUNTFLOW_DAEMON_PATH_PATTERN_HPP_
#define MOUNTFLOW_DAEMON_PATH_PATTERN_HPP_

#include <optional>
#include <string>
#include <string_view>

namespace mountflow::daemon {

// Matches a path with a pattern that has one parameter at most:
//   "/v1/jobs"             this path alone
//   "/v1/jobs/{id}/hold"   {id}: up to the next '/', possibly nothing
//   "/v1/jobs/{rest...}"   {rest...}: everything to the end, possibly nothing; must be the end of the pattern
// Returns the parameter, empty for a pattern that has none; nullopt when the path does not match.
[[nodiscard]] std::optional<std::string> MatchPath(std::string_view pattern, std::string_view path);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_PATH_PATTERN_HPP_
