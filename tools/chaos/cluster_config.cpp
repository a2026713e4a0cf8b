#include "tools/chaos/cluster_config.hpp"

#include "config/config.hpp"

namespace mountflow::chaos {
namespace {

using nlohmann::json;

constexpr Micros kAllowance = 500'000;  // microseconds; tolerated delay of a busy test host
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMillisPerSecond = 1e3;

Micros ToMicros(double seconds) { return static_cast<Micros>(seconds * kMicrosPerSecond); }

json NodeFields(const Scenario& scenario) {
  json fields = {{"cores", 16}, {"memory", 40}, {"admit_ms", 8},  {"start_ms", 20},
                 {"setup", 8},  {"starts", 4},  {"kind", "small"}};
  fields.merge_patch(scenario.node_fields);
  const json settings = DaemonSettings(scenario, 0);
  const json& safety = settings["safety"];
  const auto put_default = [&fields](const char* key, double value) {
    if (!fields.contains(key)) fields[key] = value;
  };
  put_default("cold_from", safety.value("cold_from", 0.25));
  put_default("cold_s", safety.value("cold_us", 15e6) / kMicrosPerSecond);
  put_default("fall_multiple", safety.value("fall_multiple", 2.0));
  put_default("fall_s", safety.value("tip_after_us", 3e6) / kMicrosPerSecond);
  put_default("cold_bears", settings["domain"].value("cold_bears", 24.0));
  return fields;
}

json ClassesOf(const json& settings) {
  json classes = json::object();
  const json& domain = settings["domain"];
  const auto at = [&domain](const char* key, std::size_t index, const json& otherwise) {
    return domain.contains(key) && index < domain[key].size() ? domain[key][index] : otherwise;
  };
  for (std::size_t i = 0; i < settings["profiles"].size(); ++i) {
    const json& profile = settings["profiles"][i];
    classes[profile["name"].get<std::string>()] = {{"effect", profile["effect"]},
                                                   {"scope", profile.value("key_scope", "cell")},
                                                   {"window", profile.value("window_us", 0)},
                                                   {"hard_limit", profile["hard_limit_us"]},
                                                   {"spread", at("spread_by", i, "none")},
                                                   {"most", at("together_max", i, 0)}};
  }
  return classes;
}

// Returns the full capacity of a node, in task starts per second.
double StartsPerSecond(const json& node) {
  return node["starts"].get<double>() * kMillisPerSecond /
         (node["start_ms"].get<double>() * node["setup"].get<double>());
}

}  // namespace

std::string RackOf(const Scenario& scenario, int node) {
  return "rack-" + std::to_string(node / scenario.nodes_per_rack);
}

std::string ZoneOf(const Scenario& scenario, int node) {
  const int rack = node / scenario.nodes_per_rack;
  return rack / scenario.racks_per_zone % 2 == 0 ? "room-a" : "room-b";
}

json DaemonSettings(const Scenario& scenario, int daemon) {
  const json defaults = config::ParseJson(config::kDefaultDaemon, "embedded defaults").value();
  json settings = defaults["settings"];
  if (!scenario.settings.is_null()) settings.merge_patch(scenario.settings);
  settings["group_size"] = scenario.daemons;
  settings["self_index"] = daemon;
  settings["zone"] = daemon % 2;
  return settings;
}

json HeadFields(const Scenario& scenario, const std::vector<NodeAddress>& nodes) {
  const json settings = DaemonSettings(scenario, 0);
  const json node = NodeFields(scenario);
  const json& safety = settings["safety"];
  json places = json::object();
  for (const NodeAddress& address : nodes) {
    places[address.name] = {{"rack", address.rack}, {"room", address.zone}};
  }
  return {{"day", scenario.name},
          {"seed", scenario.seed},
          {"classes", ClassesOf(settings)},
          {"nodes", places},
          {"allowance", kAllowance},
          {"answer_slack", safety.value("answer_slack_us", 0)},
          {"drain_grace", safety.value("drain_grace_us", 0)},
          {"cold_time", ToMicros(node["cold_s"].get<double>())},
          {"cold_from", node["cold_from"]},
          {"fall_multiple", node["fall_multiple"]},
          {"fall_window", ToMicros(node["fall_s"].get<double>())},
          {"cold_bears", node["cold_bears"]},
          {"starts_per_second", StartsPerSecond(node)}};
}

std::map<std::string, Micros> HardLimits(const Scenario& scenario) {
  std::map<std::string, Micros> limits;
  const json settings = DaemonSettings(scenario, 0);
  for (const json& profile : settings["profiles"]) {
    limits[profile["name"].get<std::string>()] = profile["hard_limit_us"].get<Micros>();
  }
  return limits;
}

json NodesFile(const Scenario& scenario, const std::vector<NodeAddress>& nodes,
               const std::string& registry_address) {
  json file = {
      {"list", registry_address}, {"control", "127.0.0.1:0"}, {"publish_ms", 200}, {"nodes", json::array()}};
  if (scenario.uses_etcd) {
    file["registry"] = "etcd";
    file["lease_s"] = scenario.lease_seconds;
  }
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    json fields = NodeFields(scenario);
    fields["name"] = nodes[i].name;
    fields["rack"] = nodes[i].rack;
    fields["room"] = nodes[i].zone;
    fields["advertise"] = nodes[i].advertised;
    fields["seed"] = scenario.seed * 1000 + i;
    file["nodes"].push_back(std::move(fields));
  }
  return file;
}

json DaemonFile(const Scenario& scenario, int number, const DaemonAddresses& addresses) {
  json file = {{"name", addresses.name},
               {"listen", {{"batch", "127.0.0.1:0"}, {"http", ""}, {"report_to", addresses.reports}}},
               {"list", {{"address", addresses.node_list}, {"wait_s", 5}}},
               {"log", {{"file", addresses.log_file}}},
               {"seed", scenario.seed * 100 + static_cast<std::uint64_t>(number)},
               {"storage", {{"folder", addresses.state_folder}}},
               {"settings", DaemonSettings(scenario, number)}};
  if (scenario.uses_etcd) file["list"]["kind"] = "etcd";
  if (scenario.group_from_registry) {
    file["group"] = {{"from_registry", true}, {"ttl_s", 1.5}, {"most_age_s", 4}};
  }
  return file;
}

}  // namespace mountflow::chaos
