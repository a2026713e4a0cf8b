#include "platform/platform_config.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/text_encoding.hpp"

namespace mountflow::platform {
namespace {

using nlohmann::json;
using Code = ConfigError::Code;

constexpr std::size_t kMaxSettingsDepth = 16;
constexpr std::size_t kMaxPortDigits = 5;
constexpr double kMaxLimit = 1e9;

// Descriptors reserved for everything except connections of clients and nodes: the standard streams, the
// event loop, the listener, and the node watch, which has two connections while its address changes.
constexpr std::size_t kReservedDescriptors = 16;
constexpr std::size_t kMinDescriptors = 2;
constexpr std::size_t kClientsDivisor = 3;
constexpr std::size_t kSilentClientsDivisor = 8;

std::string TextOf(const json& value) {
  if (!value.is_string()) return value.dump();
  auto text = value.get<std::string>();
  // The simulator replaces these characters in the same way.
  std::replace_if(
      text.begin(), text.end(),
      [](char character) { return character == ' ' || character == ',' || character == '\n'; }, '_');
  return text;
}

void FlattenValue(const json& value, const std::string& path, std::size_t depth, std::string* lines) {
  if (depth > kMaxSettingsDepth) return;
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, member] : value.items()) FlattenValue(member, prefix + key, depth + 1, lines);
  } else if (value.is_array() && !value.empty() && value[0].is_object()) {
    *lines += prefix + "count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) {
      FlattenValue(value[i], prefix + std::to_string(i), depth + 1, lines);
    }
  } else if (value.is_array()) {
    std::string items;
    for (const json& item : value) items += (items.empty() ? "" : ",") + TextOf(item);
    *lines += path + "=" + items + "\n";
  } else if (!value.is_null()) {
    *lines += path + "=" + TextOf(value) + "\n";
  }
}

// Reports whether `text` is HOST:PORT with a port of one to five digits.
bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view port = text.substr(colon + 1);
  return !port.empty() && port.size() <= kMaxPortDigits &&
         std::all_of(port.begin(), port.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

// Returns the JSON type of a member for error messages, "nothing" if it is absent.
std::string TypeOf(const json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? "nothing" : it->type_name();
}

tl::expected<json, ConfigError> ParseObject(std::string_view text) {
  if (text.size() > kMaxConfigBytes) {
    return tl::unexpected<ConfigError>(
        {Code::kTooLong, "LB_CONFIG", "expected at most 8 MiB", std::to_string(text.size()) + " bytes"});
  }
  json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return tl::unexpected<ConfigError>(
        {Code::kNotAnObject, "LB_CONFIG", "expected a JSON object", object.type_name()});
  }
  return object;
}

// ConfigReader reads the members of the configuration's JSON object and collects the errors.
class ConfigReader {
 public:
  ConfigReader(const json& object, PlatformConfig* config) : object_(object), config_(config) {}

  // Reads a string. `replacement` overrides the member unless it is null or empty.
  void ReadText(const char* key, const char* replacement, std::string* text) {
    if (replacement != nullptr && *replacement != '\0') {
      *text = replacement;
    } else if (const auto it = object_.find(key); it != object_.end() && it->is_string()) {
      *text = it->get<std::string>();
    }
    if (text->empty()) Fail(Code::kBadText, key, "a string", TypeOf(object_, key));
  }

  void ReadAddress(const char* key, const char* replacement, std::string* address) {
    ReadText(key, replacement, address);
    if (!address->empty() && !IsAddress(*address)) {
      Fail(Code::kBadAddress, key, "IP:PORT", Quote(*address));
    }
  }

  void ReadSeed() {
    const auto it = object_.find("seed");
    const std::string text = it != object_.end() && it->is_string() ? it->get<std::string>() : "";
    if (!ReadHex(text, kHexDigits, &config_->seed)) {
      Fail(Code::kBadNumber, "seed", "16 hex digits", text.empty() ? TypeOf(object_, "seed") : Quote(text));
    }
  }

  void ReadLimit(const char* key, std::size_t* limit) {
    const auto limits = object_.find("limits");
    const json member =
        limits != object_.end() && limits->is_object() && limits->contains(key) ? (*limits)[key] : json();
    const double value = member.is_number() ? member.get<double>() : 0.0;
    if (value < 1 || value > kMaxLimit) {
      return Fail(Code::kBadNumber, "limits." + std::string(key), "a number of 1 or more",
                  member.is_null() ? "nothing" : Quote(member.dump()));
    }
    *limit = static_cast<std::size_t>(value);
  }

