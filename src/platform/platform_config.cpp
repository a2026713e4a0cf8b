#include "platform/platform_config.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/client_codec.hpp"

namespace mountflow::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kDeepest = 16;
// Standard streams, the loop's own, the listener, the change log with one connection more while it changes.
constexpr std::size_t kOwnDescriptors = 16;

std::string TextOf(const json& value) {
  if (!value.is_string()) return value.dump();
  std::string text = value.get<std::string>();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n') c = '_';  // as the simulator writes them
  }
  return text;
}

void LayOut(const json& value, const std::string& path, std::size_t depth, std::string* lines) {
  if (depth > kDeepest) return;
  const std::string dot = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, one] : value.items()) LayOut(one, dot + key, depth + 1, lines);
  } else if (value.is_array() && !value.empty() && value[0].is_object()) {
    *lines += dot + "count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i)
      LayOut(value[i], dot + std::to_string(i), depth + 1, lines);
  } else if (value.is_array()) {
    std::string items;
    for (const json& one : value) items += (items.empty() ? "" : ",") + TextOf(one);
    *lines += path + "=" + items + "\n";
  } else if (!value.is_null()) {
    *lines += path + "=" + TextOf(value) + "\n";
  }
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6)
    return false;
  return std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

Descriptors SplitDescriptors(std::size_t all) {
  const std::size_t free = all > kOwnDescriptors ? all - kOwnDescriptors : 2;
  Descriptors split;
  const std::size_t silent = std::max<std::size_t>(kSilentOwners, all / 8);
  split.owners = std::clamp<std::size_t>(all / 3 + silent, 1, std::max<std::size_t>(1, free / 3 * 2));
  split.machines = std::max<std::size_t>(1, free - std::min(free, split.owners));
  return split;
}

std::string LayOutSettings(const json& settings) {
  std::string lines;
  LayOut(settings, "", 0, &lines);
  return lines;
}

PlatformConfig ReadPlatformConfig(std::string_view text, const char* name, const char* listen) {
  PlatformConfig config;
  const auto bad = [&](const std::string& what) { config.errors.push_back(what); };
  if (text.size() > kMaxConfigBytes) {
    bad("LB_CONFIG: expected at most 8 MiB");
    return config;
  }
  const json read = json::parse(text, nullptr, false);
  if (!read.is_object()) {
    bad("LB_CONFIG: expected a JSON object");
    return config;
  }
  const auto take_text = [&](const char* key, const char* over, std::string* to) {
    if (over != nullptr && *over != '\0') {
      *to = over;
    } else if (const auto it = read.find(key); it != read.end() && it->is_string()) {
      *to = it->get<std::string>();
    }
    if (to->empty()) bad(std::string(key) + ": expected a string");
  };
  const auto take_address = [&](const char* key, const char* over, std::string* to) {
    take_text(key, over, to);
    if (!to->empty() && !IsAddress(*to)) bad(std::string(key) + ": expected IP:PORT, got '" + *to + "'");
  };
  take_text("name", name, &config.name);
  take_address("listen", listen, &config.listen);
  take_address("changelog", nullptr, &config.change_log);

  std::string seed;
  if (const auto it = read.find("seed"); it != read.end() && it->is_string()) seed = it->get<std::string>();
  if (!ReadHex(seed, 16, &config.seed)) bad("seed: expected 16 hex digits");

  const auto limits = read.find("limits");
  const auto take_limit = [&](const char* key, std::size_t* to) {
    const bool object = limits != read.end() && limits->is_object();
    const auto it = object ? limits->find(key) : read.end();
    if (!object || it == limits->end() || !it->is_number() || it->get<double>() < 1 ||
        it->get<double>() > 1e9) {
      return bad("limits." + std::string(key) + ": expected a number of 1 or more");
    }
    *to = static_cast<std::size_t>(it->get<double>());
  };
  take_limit("memory_mb", &config.memory_mb);
  take_limit("sockets", &config.sockets);

  const auto known = read.find("known");
  bool gap = false;
  if (known == read.end() || !ReadChanges(*known, 0, &config.known, &config.known_last, &gap) || gap) {
    bad("known: expected the events of the change log, from the first on, as {\"seq\":N,\"results\":[...]}");
  }

  const auto settings = read.find("settings");
  if (settings == read.end() || !settings->is_object()) {
    bad("settings: expected an object");
    return config;
  }
  auto parsed = settings::ParseSettings(LayOutSettings(*settings));
  if (!parsed) {
    bad("settings: " + settings::Describe(parsed.error()));
    return config;
  }
  config.wire = std::move(*parsed);
  if (config.wire.settings.classes.empty()) bad("settings.profiles: expected at least one class");
  for (const std::string& one : config.wire.class_names) {
    if (one.empty()) bad("settings.profiles[].name: expected a name");
  }
  if (config.wire.kind_names.empty()) bad("settings.kinds: expected the names of the kinds of machines");
  if (config.wire.zone_names.empty()) bad("settings.failure_domains: expected the names of the zones");
  if (config.wire.settings.list_on_request) bad("settings.discovery: expected push, the change log's way");
  return config;
}

std::string ReadChangeLogAddress(std::string_view text, std::string* error) {
  const json read = text.size() > kMaxConfigBytes ? json() : json::parse(text, nullptr, false);
  const auto it = read.is_object() ? read.find("changelog") : read.end();
  if (!read.is_object()) {
    *error = "expected a JSON object of at most 8 MiB";
  } else if (it == read.end() || !it->is_string() || !IsAddress(it->get_ref<const std::string&>())) {
    *error = "changelog: expected IP:PORT";
  } else {
    return it->get<std::string>();
  }
  return "";
}

}  // namespace mountflow::platform
