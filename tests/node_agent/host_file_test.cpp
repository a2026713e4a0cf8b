// Tests the host file: each key is read into its field, and the error messages match recorded ones.
#include "node_agent/host_file.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "tests/support/golden.hpp"

namespace mountflow::testing {
namespace {

struct HostFileReading {
  std::vector<std::string> errors;
  node_agent::NodeHostOptions options;
  std::vector<node_agent::HostedNodeConfig> nodes;
};

// Each test writes its own file, because tests run concurrently in one directory.
HostFileReading ReadText(const std::string& name, const std::string& text) {
  std::ofstream(name) << text;
  HostFileReading reading;
  const auto file = node_agent::ReadHostFile(name, {});
  if (!file) {
    for (const config::ConfigError& error : file.error()) reading.errors.push_back(Describe(error));
    return reading;
  }
  reading.options = file->options;
  reading.nodes = file->nodes;
  return reading;
}

std::string Number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.17g", value);
  return text;
}

std::string ToText(const node_agent::NodeConfig& config) {
  std::string text;
  for (const std::string& value : {config.name, config.kind, config.rack, config.zone}) text += value + ",";
  for (const double value : {config.cores, config.memory, config.overcommit_cores, config.overcommit_memory,
                             config.uncached_start_factor, config.slow_start_initial_pace,
                             config.overload_multiple, config.min_overload_attempts, config.core_use,
                             config.memory_use, config.memory_overuse_share, config.memory_overuse_factor}) {
    text += Number(value) + ",";
  }
  for (const std::uint64_t value :
       {std::uint64_t{config.admission_time}, std::uint64_t{config.admission_queue_size},
        std::uint64_t{config.max_concurrent_starts}, std::uint64_t{config.start_time},
        std::uint64_t{config.program_cache_size}, std::uint64_t{config.acknowledges_when_running},
        std::uint64_t{config.preempts}, std::uint64_t{config.drain_ends_tasks},
        std::uint64_t{config.slow_start_duration}, std::uint64_t{config.slow_start_window},
        std::uint64_t{config.memory_growth_time}, std::uint64_t{config.task_duration},
        std::uint64_t{config.executes_tasks}, std::uint64_t{config.load_report_period}, config.seed}) {
    text += std::to_string(value) + ",";
  }
  return text;
}

constexpr char kEveryKey[] = R"({
  "list": "127.0.0.1:8500", "prefix": "p/", "lease_s": 1.5, "registry": "consul", "service": "nodes",
  "tls": {"ca": "ca.pem", "certificate": "c.pem", "key": "k.pem", "name": "registry"},
  "control": "127.0.0.1:9000", "publish_ms": 50, "memory_unit_bytes": 1000,
  "nodes": [
    {"name": "a"},
    {"name": "b", "listen": "127.0.0.1:7", "advertise": "host:8", "warm": false, "kind": "big", "rack": "r",
     "room": "z", "cores": 3, "memory": 5, "accept_cores": 1.25, "accept_memory": 1.5, "admit_ms": 2.5,
     "admit_queue": 7, "starts": 9, "start_ms": 11, "setup": 13, "kept": 14, "ack_running": true,
     "preempts": false, "drain_sends_away": false, "cold_from": 0.5, "cold_s": 17, "fall_multiple": 18,
     "fall_s": 19, "cold_bears": 20, "use_cores": 0.21, "use_memory": 0.22, "over_share": 0.23,
     "over_factor": 24, "grow_s": 25, "life_s": 26, "exec": true, "report_ms": 27, "seed": 28},
    {"name": "c"}]})";

TEST(HostFile, EachKeyIsReadIntoItsField) {
  const HostFileReading reading = ReadText("host_file_values.json", kEveryKey);
  EXPECT_TRUE(reading.errors.empty());
  ASSERT_EQ(reading.nodes.size(), 3u);
  GoldenFile golden("host_file_values.txt");
  for (const node_agent::HostedNodeConfig& node : reading.nodes) {
    golden.Add(node.config.name, ToText(node.config) + node.listen_address + "," + node.advertised_address +
                                     "," + std::to_string(node.starts_warm));
  }
  const node_agent::NodeHostOptions& options = reading.options;
  golden.Add("options", options.node_list_address + "," + options.entry_prefix + "," +
                            options.control_address + "," + std::to_string(options.lease) + "," +
                            std::to_string(options.uses_etcd) + "," + options.consul_service + "," +
                            options.tls.ca + "," + options.tls.certificate + "," + options.tls.key + "," +
                            options.tls.name + "," + std::to_string(options.publish_period) + "," +
                            Number(options.memory_unit));
  golden.Compare();
}

