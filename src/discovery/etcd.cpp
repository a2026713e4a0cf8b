#include "discovery/etcd.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace mountflow::discovery {
namespace {

using nlohmann::json;

// A 64-bit number as the gateway writes it: a string, or a plain number; absent means 0.
std::uint64_t Number(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  if (!it->is_string()) return 0;
  const std::string& text = it->get_ref<const std::string&>();
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

bool Flag(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

bool Bytes(const json& object, const char* name, std::string* bytes) {
  const auto it = object.find(name);
  bytes->clear();
  if (it == object.end()) return true;
  return it->is_string() && FromBase64(it->get_ref<const std::string&>(), bytes);
}

std::uint64_t Header(const json& object, const char* name = "revision") {
  const auto it = object.find("header");
  return it != object.end() && it->is_object() ? Number(*it, name) : 0;
}

}  // namespace

std::string RangeEnd(std::string prefix) {
  while (!prefix.empty()) {
    if (static_cast<unsigned char>(prefix.back()) < 0xff) {
      prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string WriteRange(const std::string& from, const std::string& prefix, std::uint64_t revision,
                       unsigned limit) {
  json j = {{"key", Base64(from)}, {"range_end", Base64(RangeEnd(prefix))}, {"limit", std::to_string(limit)}};
  if (revision != 0) j["revision"] = std::to_string(revision);
  return j.dump();
}

bool ReadRange(std::string_view body, EtcdRange* range, std::string* expected) {
  const json j = json::parse(body, nullptr, false);
  if (!j.is_object() || Header(j) == 0) {
    *expected = "a range reply with a revision";
    return false;
  }
  range->revision = Header(j);
  range->cluster = Header(j, "cluster_id");
  range->more = Flag(j, "more");
  range->pairs.clear();
  const auto kvs = j.find("kvs");
  if (kvs == j.end()) return true;
  if (!kvs->is_array()) {
    *expected = "kvs as a list";
    return false;
  }
  for (const json& kv : *kvs) {
    KeyValue one;
    if (!kv.is_object() || !Bytes(kv, "key", &one.key) || !Bytes(kv, "value", &one.value)) {
      *expected = "keys and values in base64";
      return false;
    }
    one.create_index = Number(kv, "create_revision");
    one.modify_index = Number(kv, "mod_revision");
    range->pairs.push_back(std::move(one));
  }
  return true;
}

std::string WriteWatch(const std::string& prefix, std::uint64_t start_revision) {
  return json{{"create_request",
               {{"key", Base64(prefix)},
                {"range_end", Base64(RangeEnd(prefix))},
                {"start_revision", std::to_string(start_revision)},
                {"progress_notify", true},
                {"fragment", true}}}}
      .dump();
}

bool ReadWatch(std::string_view message, EtcdWatch* watch, std::string* expected) {
  const json j = json::parse(message, nullptr, false);
  const auto result = j.is_object() ? j.find("result") : j.end();
  if (!j.is_object() || result == j.end() || !result->is_object()) {
    EtcdError error;
    *expected = ReadError(message, &error) ? "a watch message, got error: " + error.text : "a watch message";
    return false;
  }
  EtcdWatch w;
  w.header_revision = Header(*result);
  w.cluster = Header(*result, "cluster_id");
  w.created = Flag(*result, "created");
  w.canceled = Flag(*result, "canceled");
  w.fragment = Flag(*result, "fragment");
  w.compact_revision = Number(*result, "compact_revision");
  if (const auto reason = result->find("cancel_reason"); reason != result->end() && reason->is_string()) {
    w.reason = reason->get<std::string>();
  }
  if (const auto events = result->find("events"); events != result->end()) {
    if (!events->is_array()) {
      *expected = "events as a list";
      return false;
    }
    for (const json& event : *events) {
      const auto kv = event.is_object() ? event.find("kv") : event.end();
      KeyChange change;
      if (!event.is_object() || kv == event.end() || !kv->is_object() || !Bytes(*kv, "key", &change.key) ||
          !Bytes(*kv, "value", &change.value)) {
        *expected = "events with a kv in base64";
        return false;
      }
      const auto type = event.find("type");
      change.removed = type != event.end() && (*type == "DELETE" || *type == 1);
      change.revision = Number(*kv, "mod_revision");
      w.events.push_back(std::move(change));
    }
  }
  *watch = std::move(w);
  return true;
}

bool EtcdError::compacted() const { return text.find("compacted") != std::string::npos; }
bool EtcdError::token() const { return code == 16 || text.find("auth token") != std::string::npos; }

bool ReadError(std::string_view body, EtcdError* error) {
  const json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return false;
  const json* from = &j;
  const auto inner = j.find("error");
  if (inner != j.end() && inner->is_object()) from = &*inner;  // in a stream
  error->code = static_cast<int>(Number(*from, "code") | Number(*from, "grpc_code"));
  for (const char* name : {"message", "error"}) {
    const auto it = from->find(name);
    if (it != from->end() && it->is_string()) {
      error->text = it->get<std::string>().substr(0, 500);
      return true;
    }
  }
  return false;
}

std::string WriteAuthenticate(const std::string& user, const std::string& password) {
  return json{{"name", user}, {"password", password}}.dump();
}

bool ReadToken(std::string_view body, std::string* token) {
  const json j = json::parse(body, nullptr, false);
  const auto it = j.is_object() ? j.find("token") : j.end();
  if (!j.is_object() || it == j.end() || !it->is_string()) return false;
  *token = it->get<std::string>();
  return !token->empty();
}

std::string WriteLeaseGrant(std::uint64_t id, std::uint64_t ttl_s) {
  return json{{"ID", std::to_string(id)}, {"TTL", std::to_string(ttl_s)}}.dump();
}

std::string WriteKeepAlive(std::uint64_t id) { return json{{"ID", std::to_string(id)}}.dump(); }

bool ReadLease(std::string_view body, std::uint64_t* id, std::int64_t* ttl_s) {
  const json j = json::parse(body, nullptr, false);
  if (!j.is_object()) return false;
  const json* from = &j;
  const auto result = j.find("result");
  if (result != j.end() && result->is_object()) from = &*result;
  *id = Number(*from, "ID");
  *ttl_s = static_cast<std::int64_t>(Number(*from, "TTL"));
  return *id != 0;
}

std::string WritePut(const std::string& key, const std::string& value, std::uint64_t lease) {
  json j = {{"key", Base64(key)}, {"value", Base64(value)}};
  if (lease != 0) j["lease"] = std::to_string(lease);
  return j.dump();
}

std::string WriteDelete(const std::string& key) { return json{{"key", Base64(key)}}.dump(); }

}  // namespace mountflow::discovery
