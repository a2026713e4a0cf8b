// Compares the accepted keys of the settings text and of the daemon's configuration with the lists recorded
// in tests/data/. A renamed or removed key makes a test fail, because existing configurations would stop
// working.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "config/config.hpp"
#include "settings/settings.hpp"
#include "tests/support/golden.hpp"

namespace mountflow::testing {
namespace {

// Declares one class and one tenant, so that the keys of classes and tenants are read.
const std::string kClassAndTenantCounts = "profiles.count=1\norgs.count=1\n";

std::string ErrorOf(const std::string& text) {
  const auto parsed = settings::ParseSettings(text);
  return parsed ? "" : settings::Describe(parsed.error());
}

// The keys whose values are validated, each with an accepted value. The error for an invalid value names the
// key.
const std::vector<std::pair<std::string, std::string>> kValidatedKeys = {
    {"profiles.count", "2"},
    {"profiles.0.effect", "keyed"},
    {"profiles.0.key_scope", "zone"},
    {"profiles.0.window_us", "5"},
    {"profiles.0.aim_us", "5"},
    {"profiles.0.worth", "2"},
    {"profiles.0.late_value", "0.5"},
    {"profiles.0.hard_limit_us", "5"},
    {"domain.spread_by", "machine"},
    {"domain.together_max", "2"},
    {"domain.kind_by_class", "1"},
    {"domain.priority_by_class", "1"},
    {"domain.start_seconds", "1.5"},
    {"domain.calm_level", "0.5"},
    {"domain.kind_cores", "35"},
    {"domain.mem_of_kind", "52.5"},
    {"group_size", "3"},
    {"self_index", "2"},
    {"zone", "1"},
    {"discovery", "ask"},
    {"domain.lists_free", "true"},
    {"domain.ack", "accepted"},
    {"domain.counts", "asked"},
    {"bounds.probes", "true"},
    {"bounds.cancel", "true"},
    {"bounds.second_copies", "true"},
    {"domain.displaces", "true"},
    {"bounds.max_attempts", "4"},
    {"domain.mean_cores", "1.5"},
    {"domain.usual_memory", "1.5"},
    {"domain.admit_cores", "1.5"},
    {"domain.admit_memory", "1.5"},
    {"domain.owner_wait_us", "5"},
    {"safety.answer_slack_us", "5"},
    {"safety.ask_within_us", "5"},
    {"safety.drain_grace_us", "5"},
    {"safety.cold_from", "0.5"},
    {"safety.cold_us", "5"},
    {"safety.fall_multiple", "2"},
    {"safety.tip_after_us", "5"},
    {"domain.cold_bears", "8"},
    {"domain.refusal_fee", "0.5"},
    {"prices.cross_zone", "0.5"},
    {"prices.moves", "0.5"},
    {"domain.evict_weight", "0.5"},
    {"prices.probe", "0.5"},
    {"orgs.count", "2"},
    {"bounds.connect_timeout_us", "5"},
    {"bounds.conn_idle_us", "5"},
};

TEST(AcceptedKeys, EachSettingIsReadByItsName) {
  GoldenFile golden("settings_keys.txt");
  for (const auto& [key, value] : kValidatedKeys) {
    EXPECT_EQ(ErrorOf(kClassAndTenantCounts + key + "=" + value + "\n"), "") << key;
    EXPECT_NE(ErrorOf(kClassAndTenantCounts + key + "=no such value\n").find(key), std::string::npos) << key;
    golden.Add(key, value);
  }
  golden.Compare();
}

TEST(AcceptedKeys, NamesAreStoredUnchanged) {
  const auto read = settings::ParseSettings(kClassAndTenantCounts +
                                            "profiles.0.name=service\norgs.0.name=acme\nkinds=big,small\n"
                                            "failure_domains=left,right\nstats.names=x0,x1\n")
                        .value();
  EXPECT_EQ(read.class_names, std::vector<std::string>{"service"});
  EXPECT_EQ(read.tenant_names, std::vector<std::string>{"acme"});
  EXPECT_EQ(read.kind_names, (std::vector<std::string>{"big", "small"}));
  EXPECT_EQ(read.zone_names, (std::vector<std::string>{"left", "right"}));
  EXPECT_EQ(read.report_names, (std::vector<std::string>{"x0", "x1"}));
}

TEST(AcceptedKeys, LoadReportValuesAreStoredByTheirNames) {
  const auto report = [](const char* name) {
    LoadReport put;
    settings::PutReportValue(name, 0.5, &put);
    return put;
  };
  EXPECT_EQ(report("x0").free_cores, 0.5);
  EXPECT_EQ(report("x1").free_memory, 0.5);
  for (const char* name : {"pending", "queue"}) EXPECT_EQ(report(name).queued, 0.5) << name;
  for (const char* name : {"cpu_share", "util"}) EXPECT_EQ(report(name).utilisation, 0.5) << name;
}

void AddSchema(const nlohmann::json& schema, const std::string& path, GoldenFile* golden) {
  if (!path.empty()) {
    const auto type = schema.find("type");
    golden->Add(path, type == schema.end() ? "any"
                      : type->is_string()  ? type->get<std::string>()
                                           : "several");
  }
  if (const auto properties = schema.find("properties"); properties != schema.end()) {
    for (const auto& [name, property] : properties->items()) AddSchema(property, path + "/" + name, golden);
  }
  if (const auto items = schema.find("items"); items != schema.end()) AddSchema(*items, path + "/[]", golden);
}

TEST(AcceptedKeys, TheDaemonsConfigurationHasTheRecordedKeys) {
  GoldenFile golden("config_keys.txt");
  AddSchema(nlohmann::json::parse(config::kDaemonSchema, nullptr, true, true), "", &golden);
  EXPECT_GT(golden.recorded().size(), 40u);
  golden.Compare();
  EXPECT_TRUE(config::LoadDaemon("").has_value());
}

}  // namespace
}  // namespace mountflow::testing
