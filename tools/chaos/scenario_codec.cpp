#include "tools/chaos/scenario_codec.hpp"

#include <utility>

#include "config/config.hpp"

namespace mountflow::chaos {
namespace {

using nlohmann::json;

const char kScenarioSchema[] = R"json({
  "type": "object", "additionalProperties": false, "required": ["load"],
  "properties": {
    "name": {"type": "string"},
    "length_s": {"type": "number", "minimum": 1, "maximum": 3600},
    "seed": {"type": "integer", "minimum": 0},
    "daemons": {"type": "integer", "minimum": 1, "maximum": 64},
    "nodes": {"type": "integer", "minimum": 1, "maximum": 1000},
    "per_rack": {"type": "integer", "minimum": 1}, "racks_per_room": {"type": "integer", "minimum": 1},
    "list_delay_s": {"type": "number", "minimum": 0, "maximum": 60},
    "group_from_registry": {"type": "boolean"},
    "registry": {"enum": ["consul", "etcd"]}, "lease_s": {"type": "number", "minimum": 1, "maximum": 3600},
    "node": {"type": "object"},
    "settings": {"type": "object"},
    "load": {"type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false, "required": ["queue", "rate"],
      "properties": {
        "queue": {"type": "string"}, "rate": {"type": "number", "minimum": 0},
        "ncpus": {"type": "array", "minItems": 1, "items": {"type": "number"}},
        "mem_gb": {"type": "array", "minItems": 1, "items": {"type": "number"}},
        "life_s": {"type": "array", "minItems": 2, "maxItems": 2, "items": {"type": "number", "minimum": 0}},
        "services": {"type": "integer", "minimum": 1},
        "keyed": {"type": "boolean"}, "rerunnable": {"type": "boolean"},
        "retry_after_s": {"type": "number", "minimum": 0}
      }
    }},
    "faults": {"type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["at_s", "kind"],
      "properties": {
        "at_s": {"type": "number", "minimum": 0}, "for_s": {"type": "number", "minimum": 0},
        "kind": {"enum": ["kill", "hang", "stall", "one_way", "slow_answer", "pauses", "drain", "slow",
                          "fail_queue", "late_list", "daemon_kill", "daemon_stall", "daemon_stop",
                          "daemon_reload", "reconnect", "burst", "client_gone", "half_frame", "cancel", "registry_away",
                          "registry_cut", "registry_half", "registry_trickle", "registry_leaderless",
                          "registry_restore", "registry_compact", "registry_empty", "registry_flood"]},
        "nodes": {"type": "integer", "minimum": 0}, "share": {"type": "number", "minimum": 0, "maximum": 1},
        "rack": {"type": "string"}, "room": {"type": "string"},
        "daemon": {"type": "integer", "minimum": -1}, "size": {"type": "number", "minimum": 0},
        "every_s": {"type": "number", "minimum": 0}, "queue": {"type": "string"}
      }
    }}
  }
})json";

struct FaultName {
  FaultKind kind;
  const char* name;
};

// Must have the same names as the schema above.
constexpr FaultName kFaultNames[] = {
    {FaultKind::kNodeKill, "kill"},
    {FaultKind::kNodeHang, "hang"},
    {FaultKind::kNodeStall, "stall"},
    {FaultKind::kOneWay, "one_way"},
    {FaultKind::kSlowAnswer, "slow_answer"},
    {FaultKind::kPauses, "pauses"},
    {FaultKind::kDrain, "drain"},
    {FaultKind::kSlowNode, "slow"},
    {FaultKind::kFailQueue, "fail_queue"},
    {FaultKind::kLateNodeList, "late_list"},
    {FaultKind::kDaemonKill, "daemon_kill"},
    {FaultKind::kDaemonStall, "daemon_stall"},
    {FaultKind::kDaemonStop, "daemon_stop"},
    {FaultKind::kDaemonReload, "daemon_reload"},
    {FaultKind::kReconnect, "reconnect"},
    {FaultKind::kBurst, "burst"},
    {FaultKind::kClientGone, "client_gone"},
    {FaultKind::kHalfFrame, "half_frame"},
    {FaultKind::kCancel, "cancel"},
    {FaultKind::kRegistryAway, "registry_away"},
    {FaultKind::kRegistryCut, "registry_cut"},
    {FaultKind::kRegistryHalf, "registry_half"},
    {FaultKind::kRegistryTrickle, "registry_trickle"},
    {FaultKind::kRegistryLeaderless, "registry_leaderless"},
    {FaultKind::kRegistryRestore, "registry_restore"},
    {FaultKind::kRegistryCompact, "registry_compact"},
    {FaultKind::kRegistryEmpty, "registry_empty"},
    {FaultKind::kRegistryFlood, "registry_flood"},
};

FaultKind FaultKindOf(const std::string& name) {
  for (const FaultName& fault : kFaultNames) {
    if (name == fault.name) return fault.kind;
  }
  return FaultKind::kNodeKill;  // not reached: the schema allows only known names
}

