// Random replies of an etcd or Consul registry, generated from a seed, for recorded runs of the registry
// client. They do not use the registries of tools/registry_standin, so that a recorded run depends only on
// the client.
#ifndef MOUNTFLOW_TESTS_DISCOVERY_SCRIPTED_REGISTRY_HPP_
#define MOUNTFLOW_TESTS_DISCOVERY_SCRIPTED_REGISTRY_HPP_

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "http/message.hpp"

namespace mountflow::testing {

using Json = nlohmann::json;

inline constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string ToBase64(std::string_view bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool pad = i + j > bytes.size();
      text += pad ? '=' : kBase64Digits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

inline std::string FromBase64Text(const std::string& text) {
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char c : text) {
    const std::size_t digit = kBase64Digits.find(c);
    if (digit == std::string_view::npos) break;
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes += static_cast<char>(bits >> count & 255);
  }
  return bytes;
}

// The history of a registry: all changes of keys, from which the state of any member can be computed.
struct RegistryHistory {
  struct Change {
    std::uint64_t revision = 0;
    std::string key, value;
    bool removed = false;
  };
  struct Entry {
    std::string value;
    std::uint64_t created = 0, modified = 0;
  };

  void Add(const std::string& key, const std::string& value, bool removed) {
    changes.push_back({++revision, key, value, removed});
  }
  // Returns the entries as of revision `at`.
  [[nodiscard]] std::map<std::string, Entry> At(std::uint64_t at) const {
    std::map<std::string, Entry> entries;
    for (const Change& change : changes) {
      if (change.revision > at) break;
      if (change.removed) {
        entries.erase(change.key);
        continue;
      }
      Entry& entry = entries[change.key];
      entry.value = change.value;
      entry.modified = change.revision;
      if (entry.created == 0) entry.created = change.revision;
    }
    return entries;
  }
  // Restores the registry from a backup: the revision is reset to `to`, and etcd may get a new cluster ID.
  void Restore(std::uint64_t to, bool new_cluster) {
    revision = std::min(revision, std::max<std::uint64_t>(to, 1));
    std::erase_if(changes, [this](const Change& change) { return change.revision > revision; });
    if (new_cluster) ++cluster;
    compacted = std::min(compacted, revision);
  }

  std::vector<Change> changes;
  std::uint64_t revision = 1, compacted = 0, cluster = 7;
};

enum class RegistryProtocol { kEtcd, kConsulKeys, kConsulHealth };

// The members of one registry. Replies depend on the history and on random numbers.
class ScriptedRegistry {
 public:
  ScriptedRegistry(RegistryProtocol protocol, std::mt19937_64* random)
      : protocol_(protocol), random_(random) {}

  RegistryHistory history;
  std::array<std::uint64_t, 3> behind{};  // number of revisions that each endpoint lacks
  bool needs_token = false;
  std::string token = "token-1";

  // Returns the reply to one request.
  std::string Answer(std::size_t endpoint, const http::Message& request) {
    endpoint_ = endpoint;
    if (Chance(3)) return http::WriteReply(503, {}, "no leader here", Chance(50));
    if (Chance(1)) return "HTTP/1.1 banana\r\n\r\n";
    if (Chance(1)) return http::WriteReply(200, {{"X-Consul-Index", "9"}}, "[not json", true);
    return protocol_ == RegistryProtocol::kEtcd ? AnswerEtcd(request) : AnswerConsul();
  }
  // Returns the next bytes of an open watch; empty if there are none.
  std::string ContinueWatch(std::size_t endpoint) {
    endpoint_ = endpoint;
    if (Chance(1)) return Chunk(Json{{"error", {{"grpc_code", 14}, {"message", "lost its leader"}}}}.dump());
    if (Chance(1)) return Chunk(WatchResult({{"canceled", true}, {"cancel_reason", "members change"}}));
    if (Chance(1)) return Chunk(WatchResult({{"canceled", true}, {"compact_revision", "99"}}));
    if (Chance(1)) return "0\r\n\r\n";
    if (next_revision_ > Revision()) return Chance(5) ? Chunk(WatchResult(Json::object())) : "";
    return Events();
  }
  // Reports whether a blocking Consul read still waits.
  [[nodiscard]] bool Blocks(const http::Message& request) const {
    return request.query.count("index") > 0 && request.query.at("index") == std::to_string(Revision());
  }

 private:
  bool Chance(unsigned percent) { return (*random_)() % 100 < percent; }
  [[nodiscard]] std::uint64_t Revision() const {
    return history.revision - std::min(history.revision - 1, behind[endpoint_]);
  }
  [[nodiscard]] Json Header() const {
    return {{"cluster_id", std::to_string(history.cluster)}, {"revision", std::to_string(Revision())}};
  }
  std::string WatchResult(Json result) const {
    result["header"] = Header();
    return Json{{"result", std::move(result)}}.dump();
  }
  static std::string Chunk(const std::string& message) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", message.size() + 1);
    return size.data() + message + "\n\r\n";
  }
  static std::string EtcdFailure(int status, int code, const std::string& text) {
    return http::WriteReply(status, {}, Json{{"code", code}, {"message", text}}.dump(), true);
  }