  void ReadKnownEvents() {
    const char* const expected =
        "the events of the change log, from the first on, as {\"seq\":N,\"results\":[...]}";
    const auto known = object_.find("known");
    if (known == object_.end()) return Fail(Code::kBadEvents, "known", expected, "nothing");
    auto events = ReadNodeListEvents(*known, 0);
    if (!events) return Fail(Code::kBadEvents, "known", expected, Describe(events.error()));
    if (events->gap) return Fail(Code::kBadEvents, "known", expected, "a gap in their numbers");
    config_->known = std::move(events->changes);
    config_->known_last = events->last;
  }

  void ReadSettings() {
    const auto it = object_.find("settings");
    if (it == object_.end() || !it->is_object()) {
      return Fail(Code::kBadSettings, "settings", "an object", TypeOf(object_, "settings"));
    }
    auto parsed = settings::ParseSettings(FlattenSettings(*it));
    if (!parsed) {
      config_->errors.push_back({Code::kBadSettings, "settings", settings::Describe(parsed.error()), ""});
      return;
    }
    config_->wire = std::move(*parsed);
    CheckSettings();
  }

 private:
  // Checks the requirements of the platform daemon that the settings parser does not check.
  void CheckSettings() {
    const settings::WireSettings& wire = config_->wire;
    const auto require = [this](bool holds, const char* key, const char* expected) {
      if (!holds) Fail(Code::kBadSettings, key, expected, "");
    };
    require(!wire.settings.classes.empty(), "settings.profiles", "at least one class");
    for (const std::string& name : wire.class_names) {
      require(!name.empty(), "settings.profiles[].name", "a name");
    }
    require(!wire.kind_names.empty(), "settings.kinds", "the names of the kinds of nodes");
    require(!wire.zone_names.empty(), "settings.failure_domains", "the names of the zones");
    require(!wire.settings.list_on_request, "settings.discovery",
            "push, as the node list comes from a change log");
  }

  void Fail(Code code, std::string key, const char* expected, std::string got) {
    config_->errors.push_back({code, std::move(key), std::string("expected ") + expected, std::move(got)});
  }

  const json& object_;
  PlatformConfig* const config_;
};

}  // namespace

DescriptorShares SplitDescriptors(std::size_t total) {
  const std::size_t free = total > kReservedDescriptors ? total - kReservedDescriptors : kMinDescriptors;
  const std::size_t silent = std::max(kMinSilentClients, total / kSilentClientsDivisor);
  const std::size_t max_clients = std::max<std::size_t>(1, free / 3 * 2);
  DescriptorShares shares;
  shares.clients = std::clamp<std::size_t>(total / kClientsDivisor + silent, 1, max_clients);
  shares.nodes = std::max<std::size_t>(1, free - std::min(free, shares.clients));
  return shares;
}

std::string Describe(const ConfigError& error) {
  return error.key + ": " + error.expected + (error.got.empty() ? "" : ", got " + error.got);
}

std::string FlattenSettings(const json& settings) {
  std::string lines;
  FlattenValue(settings, "", 0, &lines);
  return lines;
}

PlatformConfig ReadPlatformConfig(std::string_view text, const char* name, const char* listen) {
  PlatformConfig config;
  const auto object = ParseObject(text);
  if (!object) {
    config.errors.push_back(object.error());
    return config;
  }
  ConfigReader reader(*object, &config);
  reader.ReadText("name", name, &config.name);
  reader.ReadAddress("listen", listen, &config.listen);
  reader.ReadAddress("changelog", nullptr, &config.change_log);
  reader.ReadSeed();
  reader.ReadLimit("memory_mb", &config.memory_mb);
  reader.ReadLimit("sockets", &config.sockets);
  reader.ReadKnownEvents();
  reader.ReadSettings();
  return config;
}

tl::expected<std::string, ConfigError> ReadChangeLogAddress(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object) return tl::unexpected(object.error());
  const auto it = object->find("changelog");
  if (it == object->end() || !it->is_string() || !IsAddress(it->get_ref<const std::string&>())) {
    return tl::unexpected<ConfigError>({Code::kBadAddress, "changelog", "expected IP:PORT", ""});
  }
  return it->get<std::string>();
}

}  // namespace mountflow::platform
