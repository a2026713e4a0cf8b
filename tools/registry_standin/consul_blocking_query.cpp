#include "tools/registry_standin/consul_blocking_query.hpp"

#include <algorithm>
#include <cstdlib>

namespace mountflow::registry_standin {
namespace {

constexpr Micros kDefaultWait = 300'000'000;
constexpr Micros kMaxWait = 600'000'000;
constexpr double kMaxDuration = 1e6;  // in its own unit; larger values are invalid

double MicrosOfUnit(const std::string& unit) {
  if (unit == "ms") return 1e3;
  if (unit == "m") return 6e7;
  return 1e6;
}

}  // namespace

Micros ParseDuration(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  const bool is_duration = number > 0 && number < kMaxDuration;
  return is_duration ? static_cast<Micros>(number * MicrosOfUnit(end)) : 0;
}

BlockingQuery ParseBlockingQuery(Micros now, ConnectionId connection, const http::Message& request) {
  BlockingQuery query;
  query.connection = connection;
  query.keep_alive = request.keep_alive;
  query.known_index = std::strtoull(request.Query("index", "0").c_str(), nullptr, 10);
  const Micros wait = request.query.contains("wait") ? ParseDuration(request.Query("wait")) : kDefaultWait;
  query.expires_at = now + std::min(wait, kMaxWait);
  return query;
}

Reply WriteQueryReply(const BlockingQuery& query, int status, ConsulIndex index, bool has_leader,
                      const std::string& body) {
  const http::HeaderFields headers = {{"Content-Type", "application/json"},
                                      {"X-Consul-Index", std::to_string(index)},
                                      {"X-Consul-Knownleader", has_leader ? "true" : "false"},
                                      {"X-Consul-Lastcontact", "0"}};
  return {query.connection, http::WriteReply(status, headers, body, query.keep_alive), !query.keep_alive};
}

Reply WriteConsulReply(ConnectionId connection, bool keep_alive, int status, const std::string& body) {
  return {connection, http::WriteReply(status, {}, body, keep_alive), !keep_alive};
}

}  // namespace mountflow::registry_standin
