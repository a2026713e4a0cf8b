#include "discovery/health.hpp"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace mountflow::discovery {
namespace {

using nlohmann::json;

enum class Health { kPassing, kMaintenance, kCritical };

Health HealthOf(const json& instance) {
  Health health = Health::kPassing;
  const auto checks = instance.find("Checks");
  if (checks == instance.end() || !checks->is_array()) return health;
  for (const json& check : *checks) {
    if (!check.is_object() || TextOf(check, "Status") != "critical") continue;
    const std::string id = TextOf(check, "CheckID");
    const bool maintenance =
        id.rfind("_service_maintenance", 0) == 0 || id.rfind("_node_maintenance", 0) == 0;
    if (!maintenance) return Health::kCritical;
    health = Health::kMaintenance;
  }
  return health;
}

// Adds a tag or a member of Meta to the entry. Ignores keys that are not fields of an entry.
void AddField(const std::string& key, const std::string& value, json* entry) {
  if (key == "started" || key == "free_cores" || key == "free_memory") {
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    const bool is_number = end != value.c_str() && *end == '\0';
    (*entry)[key] = is_number ? json(number) : json(value);  // an invalid number causes a warning later
  } else if (key == "rack" || key == "room" || key == "kind" || key == "state") {
    (*entry)[key] = value;
  }
}

// Adds the tags of the form KEY=VALUE.
void AddTags(const json& service, json* entry) {
  const auto tags = service.find("Tags");
  if (tags == service.end() || !tags->is_array()) return;
  for (const json& tag : *tags) {
    if (!tag.is_string()) continue;
    const std::string text = tag.get<std::string>();
    const std::size_t at = text.find('=');
    if (at != std::string::npos) AddField(text.substr(0, at), text.substr(at + 1), entry);
  }
}

void AddMeta(const json& service, json* entry) {
  const auto meta = service.find("Meta");
  if (meta == service.end() || !meta->is_object()) return;
  for (const auto& [key, value] : meta->items()) {
    if (value.is_string()) AddField(key, value.get<std::string>(), entry);
  }
}

// Returns the node entry of a service instance. Members of Meta override tags.
std::string EntryOf(const json& service, Health health) {
  json entry = {{"name", TextOf(service, "ID")}};
  AddTags(service, &entry);
  AddMeta(service, &entry);
  if (health == Health::kMaintenance) entry["state"] = "draining";
  const auto port = service.find("Port");
  entry["address"] =
      TextOf(service, "Address") + ":" +
      (port != service.end() && port->is_number_integer() ? std::to_string(port->get<int>()) : "");
  return entry.dump(-1, ' ', false, json::error_handler_t::replace);
}

KeyValue ToKeyValue(const json& instance, const json& service, Health health) {
  KeyValue pair;
  pair.key = TextOf(service, "ID");
  // A service without an address has the address of its agent.
  json full = service;
  if (TextOf(full, "Address").empty() && instance.contains("Node") && instance["Node"].is_object()) {
    full["Address"] = TextOf(instance["Node"], "Address");
  }
  pair.value = EntryOf(full, health);
  const auto read_index = [&service](const char* name, std::uint64_t* index) {
    const auto it = service.find(name);
    if (it != service.end() && it->is_number_unsigned()) *index = it->get<std::uint64_t>();
  };
  read_index("CreateIndex", &pair.create_index);
  read_index("ModifyIndex", &pair.modify_index);
  return pair;
}

}  // namespace

tl::expected<std::vector<KeyValue>, DecodeError> DecodeHealth(std::string_view body) {
  const json list = json::parse(body, nullptr, false);
  if (!list.is_array()) return Expected(DecodeError::Code::kNotAnInstanceList);
  std::vector<KeyValue> pairs;
  for (const json& instance : list) {
    const auto service = instance.is_object() ? instance.find("Service") : instance.end();
    if (!instance.is_object() || service == instance.end() || !service->is_object() ||
        TextOf(*service, "ID").empty()) {
      return Expected(DecodeError::Code::kMissingServiceId);
    }
    const Health health = HealthOf(instance);
    if (health != Health::kCritical) pairs.push_back(ToKeyValue(instance, *service, health));
  }
  return pairs;
}

std::string EncodeService(std::string_view entry, const std::string& service, Micros time_to_live) {
  const auto node = DecodeNodeEntry(entry);
  if (!node) return "";
  const std::size_t colon = node->address.rfind(':');
  if (colon == std::string::npos) return "";
  const json fields = json::parse(entry);
  json meta = json::object();
  for (const char* name : {"rack", "room", "kind", "state"}) meta[name] = fields[name];
  for (const char* name : {"started", "free_cores", "free_memory"}) meta[name] = fields[name].dump();
  const std::string ttl = std::to_string(std::max<Micros>(1, time_to_live / 1'000'000)) + "s";
  return json{{"ID", node->name},
              {"Name", service},
              {"Address", node->address.substr(0, colon)},
              {"Port", std::atoi(node->address.c_str() + colon + 1)},
              {"Meta", meta},
              {"Check", {{"TTL", ttl}, {"Status", "passing"}, {"DeregisterCriticalServiceAfter", "60s"}}}}
      .dump();
}

}  // namespace mountflow::discovery
