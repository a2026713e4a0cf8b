// Tests the settings text: the meaning of its values, and the errors for invalid values and lines.
#include "settings/settings.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mountflow::settings {
namespace {

std::string ErrorOf(const std::string& text) {
  const auto parsed = ParseSettings(text);
  return parsed ? "" : Describe(parsed.error());
}

TEST(SettingsText, ReadsSchedulerSettings) {
  const WireSettings read =
      ParseSettings(
          "profiles.count=2\nprofiles.0.effect=keyed\nprofiles.0.key_scope=zone\nprofiles.0.window_us=5\n"
          "profiles.1.effect=safe\ndomain.spread_by=silent,cell\ndomain.together_max=2,3\n"
          "domain.kind_cores=35,59\ndomain.mem_of_kind=52.0,116.0\ngroup_size=3\nself_index=2\ndiscovery="
          "ask\n"
          "domain.ack=accepted\nbounds.max_attempts=4\nsome.later.key=x y\nstats.names=x0,x1,pending\n")
          .value();
  const Settings& settings = read.settings;
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::kWithKey);
  EXPECT_EQ(settings.classes[0].deduplication_scope, DeduplicationScope::kZone);
  EXPECT_EQ(settings.classes[0].deduplication_window, 5u);
  EXPECT_EQ(settings.classes[1].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(settings.classes[0].topology_spread, TopologySpread::kNone);
  EXPECT_EQ(settings.classes[1].topology_spread, TopologySpread::kRack);
  EXPECT_EQ(settings.classes[1].max_per_domain, 3);
  ASSERT_EQ(settings.node_kinds.size(), 2u);
  EXPECT_DOUBLE_EQ(settings.node_kinds[1].cores, 59.0);
  EXPECT_DOUBLE_EQ(settings.node_kinds[0].memory, 52.0);
  EXPECT_EQ(settings.group_size, 3);
  EXPECT_EQ(settings.self_index, 2);
  EXPECT_TRUE(settings.list_on_request);
  EXPECT_FALSE(settings.started_means_running);
  EXPECT_EQ(settings.max_attempts, 4u);
  EXPECT_EQ(read.report_names, (std::vector<std::string>{"x0", "x1", "pending"}));
}

TEST(SettingsText, ReadsNamesAndLimitsOfTheProtocols) {
  const WireSettings read =
      ParseSettings(
          "profiles.count=2\nprofiles.1.name=batch\nprofiles.0.hard_limit_us=7\nprofiles.1.hard_limit_us=5\n"
          "orgs.count=2\norgs.1.name=acme\nkinds=big,small\nfailure_domains=left\n"
          "bounds.connect_timeout_us=3\nbounds.conn_idle_us=4\n")
          .value();
  EXPECT_EQ(read.class_names, (std::vector<std::string>{"", "batch"}));
  EXPECT_EQ(read.longest_deadline, 7u);
  EXPECT_EQ(read.tenant_names, (std::vector<std::string>{"", "acme"}));
  EXPECT_EQ(read.kind_names, (std::vector<std::string>{"big", "small"}));
  EXPECT_EQ(read.zone_names, std::vector<std::string>{"left"});
  EXPECT_EQ(read.connect_timeout, 3u);
  EXPECT_EQ(read.conn_idle, 4u);
}

TEST(SettingsText, ErrorsNameTheKeyOrLine) {
  EXPECT_NE(ErrorOf("group_size=many\n").find("group_size"), std::string::npos);
  EXPECT_NE(ErrorOf("discovery=maybe\n").find("discovery"), std::string::npos);
  EXPECT_NE(ErrorOf("domain.kind_cores=1,x\n").find("domain.kind_cores"), std::string::npos);
  EXPECT_NE(ErrorOf("safety.cold_us=-1\n").find("safety.cold_us"), std::string::npos);
  EXPECT_NE(ErrorOf("profiles.count=99999999\n").find("profiles.count"), std::string::npos);
  EXPECT_NE(ErrorOf("no equals sign\n").find("line 1"), std::string::npos);
}

TEST(SettingsText, ErrorsStateExpectedAndActualValue) {
  EXPECT_EQ(ErrorOf("group_size=many\n"), "setting group_size: expected a number, got 'many'");
  EXPECT_EQ(ErrorOf("group_size=1.5\n"), "setting group_size: expected a whole number, got '1.5'");
  EXPECT_EQ(ErrorOf("bounds.max_attempts=-1\n"), "setting bounds.max_attempts: expected a count, got '-1'");
  EXPECT_EQ(ErrorOf("profiles.count=4097\n"), "setting profiles.count: expected a count, got '4097'");
  EXPECT_EQ(ErrorOf("safety.cold_us=-1\n"), "setting safety.cold_us: expected a time of 0 or more, got '-1'");
  EXPECT_EQ(ErrorOf("bounds.cancel=yes\n"), "setting bounds.cancel: expected true or false, got 'yes'");
  EXPECT_EQ(ErrorOf("discovery=maybe\n"), "setting discovery: expected one of push ask, got 'maybe'");
  EXPECT_EQ(ErrorOf("group_size=1\n\n=x\n"), "settings line 3: expected path=value, got '=x'");
}

TEST(SettingsText, HasTypedErrors) {
  const SettingsError line = ParseSettings("group_size=1\nno equals sign\n").error();
  EXPECT_EQ(line.code, SettingsErrorCode::kMalformedLine);
  EXPECT_EQ(line.line, 2u);
  EXPECT_EQ(line.got, "no equals sign");
  const SettingsError value = ParseSettings("profiles.count=1\nprofiles.0.effect=often\n").error();
  EXPECT_EQ(value.code, SettingsErrorCode::kBadValue);
  EXPECT_EQ(value.key, "profiles.0.effect");
  EXPECT_EQ(value.expected, "one of safe keyed unsafe");
  EXPECT_EQ(value.got, "often");
}

TEST(SettingsText, BoundsListsAndQuotedLines) {
  const std::string longest_list = "kinds=" + std::string(kMaxItems - 1, ',');
  EXPECT_EQ(ParseSettings(longest_list).value().kind_names.size(), kMaxItems);
  const SettingsError error = ParseSettings(longest_list + ",").error();
  EXPECT_EQ(error.code, SettingsErrorCode::kListTooLong);
  EXPECT_EQ(error.key, "kinds");
  EXPECT_EQ(ParseSettings(std::string(1000, 'x')).error().got, std::string(80, 'x'));
}

TEST(SettingsText, ReportsTheFirstErrorInTheOrderOfTheTable) {
  EXPECT_NE(ErrorOf("orgs.count=x\ngroup_size=x\nprofiles.count=x\n").find("profiles.count"),
            std::string::npos);
  EXPECT_NE(ErrorOf("orgs.count=x\ngroup_size=x\nprofiles.count=1\nprofiles.0.hard_limit_us=x\n")
                .find("group_size"),
            std::string::npos);
  EXPECT_NE(ErrorOf("orgs.count=x\nprofiles.count=1\nprofiles.0.hard_limit_us=x\n").find("hard_limit_us"),
            std::string::npos);
  EXPECT_NE(ErrorOf("group_size=x\nno equals sign\n").find("line 2"), std::string::npos);
}

TEST(SettingsText, AbsentKeysKeepTheDefaults) {
  const Settings settings = ParseSettings("").value().settings;
  EXPECT_TRUE(settings.classes.empty());
  EXPECT_EQ(settings.max_attempts, Settings{}.max_attempts);
}

TEST(SettingsText, LastValueOfKeyApplies) {
  EXPECT_EQ(ParseSettings("group_size=2\ngroup_size=5\n").value().settings.group_size, 5);
}

}  // namespace
}  // namespace mountflow::settings
