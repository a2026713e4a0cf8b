#include "discovery/entry.hpp"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace mountflow::discovery {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextBytes = 200;  // maximum size of a name, an address or a label
constexpr std::size_t kMaxStateBytes = 20;
constexpr double kMaxNumber = 1e18;
constexpr char kBase64Alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

const char* StateName(NodeState state) {
  return state == NodeState::kReady ? "ready" : state == NodeState::kDraining ? "draining" : "gone";
}

std::optional<NodeState> ParseState(std::string_view name) {
  if (name == "ready") return NodeState::kReady;
  if (name == "draining") return NodeState::kDraining;
  if (name == "gone") return NodeState::kGone;
  return std::nullopt;
}

// Reads members of an object one by one. After the first error it reads no further members.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {}

  // Reads a string that must be present and not empty.
  void ReadRequired(const char* name, std::string* text) { ReadText(name, text, kMaxTextBytes, true); }
  void ReadOptional(const char* name, std::string* text, std::size_t max_bytes) {
    ReadText(name, text, max_bytes, false);
  }
  void ReadNumber(const char* name, double* number) {
    const auto it = object_.find(name);
    if (error_ || it == object_.end()) return;
    const bool is_valid =
        it->is_number() && std::isfinite(it->get<double>()) && std::fabs(it->get<double>()) <= kMaxNumber;
    if (!is_valid) {
      error_ = DecodeError{DecodeError::Code::kInvalidNumber, name, 0, {}};
      return;
    }
    *number = it->get<double>();
  }
  [[nodiscard]] const std::optional<DecodeError>& error() const { return error_; }

 private:
  void ReadText(const char* name, std::string* text, std::size_t max_bytes, bool is_required) {
    const auto it = object_.find(name);
    if (error_ || (it == object_.end() && !is_required)) return;
    const bool is_text = it != object_.end() && it->is_string();
    const std::size_t size = is_text ? it->get_ref<const std::string&>().size() : 0;
    if (!is_text || size > max_bytes || (is_required && size == 0)) {
      error_ = DecodeError{DecodeError::Code::kInvalidString, name, max_bytes, {}};
      return;
    }
    *text = it->get<std::string>();
  }

  const json& object_;
  std::optional<DecodeError> error_;
};

// Returns the member `name`, a Consul index, or 0 if it is absent or invalid.
std::uint64_t ReadIndex(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

}  // namespace

std::string TextOf(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string Base64(std::string_view bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto at = [&](std::size_t offset) {
      return i + offset < bytes.size() ? static_cast<unsigned>(static_cast<unsigned char>(bytes[i + offset]))
                                       : 0u;
    };
    const unsigned group = at(0) << 16 | at(1) << 8 | at(2);
    text += kBase64Alphabet[group >> 18 & 63];
    text += kBase64Alphabet[group >> 12 & 63];
    text += i + 1 < bytes.size() ? kBase64Alphabet[group >> 6 & 63] : '=';
    text += i + 2 < bytes.size() ? kBase64Alphabet[group & 63] : '=';
  }
  return text;
}

bool FromBase64(std::string_view text, std::string* bytes) {
  bytes->clear();
  if (text.size() % 4 != 0) return false;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    unsigned group = 0;
    int pad = 0;
    for (std::size_t j = 0; j < 4; ++j) {
      const char symbol = text[i + j];
      const std::size_t at = std::string_view(kBase64Alphabet, 64).find(symbol);
      if (symbol == '=' && i + 4 == text.size() && j >= 2) {
        ++pad;
      } else if (at == std::string_view::npos || pad > 0) {
        return false;
      }
      group = group << 6 | (symbol == '=' ? 0u : static_cast<unsigned>(at));
    }
    bytes->push_back(static_cast<char>(group >> 16 & 255));
    if (pad < 2) bytes->push_back(static_cast<char>(group >> 8 & 255));
    if (pad < 1) bytes->push_back(static_cast<char>(group & 255));
  }
  return true;
}

std::string EncodeNodeEntry(const job_manager::ListedNode& node) {
  return json{{"name", node.name},
              {"address", node.address},
              {"rack", node.rack},
              {"room", node.room},
              {"kind", node.kind},
              {"started", node.started},
              {"state", StateName(node.state)},
              {"free_cores", node.free_cores},
              {"free_memory", node.free_memory}}
      .dump();
}

tl::expected<job_manager::ListedNode, DecodeError> DecodeNodeEntry(std::string_view text) {
  using Code = DecodeError::Code;
  if (text.size() > kMaxEntryBytes) return Expected(Code::kEntryTooLong, "", kMaxEntryBytes);
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return Expected(Code::kNotAnObject);
  job_manager::ListedNode node;
  std::string state = "ready";
  double started = 0.0;
  // Only the first invalid field is reported.
  FieldReader fields(object);
  fields.ReadRequired("name", &node.name);
  fields.ReadRequired("address", &node.address);
  fields.ReadOptional("rack", &node.rack, kMaxTextBytes);
  fields.ReadOptional("room", &node.room, kMaxTextBytes);
  fields.ReadOptional("kind", &node.kind, kMaxTextBytes);
  fields.ReadOptional("state", &state, kMaxStateBytes);
  fields.ReadNumber("started", &started);
  fields.ReadNumber("free_cores", &node.free_cores);
  fields.ReadNumber("free_memory", &node.free_memory);
  if (fields.error()) return tl::unexpected(*fields.error());
  if (started < 0.0) return Expected(Code::kInvalidStart);
  // Read as an integer again, because a double has too few digits for microseconds since the epoch.
  if (const auto it = object.find("started"); it != object.end()) node.started = it->get<std::uint64_t>();
  const auto known_state = ParseState(state);
  if (!known_state) return Expected(Code::kInvalidState);
  node.state = *known_state;
  return node;
}

std::string EncodeKeyValues(const std::vector<KeyValue>& pairs) {
  json list = json::array();
  for (const KeyValue& pair : pairs) {
    list.push_back({{"LockIndex", 0},
                    {"Key", pair.key},
                    {"Flags", 0},
                    {"Value", Base64(pair.value)},
                    {"CreateIndex", pair.create_index},
                    {"ModifyIndex", pair.modify_index}});
    if (!pair.session.empty()) {
      list.back()["Session"] = pair.session;
      list.back()["LockIndex"] = 1;
    }
  }
  return list.dump();
}

tl::expected<std::vector<KeyValue>, DecodeError> DecodeKeyValues(std::string_view text) {
  using Code = DecodeError::Code;
  const json list = json::parse(text, nullptr, false);
  if (!list.is_array()) return Expected(Code::kNotAKeyList);
  std::vector<KeyValue> pairs;
  for (const json& item : list) {
    if (!item.is_object() || !item.contains("Key") || !item["Key"].is_string()) return Expected(Code::kNoKey);
    KeyValue pair;
    pair.key = item["Key"].get<std::string>();
    const auto value = item.find("Value");
    if (value != item.end() && value->is_string() &&
        !FromBase64(value->get_ref<const std::string&>(), &pair.value)) {
      return Expected(Code::kInvalidBase64Value);
    }
    pair.create_index = ReadIndex(item, "CreateIndex");
    pair.modify_index = ReadIndex(item, "ModifyIndex");
    pairs.push_back(std::move(pair));
  }
  return pairs;
}

}  // namespace mountflow::discovery
