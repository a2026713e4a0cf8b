// Guards the configuration loader: for a set of configurations, every field and every error text must be as
// recorded in tests/data/config_loader.txt.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "config/settings_text.hpp"
#include "tests/config/config_dump.hpp"
#include "tests/support/golden.hpp"

namespace mountflow::testing {
namespace {

using nlohmann::json;

// Quotes a text as one word, because values in the golden file contain no white space.
std::string Quoted(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '\n') {
      quoted += "\\n";
    } else if (c == ' ') {
      quoted += "\\s";
    } else if (c == '\\') {
      quoted += "\\\\";
    } else if (static_cast<unsigned char>(c) < ' ' || static_cast<unsigned char>(c) > '~') {
      quoted += "\\x" + ToHex(std::string(1, c));
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

struct Outcome {
  std::vector<std::string> errors;            // as printed for operators; empty: valid
  std::map<std::string, std::string> fields;  // fields of a valid configuration
};

Outcome Load(const std::string& text) {
  const auto loaded = config::ParseDaemon(text, "x.json");
  if (!loaded) return {config::DescribeEach(loaded.error()), {}};
  return {{}, DumpConfig(*loaded)};
}

Outcome LoadFile(const std::string& file) {
  const auto loaded = config::LoadDaemon(file);
  if (!loaded) return {config::DescribeEach(loaded.error()), {}};
  return {{}, DumpConfig(*loaded)};
}

// Records outcomes. The empty configuration is recorded completely; of other valid configurations, only the
// fields that differ from it.
class OutcomeRecorder {
 public:
  explicit OutcomeRecorder(GoldenFile* golden) : golden_(golden), empty_(Load("{}")) {
    EXPECT_TRUE(empty_.errors.empty());
    EXPECT_GT(empty_.fields.size(), 120u);
    for (const auto& [field, value] : empty_.fields) golden_->Add("empty/" + field, Quoted(value));
  }

  void Record(const std::string& name, const Outcome& outcome) {
    std::string line;
    for (const std::string& error : outcome.errors) line += "error: " + error + "\n";
    for (const auto& [field, value] : outcome.fields) {
      const auto same = empty_.fields.find(field);
      if (same == empty_.fields.end() || same->second != value) line += field + "=" + value + "\n";
    }
    if (outcome.errors.empty()) {
      for (const auto& [field, value] : empty_.fields) {
        if (outcome.fields.count(field) == 0) line += field + " is not there\n";
      }
    }
    golden_->Add(name, Quoted(line));
  }

 private:
  GoldenFile* golden_;
  Outcome empty_;
};

// Returns a configuration with everything else that the key at `path` requires to be valid.
json BaseFor(const std::string& path) {
  const auto in = [&path](const char* section) { return path.rfind(section, 0) == 0; };
  json base = json::object();
  if (in("/settings")) {
    base["settings"] = json::parse(config::kDefaultDaemon, nullptr, true, true)["settings"];
  }
  if (in("/list/tls")) base["list"]["tls"] = {{"ca", "ca.pem"}};
  if (in("/storage") || in("/billing")) base["storage"] = {{"folder", "/var/jobs"}};
  if (in("/billing/prices")) base["billing"] = {{"prices", json::array({json::object()})}};
  return base;
}

// Sets each key that the schema knows to each of a list of values, which has every type and both ends of the
// ranges.
class SchemaWalk {
 public:
  explicit SchemaWalk(OutcomeRecorder* recorder) : recorder_(recorder) {}

  void Visit(const json& schema, const std::string& path) {
    if (!path.empty()) TryValues(path);
    if (schema.contains("properties")) {
      TryOne(path + "/surprise", json(1), "unknown");
      for (const auto& [name, property] : schema["properties"].items()) Visit(property, path + "/" + name);
    }
    if (schema.contains("items")) Visit(schema["items"], path + "/0");
  }
  int tried() const { return tried_; }

 private:
  void TryValues(const std::string& path) {
    TryOne(path, json(nullptr), "null");
    TryOne(path, json(true), "true");
    TryOne(path, json("two words!"), "words");
    TryOne(path, json(""), "no_words");
    TryOne(path, json("127.0.0.1:7"), "address");
    TryOne(path, json(-1), "minus_one");
    TryOne(path, json(0), "zero");
    TryOne(path, json(2.5), "fraction");
    TryOne(path, json(3000), "thousands");
    TryOne(path, json(1e12), "large");
    TryOne(path, json::array(), "no_items");
    TryOne(path, json::array({1, "b"}), "items");
    TryOne(path, json::object(), "no_members");
  }
  void TryOne(const std::string& path, const json& value, const std::string& name) {
    json root = BaseFor(path);
    root[json::json_pointer(path)] = value;
    recorder_->Record("key" + path + "=" + name, Load(root.dump()));
    ++tried_;
  }

  OutcomeRecorder* recorder_;
  int tried_ = 0;
};

const char kEveryKey[] = R"json({
  "name": "d-1",
  "listen": {"batch": "10.1.2.3:15101", "http": "10.1.2.3:15180", "report_to": "10.1.2.4:15102",
             "beyond_loopback": true},
  "list": {"addresses": ["10.0.0.1:8500", "10.0.0.2:8500"], "prefix": "p/nodes/", "token": "t", "service": "nodes",
           "kind": "consul", "user": "u", "password": "w", "mode": "stale", "most_stale_s": 3.5,
           "least_pause_s": 0.25, "snapshot": "/var/list",
           "tls": {"ca": "ca.pem", "certificate": "own.pem", "key": "own.key", "name": "registry.test"}, "wait_s": 7},
  "group": {"from_registry": true, "prefix": "p/daemons/", "ttl_s": 12, "most_age_s": 6.5},
  "default_queue": "b",
  "memory_unit_bytes": 1e6,
  "managers": ["root", "operator"],
  "billing": {"zone": "CET-1CEST,M3.5.0,M10.5.0/3", "period": "day", "grace_s": 100, "reopen": true,
              "reopen_within_s": 200, "refuse_beyond": true, "budgets": {"t1": 2.5, "t2": 1e6},
              "prices": [{"class": "a", "kind": "large", "from_s": 5, "core_hour": 10, "gib_hour": 20},
                         {"core_hour": 1}]},
  "storage": {"folder": "/var/jobs", "snapshot_mb": 1.5},
  "stop_grace_s": 4.5,
  "seed": 77,
  "log": {"file": "/var/log/d", "level": "warn"},
  "limits": {"jobs": 11, "script_bytes": 12, "one_script_bytes": 13, "history": 14, "history_s": 15, "nodes": 16,
             "unsettled": 17, "unread_reply_bytes": 1800, "connections_per_node": 19, "waiting_per_node": 20},
  "door": {"share": 0.5, "most_wait_s": 0.75, "most_line": 21, "slice_s": 0.005, "most_told_s": 22},
  "repeats": {"most": 23, "first_wait_s": 0.5, "most_wait_s": 24, "lost_wait_s": 0.125, "spread": 0.75},
  "settings": {
    "profiles": [
      {"name": "a", "effect": "keyed", "key_scope": "zone", "window_us": 5, "aim_us": 6, "hard_limit_us": 7000,
       "worth": 2.5, "late_value": 0.3},
      {"name": "b", "effect": "unsafe", "key_scope": "cell", "aim_us": 8, "hard_limit_us": 9000, "worth": 4}],
    "kinds": ["small", "large"], "failure_domains": ["r1", "r2"], "orgs": [{"name": "t1"}, {"name": "t2"}],
    "group_size": 3, "self_index": 2, "zone": 1, "discovery": "ask",
    "bounds": {"cancel": true, "probes": true, "second_copies": true, "max_attempts": 5},
    "domain": {"ack": "accepted", "counts": "asked", "displaces": true, "lists_free": true, "admit_cores": 1.5,
               "admit_memory": 1.25, "kind_cores": [32, 64], "mem_of_kind": [64, 128.5], "mean_cores": 2,
               "usual_memory": 3, "priority_by_class": [2, 1], "spread_by": ["cell", "machine"],
               "together_max": [4, 5], "start_seconds": [10, 11], "kind_by_class": [1, -1],
               "calm_level": [0.5, 0.75], "cold_bears": 24, "owner_wait_us": 2500000, "refusal_fee": 0.02,
               "evict_weight": 1.75},
    "safety": {"answer_slack_us": 1, "ask_within_us": 2, "drain_grace_us": 3, "cold_from": 0.25, "cold_us": 4,
               "fall_multiple": 2.5, "tip_after_us": 5},
    "prices": {"cross_zone": 0.05, "moves": 0.08, "probe": 0.01}
  }
})json";

TEST(ConfigLoaderGuard, EveryOutcomeIsTheRecordedOne) {
  GoldenFile golden("config_loader.txt");
  OutcomeRecorder recorder(&golden);
  recorder.Record("defaults", LoadFile(""));
  recorder.Record("every_key", Load(kEveryKey));
  recorder.Record("missing_file", LoadFile("/no/such/file"));

  SchemaWalk walk(&recorder);
  walk.Visit(json::parse(config::kDaemonSchema, nullptr, true, true), "");
  EXPECT_GT(walk.tried(), 1000);

  const std::vector<std::pair<std::string, std::string>> texts = {
      {"no_text", ""},
      {"open", "{"},
      {"no_value", "{\n  \"name\": }"},
      {"trailing_comma", "{\"seed\": 1,}"},
      {"two_lines_down", "{\n\n\"seed\": 1\n\"name\": 2}"},
      {"bad_utf8", "{\"name\": \"\xff\"}"},
      {"two_values", "{} {}"},
      {"array", "[]"},
      {"number", "5"},
      {"comments", "{ // line\n /* block */ \"seed\": 5}"},
      {"twice", R"({"seed": 1, "seed": 2})"},
      {"several_errors", R"({"name": "a b", "seed": -1, "colour": "red", "list": {"wait_s": 0}})"},
      {"beyond_loopback_batch", R"({"listen": {"batch": "0.0.0.0:1"}})"},
      {"beyond_loopback_http", R"({"listen": {"http": "10.0.0.1:1"}})"},
      {"beyond_loopback_allowed", R"({"listen": {"http": "10.0.0.1:1", "beyond_loopback": true}})"},
      {"localhost", R"({"listen": {"http": "localhost:1", "batch": "127.9.9.9:2"}})"},
      {"http_off", R"({"listen": {"http": ""}})"},
      {"etcd", R"({"list": {"kind": "etcd"}})"},
      {"etcd_address",
       R"({"list": {"kind": "etcd", "address": "10.0.0.1:1", "user": "u", "password": "p"}})"},
      {"etcd_service", R"({"list": {"kind": "etcd", "service": "s"}})"},
      {"address_and_addresses", R"({"list": {"address": "10.0.0.1:1", "addresses": ["10.0.0.2:2"]}})"},
      {"consistent", R"({"list": {"mode": "consistent"}})"},
      {"tls_ca_alone", R"({"list": {"tls": {"ca": "c"}}})"},
      {"tls_without_ca", R"({"list": {"tls": {"certificate": "c", "key": "k"}}})"},
      {"tls_without_key", R"({"list": {"tls": {"ca": "a", "certificate": "c"}}})"},
      {"tls_without_certificate", R"({"list": {"tls": {"ca": "a", "key": "k"}}})"},
      {"all_that_the_schema_does_not_know",
       R"({"listen": {"batch": "0.0.0.0:1"}, "billing": {"zone": "x"},
           "list": {"kind": "etcd", "service": "s", "address": "h:1", "addresses": ["h:2"],
                    "tls": {"ca": "a", "key": "k"}}})"},
      {"group_not_from_registry", R"({"group": {"from_registry": false, "prefix": "g/"}})"},
      {"group_from_registry", R"({"group": {"from_registry": true}})"},
      {"billing_without_storage", R"({"billing": {}})"},
      {"billing_in_memory", R"({"billing": {}, "storage": {"folder": "none"}})"},
      {"billing_year", R"({"billing": {"period": "year"}, "storage": {"folder": "/f"}})"},
      {"billing_zone", R"({"billing": {"zone": "Europe/Berlin"}, "storage": {"folder": "/f"}})"},
      {"storage_without_folder", R"({"storage": {"snapshot_mb": 5}})"},
      {"default_queue", R"({"default_queue": ""})"},
      {"first_queue_is_the_default",
       R"({"settings": {"profiles": [{"name": "q", "effect": "safe", "hard_limit_us": 1000}]}})"},
      {"no_profiles", R"({"settings": {}})"},
      {"hard_limit_too_low",
       R"({"settings": {"profiles": [{"name": "q", "effect": "safe", "hard_limit_us": 999.9}]}})"},
      {"bad_setting",
       R"({"settings": {"profiles": [{"name": "a", "effect": "safe", "hard_limit_us": 1000}],
                        "domain": {"ack": "maybe"}}})"},
      {"setting_of_another_type",
       R"({"settings": {"profiles": [{"name": "a", "effect": "safe", "hard_limit_us": 1000}],
                        "bounds": {"cancel": "often", "max_attempts": -1}}})"},
      {"space_and_comma_in_a_setting",
       R"({"settings": {"profiles": [{"name": "a", "effect": "safe", "hard_limit_us": 1000}],
                        "kinds": ["a b", "c,d"], "domain": {"kind_cores": [1, 0.1]}}})"},
      {"client_wait_zero",
       R"({"settings": {"profiles": [{"name": "a", "effect": "safe", "hard_limit_us": 1000}],
                        "domain": {"owner_wait_us": 0}}, "repeats": {"most": 1}})"},
  };
  for (const auto& [name, text] : texts) recorder.Record("text/" + name, Load(text));
  golden.Compare();
}

TEST(ConfigLoaderGuard, TheDefaultsAndSchemaAreTheRecordedOnes) {
  GoldenFile golden("config_texts.txt");
  golden.Add("defaults", Quoted(config::kDefaultDaemon));
  golden.Add("schema", Quoted(json::parse(config::kDaemonSchema, nullptr, true, true).dump()));
  golden.Add("flattened", Quoted(config::ToSettingsText(json::parse(
                              R"({"a": {"b": [1, 2]}, "c": [{"d": "x y"}, {"d": 0.1}], "e": true, "f": null,
                                  "g": [], "h": -3, "i": "p,q\nr", "j": {}, "k": 1e300})"))));
  golden.Compare();
}

}  // namespace
}  // namespace mountflow::testing