TEST(HostFile, EachErrorReadsAsRecorded) {
  const std::vector<std::pair<const char*, const char*>> kCases = {
      {"empty", ""},
      {"broken", "{\n  \"nodes\": [}"},
      {"no_nodes", "{}"},
      {"empty_nodes", R"({"nodes": []})"},
      {"unknown_key", R"({"nodes": [{"name": "a"}], "liste": ""})"},
      {"unknown_node_key", R"({"nodes": [{"name": "a", "core": 1}]})"},
      {"wrong_types", R"({"nodes": [{"name": "a", "cores": "1", "starts": 0}, {"name": ""}]})"},
      {"registry", R"({"nodes": [{"name": "a"}], "registry": "zookeeper"})"},
      {"etcd_without_lease", R"({"nodes": [{"name": "a"}], "registry": "etcd"})"},
      {"service_without_lease", R"({"nodes": [{"name": "a"}], "service": "s"})"},
      {"service_with_etcd",
       R"({"nodes": [{"name": "a"}], "service": "s", "registry": "etcd", "lease_s": 1})"},
      {"tls", R"({"nodes": [{"name": "a"}], "tls": {"ca": "a", "key": "b"}})"},
      {"tls_without_ca", R"({"nodes": [{"name": "a"}], "tls": {}})"},
  };
  GoldenFile golden("host_file_errors.txt");
  for (const auto& [name, text] : kCases) {
    std::string errors;
    for (const std::string& error : ReadText("host_file_test.json", text).errors) errors += error + "\n";
    EXPECT_FALSE(errors.empty()) << name;
    golden.AddBytes(name, errors);
  }
  golden.Compare();
}

TEST(HostFile, AMissingFileIsAnError) {
  const auto file = node_agent::ReadHostFile("missing.json", {});
  ASSERT_FALSE(file);
  ASSERT_EQ(file.error().size(), 1u);
  EXPECT_EQ(file.error()[0].code, config::ConfigErrorCode::kUnreadableFile);
  EXPECT_EQ(Describe(file.error()[0]), "missing.json: cannot be read");
}

TEST(HostFile, AnErrorNamesFilePointerAndExpectation) {
  const std::string name = "host_file_error.json";
  std::ofstream(name) << R"({"nodes": [{"name": "a"}], "registry": "etcd"})";
  const auto file = node_agent::ReadHostFile(name, {});
  ASSERT_FALSE(file);
  const config::ConfigError& error = file.error()[0];
  EXPECT_EQ(error.code, config::ConfigErrorCode::kInvalidValue);
  EXPECT_EQ(error.file, name);
  EXPECT_EQ(error.pointer, "/lease_s");
  EXPECT_EQ(error.expected, "more than 0 with etcd");
}

TEST(HostFile, ASchemaViolationNamesItsPointerAndWhatWasFound) {
  const std::string name = "host_file_violation.json";
  std::ofstream(name) << R"({"nodes": [{"name": "a"}], "list": 1})";
  const auto file = node_agent::ReadHostFile(name, {});
  ASSERT_FALSE(file);
  const config::ConfigError& error = file.error()[0];
  EXPECT_EQ(error.code, config::ConfigErrorCode::kSchemaViolation);
  EXPECT_EQ(error.pointer, "/list");
  EXPECT_EQ(error.found, "Value type not permitted by 'type' constraint.");
}

TEST(HostFile, OmittedKeysHaveTheirDefaults) {
  const std::string name = "host_file_defaults.json";
  std::ofstream(name) << R"({"nodes": [{"name": "a"}], "prefix": "mine/"})";
  node_agent::NodeHostOptions defaults;
  defaults.control_address = "127.0.0.1:9";
  const auto file = node_agent::ReadHostFile(name, defaults);
  ASSERT_TRUE(file);
  EXPECT_EQ(file->options.control_address, "127.0.0.1:9");
  EXPECT_EQ(file->options.entry_prefix, "mine/");
}

}  // namespace
}  // namespace mountflow::testing
