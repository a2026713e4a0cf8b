#include "discovery/etcd.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace mountflow::discovery {
namespace {

using nlohmann::json;

// Returns a 64-bit number, which the gateway writes as a string or a plain number, or 0 if it is absent.
std::uint64_t ReadNumber(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return 0;
  if (it->is_number_unsigned()) return it->get<std::uint64_t>();
  if (!it->is_string()) return 0;
  const std::string& text = it->get_ref<const std::string&>();
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Returns a boolean member, or false if it is absent.
bool ReadFlag(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() && it->get<bool>();
}

// Decodes a base64 member; an absent one is empty. Returns false if it is not base64.
bool ReadBytes(const json& object, const char* name, std::string* bytes) {
  const auto it = object.find(name);
  bytes->clear();
  if (it == object.end()) return true;
  return it->is_string() && FromBase64(it->get_ref<const std::string&>(), bytes);
}

// Returns a number from the reply's header, or 0 if it is absent.
std::uint64_t ReadHeader(const json& object, const char* name = "revision") {
  const auto it = object.find("header");
  return it != object.end() && it->is_object() ? ReadNumber(*it, name) : 0;
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
  json request = {
      {"key", Base64(from)}, {"range_end", Base64(RangeEnd(prefix))}, {"limit", std::to_string(limit)}};
  if (revision != 0) request["revision"] = std::to_string(revision);
  return request.dump();
}

tl::expected<EtcdRange, DecodeError> DecodeRange(std::string_view body) {
  using Code = DecodeError::Code;
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object() || ReadHeader(object) == 0) return Expected(Code::kInvalidRange);
  EtcdRange range;
  range.revision = ReadHeader(object);
  range.cluster = ReadHeader(object, "cluster_id");
  range.more = ReadFlag(object, "more");
  const auto pairs = object.find("kvs");
  if (pairs == object.end()) return range;
  if (!pairs->is_array()) return Expected(Code::kInvalidPairList);
  for (const json& item : *pairs) {
    KeyValue pair;
    if (!item.is_object() || !ReadBytes(item, "key", &pair.key) || !ReadBytes(item, "value", &pair.value)) {
      return Expected(Code::kInvalidBase64Pair);
    }
    pair.create_index = ReadNumber(item, "create_revision");
    pair.modify_index = ReadNumber(item, "mod_revision");
    range.pairs.push_back(std::move(pair));
  }
  return range;
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

namespace {

// Returns the error for anything but a watch message. If it is an error object, the error includes its text.
tl::unexpected<DecodeError> InvalidWatchMessage(std::string_view message) {
  DecodeError failure{DecodeError::Code::kInvalidWatchMessage, "", 0, {}};
  EtcdError error;
  if (ReadError(message, &error)) failure.detail = error.text;
  return tl::unexpected(std::move(failure));
}

tl::expected<KeyChange, DecodeError> DecodeChange(const json& event) {
  const auto pair = event.is_object() ? event.find("kv") : event.end();
  KeyChange change;
  if (!event.is_object() || pair == event.end() || !pair->is_object() ||
      !ReadBytes(*pair, "key", &change.key) || !ReadBytes(*pair, "value", &change.value)) {
    return Expected(DecodeError::Code::kInvalidBase64Event);
  }
  const auto type = event.find("type");
  change.removed = type != event.end() && (*type == "DELETE" || *type == 1);
  change.revision = ReadNumber(*pair, "mod_revision");
  return change;
}

}  // namespace

tl::expected<EtcdWatch, DecodeError> DecodeWatch(std::string_view message) {
  const json object = json::parse(message, nullptr, false);
  const auto result = object.is_object() ? object.find("result") : object.end();
  if (!object.is_object() || result == object.end() || !result->is_object())
    return InvalidWatchMessage(message);
  EtcdWatch watch;
  watch.header_revision = ReadHeader(*result);
  watch.cluster = ReadHeader(*result, "cluster_id");
  watch.created = ReadFlag(*result, "created");
  watch.canceled = ReadFlag(*result, "canceled");
  watch.fragment = ReadFlag(*result, "fragment");
  watch.compact_revision = ReadNumber(*result, "compact_revision");
  watch.reason = TextOf(*result, "cancel_reason");
  const auto events = result->find("events");
  if (events == result->end()) return watch;
  if (!events->is_array()) return Expected(DecodeError::Code::kInvalidEventList);
  for (const json& event : *events) {
    auto change = DecodeChange(event);
    if (!change) return tl::unexpected(change.error());
    watch.events.push_back(std::move(*change));
  }
  return watch;
}

bool EtcdError::IsCompacted() const { return text.find("compacted") != std::string::npos; }
bool EtcdError::IsTokenInvalid() const { return code == 16 || text.find("auth token") != std::string::npos; }

bool ReadError(std::string_view body, EtcdError* error) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return false;
  const json* from = &object;
  const auto inner = object.find("error");
  if (inner != object.end() && inner->is_object()) from = &*inner;  // errors in a stream are nested
  error->code = static_cast<int>(ReadNumber(*from, "code") | ReadNumber(*from, "grpc_code"));
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
  const json object = json::parse(body, nullptr, false);
  const auto it = object.is_object() ? object.find("token") : object.end();
  if (!object.is_object() || it == object.end() || !it->is_string()) return false;
  *token = it->get<std::string>();
  return !token->empty();
}

std::string WriteLeaseGrant(std::uint64_t id, std::uint64_t ttl_s) {
  return json{{"ID", std::to_string(id)}, {"TTL", std::to_string(ttl_s)}}.dump();
}

std::string WriteKeepAlive(std::uint64_t id) { return json{{"ID", std::to_string(id)}}.dump(); }

bool ReadLease(std::string_view body, std::uint64_t* id, std::int64_t* ttl_s) {
  const json object = json::parse(body, nullptr, false);
  if (!object.is_object()) return false;
  const json* from = &object;
  const auto result = object.find("result");
  if (result != object.end() && result->is_object()) from = &*result;
  *id = ReadNumber(*from, "ID");
  *ttl_s = static_cast<std::int64_t>(ReadNumber(*from, "TTL"));
  return *id != 0;
}

std::string WritePut(const std::string& key, const std::string& value, std::uint64_t lease) {
  json request = {{"key", Base64(key)}, {"value", Base64(value)}};
  if (lease != 0) request["lease"] = std::to_string(lease);
  return request.dump();
}

std::string WriteDelete(const std::string& key) { return json{{"key", Base64(key)}}.dump(); }

}  // namespace mountflow::discovery