WorkloadSpec DecodeWorkload(const json& fields) {
  WorkloadSpec workload;
  workload.queue = fields["queue"].get<std::string>();
  workload.jobs_per_second = fields["rate"].get<double>();
  workload.ncpus = fields.value("ncpus", workload.ncpus);
  workload.memory_gb = fields.value("mem_gb", workload.memory_gb);
  if (fields.contains("life_s")) {
    workload.min_run_seconds = fields["life_s"][0].get<double>();
    workload.max_run_seconds = fields["life_s"][1].get<double>();
  }
  workload.services = fields.value("services", workload.services);
  workload.has_keys = fields.value("keyed", workload.has_keys);
  workload.rerunnable = fields.value("rerunnable", workload.rerunnable);
  workload.retry_after_seconds = fields.value("retry_after_s", workload.retry_after_seconds);
  return workload;
}

Fault DecodeFault(const json& fields) {
  Fault fault;
  fault.start_seconds = fields["at_s"].get<double>();
  fault.duration_seconds = fields.value("for_s", fault.duration_seconds);
  fault.kind = FaultKindOf(fields["kind"].get<std::string>());
  fault.nodes = fields.value("nodes", fault.nodes);
  fault.node_share = fields.value("share", fault.node_share);
  fault.rack = fields.value("rack", fault.rack);
  fault.zone = fields.value("room", fault.zone);
  fault.daemon = fields.value("daemon", fault.daemon);
  fault.size = fields.value("size", fault.size);
  fault.interval_seconds = fields.value("every_s", fault.interval_seconds);
  fault.queue = fields.value("queue", fault.queue);
  return fault;
}

void DecodeCluster(const json& root, Scenario* scenario) {
  scenario->name = root.value("name", scenario->name);
  scenario->duration_seconds = root.value("length_s", scenario->duration_seconds);
  scenario->seed = root.value("seed", scenario->seed);
  scenario->daemons = root.value("daemons", scenario->daemons);
  scenario->nodes = root.value("nodes", scenario->nodes);
  scenario->nodes_per_rack = root.value("per_rack", scenario->nodes_per_rack);
  scenario->racks_per_zone = root.value("racks_per_room", scenario->racks_per_zone);
  scenario->node_list_delay_seconds = root.value("list_delay_s", scenario->node_list_delay_seconds);
  scenario->uses_etcd = root.value("registry", "consul") == "etcd";
  scenario->lease_seconds = root.value("lease_s", scenario->lease_seconds);
  scenario->group_from_registry = root.value("group_from_registry", scenario->group_from_registry);
  if (root.contains("node")) scenario->node_fields = root["node"];
  if (root.contains("settings")) scenario->settings = root["settings"];
}

ScenarioError InvalidFile(const config::ConfigError& error) {
  ScenarioError invalid;
  invalid.code = ScenarioError::Code::kInvalidFile;
  invalid.source = error.file;
  invalid.file_error = error;
  return invalid;
}

tl::expected<json, ScenarioErrors> ParseChecked(const std::string& text, const std::string& source) {
  const config::ConfigResult<json> root = config::ParseJson(text, source);
  if (!root) return tl::unexpected(ScenarioErrors{InvalidFile(root.error())});
  ScenarioErrors errors;
  for (const config::ConfigError& error : config::CheckSchema(*root, kScenarioSchema, source)) {
    errors.push_back(InvalidFile(error));
  }
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return *root;
}

}  // namespace

std::string Describe(const ScenarioError& error) {
  switch (error.code) {
    case ScenarioError::Code::kInvalidFile:
      return config::Describe(error.file_error);
    case ScenarioError::Code::kNoSuchDaemon:
      return error.source + ": at /faults: expected a daemon below " + std::to_string(error.daemons);
    case ScenarioError::Code::kUnknownFaultName:
      return "unknown trouble '" + error.fault_name +
             "': expected crash, hang, pauses, mass_restart, discovery_stale, zone_loss, grow, shrink, "
             "ageing, "
             "neighbour, class_fail, reconnect, burst, heavy_tail, daemon_kill, daemon_stop or daemon_reload";
  }
  return error.source;
}

tl::expected<Scenario, ScenarioErrors> ParseScenario(const std::string& text, const std::string& source) {
  const tl::expected<json, ScenarioErrors> root = ParseChecked(text, source);
  if (!root) return tl::unexpected(root.error());
  Scenario scenario;
  DecodeCluster(*root, &scenario);
  for (const json& fields : (*root)["load"]) scenario.workloads.push_back(DecodeWorkload(fields));
  ScenarioErrors errors;
  for (const json& fields : root->value("faults", json::array())) {
    scenario.faults.push_back(DecodeFault(fields));
    if (scenario.faults.back().daemon < scenario.daemons) continue;
    ScenarioError error;
    error.code = ScenarioError::Code::kNoSuchDaemon;
    error.source = source;
    error.daemons = scenario.daemons;
    errors.push_back(std::move(error));
  }
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return scenario;
}

const char* NameOf(FaultKind kind) {
  for (const FaultName& fault : kFaultNames) {
    if (kind == fault.kind) return fault.name;
  }
  return "";
}

}  // namespace mountflow::chaos
