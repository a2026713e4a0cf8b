// Code shared by Consul's key-value store and its catalog: durations, errors and blocking queries.
//
// A blocking query carries the last index that its client has seen. It is answered when a newer index exists,
// or when its wait time has passed.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_BLOCKING_QUERY_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_BLOCKING_QUERY_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "http/message.hpp"
#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

using ConsulIndex = std::uint64_t;

// An HTTP error status and the plain-text body that Consul sends with it.
struct ConsulError {
  int status = 0;
  std::string text;
};

// The body of a reply with status 200. Empty if the reply was already written or a blocking query is waiting.
using ConsulResult = tl::expected<std::optional<std::string>, ConsulError>;

// Parses a duration such as 10s, 500ms or 5m. Returns 0 if `text` is not a valid duration.
[[nodiscard]] Micros ParseDuration(const std::string& text);

struct BlockingQuery {
  ConnectionId connection = 0;
  bool keep_alive = true;
  ConsulIndex known_index = 0;  // 0: answer immediately
  Micros expires_at = 0;
};

// Parses the query parameters `index` and `wait`. The wait is five minutes by default and at most ten.
[[nodiscard]] BlockingQuery ParseBlockingQuery(Micros now, ConnectionId connection,
                                               const http::Message& request);

// Returns the reply to a query, with Consul's headers.
[[nodiscard]] Reply WriteQueryReply(const BlockingQuery& query, int status, ConsulIndex index,
                                    bool has_leader, const std::string& body);

// Returns the reply to a request that is not a query.
[[nodiscard]] Reply WriteConsulReply(ConnectionId connection, bool keep_alive, int status,
                                     const std::string& body);

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_BLOCKING_QUERY_HPP_
