#include "node_agent/host_file.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "config/config.hpp"
#include "node_agent/host_file_schema.hpp"

namespace mountflow::node_agent {
namespace {

using config::ConfigErrors;
using nlohmann::json;

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;

// ---- Errors ----

tl::unexpected<ConfigErrors> Fail(config::ConfigError error) {
  return tl::unexpected(ConfigErrors{std::move(error)});
}

tl::unexpected<ConfigErrors> FailValue(const std::string& file, std::string pointer, std::string expected) {
  config::ConfigError error;
  error.code = config::ConfigErrorCode::kInvalidValue;
  error.file = file;
  error.pointer = std::move(pointer);
  error.expected = std::move(expected);
  return Fail(std::move(error));
}

// ---- Keys and their fields ----

// A key of the host file and the field that it sets.
template <typename Object>
struct KeyOf {
  const char* key;
  std::variant<std::string Object::*, bool Object::*, double Object::*, unsigned Object::*,
               std::size_t Object::*>
      field;
};

// A key that sets a time. The key's name contains the unit.
template <typename Object>
struct TimeKeyOf {
  const char* key;
  double micros_per_unit;
  Micros Object::*field;
};

constexpr KeyOf<NodeHostOptions> kHostKeys[] = {
    {"list", &NodeHostOptions::node_list_address},  {"prefix", &NodeHostOptions::entry_prefix},
    {"control", &NodeHostOptions::control_address}, {"memory_unit_bytes", &NodeHostOptions::memory_unit},
    {"service", &NodeHostOptions::consul_service},
};
constexpr TimeKeyOf<NodeHostOptions> kHostTimeKeys[] = {
    {"lease_s", kMicrosPerSecond, &NodeHostOptions::lease},
    {"publish_ms", kMicrosPerMilli, &NodeHostOptions::publish_period},
};
constexpr KeyOf<HostedNodeConfig> kHostedNodeKeys[] = {
    {"listen", &HostedNodeConfig::listen_address},
    {"advertise", &HostedNodeConfig::advertised_address},
    {"warm", &HostedNodeConfig::starts_warm},
};
constexpr KeyOf<NodeConfig> kNodeKeys[] = {
    {"name", &NodeConfig::name},
    {"kind", &NodeConfig::kind},
    {"rack", &NodeConfig::rack},
    {"room", &NodeConfig::zone},
    {"cores", &NodeConfig::cores},
    {"memory", &NodeConfig::memory},
    {"accept_cores", &NodeConfig::overcommit_cores},
    {"accept_memory", &NodeConfig::overcommit_memory},
    {"admit_queue", &NodeConfig::admission_queue_size},
    {"starts", &NodeConfig::max_concurrent_starts},
    {"setup", &NodeConfig::uncached_start_factor},
    {"kept", &NodeConfig::program_cache_size},
    {"ack_running", &NodeConfig::acknowledges_when_running},
    {"preempts", &NodeConfig::preempts},
    {"drain_sends_away", &NodeConfig::drain_ends_tasks},
    {"cold_from", &NodeConfig::slow_start_initial_pace},
    {"fall_multiple", &NodeConfig::overload_multiple},
    {"cold_bears", &NodeConfig::min_overload_attempts},
    {"use_cores", &NodeConfig::core_use},
    {"use_memory", &NodeConfig::memory_use},
    {"over_share", &NodeConfig::memory_overuse_share},
    {"over_factor", &NodeConfig::memory_overuse_factor},
    {"exec", &NodeConfig::executes_tasks},
    {"seed", &NodeConfig::seed},
};
constexpr TimeKeyOf<NodeConfig> kNodeTimeKeys[] = {
    {"admit_ms", kMicrosPerMilli, &NodeConfig::admission_time},
    {"start_ms", kMicrosPerMilli, &NodeConfig::start_time},
    {"cold_s", kMicrosPerSecond, &NodeConfig::slow_start_duration},
    {"fall_s", kMicrosPerSecond, &NodeConfig::slow_start_window},
    {"grow_s", kMicrosPerSecond, &NodeConfig::memory_growth_time},
    {"life_s", kMicrosPerSecond, &NodeConfig::task_duration},
    {"report_ms", kMicrosPerMilli, &NodeConfig::load_report_period},
};

// Sets the fields of the keys that are present. Other fields do not change.
template <typename Keys, typename Object>
void ReadKeys(const json& section, const Keys& keys, Object* object) {
  for (const auto& entry : keys) {
    const auto value = section.find(entry.key);
    if (value == section.end()) continue;
    std::visit([&](auto field) { value->get_to(object->*field); }, entry.field);
  }
}

template <typename Keys, typename Object>
void ReadTimes(const json& section, const Keys& keys, Object* object) {
  for (const auto& entry : keys) {
    const auto value = section.find(entry.key);
    if (value == section.end()) continue;
    object->*entry.field = static_cast<Micros>(value->template get<double>() * entry.micros_per_unit);
  }
}

// ---- Sections ----

tl::expected<json, ConfigErrors> ReadJson(const std::string& file) {
  const config::ConfigResult<std::string> text = config::ReadFile(file);
  if (!text) return Fail(text.error());
  const config::ConfigResult<json> root = config::ParseJson(*text, file);
  if (!root) return Fail(root.error());
  ConfigErrors errors = config::CheckSchema(*root, kHostSchema, file);
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return *root;
}

tl::expected<void, ConfigErrors> ReadOptions(const json& root, const std::string& file,
                                             NodeHostOptions* options) {
  ReadKeys(root, kHostKeys, options);
  ReadTimes(root, kHostTimeKeys, options);
  options->uses_etcd = root.value("registry", "consul") == "etcd";
  if (root.contains("tls")) {
    const config::ConfigResult<tls::Options> tls = config::ReadTls(root["tls"], file, "/tls");
    if (!tls) return Fail(tls.error());
    options->tls = *tls;
  }
  if (!options->consul_service.empty() && (options->uses_etcd || options->lease == 0)) {
    return FailValue(file, "/service", "registry consul and lease_s more than 0");
  }
  if (options->uses_etcd && options->lease == 0) return FailValue(file, "/lease_s", "more than 0 with etcd");
  return {};
}

HostedNodeConfig ReadNode(const json& section, std::uint64_t default_seed) {
  HostedNodeConfig node;
  node.config.seed = default_seed;
  ReadKeys(section, kHostedNodeKeys, &node);
  ReadKeys(section, kNodeKeys, &node.config);
  ReadTimes(section, kNodeTimeKeys, &node.config);
  return node;
}

}  // namespace

tl::expected<HostFile, ConfigErrors> ReadHostFile(const std::string& file, NodeHostOptions defaults) {
  const tl::expected<json, ConfigErrors> root = ReadJson(file);
  if (!root) return tl::unexpected(root.error());
  HostFile host{std::move(defaults), {}};
  if (const auto options = ReadOptions(*root, file, &host.options); !options) {
    return tl::unexpected(options.error());
  }
  std::uint64_t seed = 0;  // default seed of a node: its position in the list, from 1
  for (const json& section : (*root)["nodes"]) host.nodes.push_back(ReadNode(section, ++seed));
  return host;
}

}  // namespace mountflow::node_agent