  std::string AnswerEtcd(const http::Message& request) {
    if (request.path == "/v3/auth/authenticate") {
      if (Chance(10)) return http::WriteReply(200, {}, "{}", true);
      return http::WriteReply(200, {}, Json{{"token", token}}.dump(), true);
    }
    if (needs_token && request.Header("authorization") != token) {
      return EtcdFailure(401, 16, "etcdserver: invalid auth token");
    }
    const Json body = Json::parse(request.body);
    return request.path == "/v3/watch" ? StartWatch(body["create_request"]) : AnswerRange(body);
  }
  std::string AnswerRange(const Json& body) {
    const std::uint64_t requested_revision =
        body.contains("revision") ? std::stoull(body["revision"].get<std::string>()) : 0;
    if (requested_revision != 0 && (requested_revision <= history.compacted || Chance(5))) {
      return EtcdFailure(400, 11, "etcdserver: mvcc: required revision has been compacted");
    }
    const std::string from = FromBase64Text(body["key"]);
    const std::size_t limit = std::stoul(body["limit"].get<std::string>());
    Json pairs = Json::array();
    bool more = false;
    for (const auto& [key, entry] : history.At(requested_revision == 0 ? Revision() : requested_revision)) {
      if (key < from) continue;
      if (pairs.size() == limit) {
        more = true;
        break;
      }
      pairs.push_back({{"key", ToBase64(key)},
                       {"value", ToBase64(entry.value)},
                       {"create_revision", std::to_string(entry.created)},
                       {"mod_revision", std::to_string(entry.modified)}});
    }
    Json reply = {{"header", Header()}, {"more", more}};
    if (!pairs.empty()) reply["kvs"] = std::move(pairs);
    return http::WriteReply(200, {}, reply.dump(), !Chance(5));
  }
  std::string StartWatch(const Json& request) {
    next_revision_ = std::stoull(request["start_revision"].get<std::string>());
    std::string reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    reply += Chunk(WatchResult({{"created", true}}));
    if (next_revision_ <= history.compacted) {
      reply +=
          Chunk(WatchResult({{"canceled", true}, {"compact_revision", std::to_string(history.compacted)}}));
    }
    return reply;
  }
  // Returns all changes from next_revision_ on: in one message or in fragments, reversed or sent twice.
  std::string Events() {
    Json events = Json::array();
    for (const RegistryHistory::Change& change : history.changes) {
      if (change.revision < next_revision_ || change.revision > Revision()) continue;
      Json event = {{"kv",
                     {{"key", ToBase64(change.key)},
                      {"value", ToBase64(change.value)},
                      {"mod_revision", std::to_string(change.revision)}}}};
      if (change.removed) event["type"] = "DELETE";
      events.push_back(std::move(event));
    }
    next_revision_ = Revision() + 1;
    if (Chance(10)) std::reverse(events.begin(), events.end());
    if (events.size() > 1 && Chance(30)) {
      Json first = Json::array({events[0]});
      events.erase(0);
      return Chunk(WatchResult({{"fragment", true}, {"events", first}})) +
             Chunk(WatchResult({{"events", events}}));
    }
    const std::string message = Chunk(WatchResult({{"events", events}}));
    return Chance(10) ? message + message : message;
  }

  std::string AnswerConsul() {
    http::HeaderFields headers = {{"X-Consul-Index", Chance(1) ? "" : std::to_string(Revision())}};
    if (Chance(2)) headers.emplace_back("X-Consul-KnownLeader", "false");
    if (Chance(10)) headers.emplace_back("X-Consul-LastContact", Chance(30) ? "20000" : "15");
    const auto entries = history.At(Revision());
    const bool health = protocol_ == RegistryProtocol::kConsulHealth;
    if (entries.empty() && !health) return http::WriteReply(404, headers, "", true);
    Json list = Json::array();
    for (const auto& [key, entry] : entries) list.push_back(health ? Instance(key, entry) : Pair(key, entry));
    if (Chance(1)) list.push_back(Json{{"Key", 5}});
    return http::WriteReply(200, headers, list.dump(), !Chance(5));
  }
  static Json Pair(const std::string& key, const RegistryHistory::Entry& entry) {
    return {{"Key", key},
            {"Value", ToBase64(entry.value)},
            {"CreateIndex", entry.created},
            {"ModifyIndex", entry.modified}};
  }
  // Returns an instance whose health and fields are derived from its key and value, so that they vary.
  static Json Instance(const std::string& key, const RegistryHistory::Entry& entry) {
    const std::size_t shape = entry.value.size() + entry.modified;
    Json service = {{"ID", key},
                    {"Address", shape % 5 == 0 ? "" : "10.0.0.1"},
                    {"Port", 15002},
                    {"Tags", {"plain", "rack=r2", "started=5"}},
                    {"Meta", {{"room", "x"}, {"free_cores", shape % 11 == 0 ? "many" : "2.5"}}},
                    {"CreateIndex", entry.created},
                    {"ModifyIndex", entry.modified}};
    Json checks = Json::array({{{"CheckID", "ttl"}, {"Status", shape % 7 == 0 ? "critical" : "passing"}}});
    if (shape % 6 == 0) checks.push_back({{"CheckID", "_node_maintenance"}, {"Status", "critical"}});
    return {{"Node", {{"Address", "10.0.0.9"}}}, {"Service", service}, {"Checks", checks}};
  }

  RegistryProtocol protocol_;
  std::mt19937_64* random_;
  std::size_t endpoint_ = 0;
  std::uint64_t next_revision_ = 0;  // first revision that the watch has not sent
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_DISCOVERY_SCRIPTED_REGISTRY_HPP_
