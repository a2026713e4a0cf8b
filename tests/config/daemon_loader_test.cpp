// Tests loading the daemon's configuration: its defaults, its errors, and the effects of sections on each
// other.
#include "config/daemon_loader.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mountflow::config {
namespace {

constexpr Micros kSecond = 1'000'000;

std::string ErrorsOf(const std::string& text) {
  const auto loaded = ParseDaemon(text, "x.json");
  EXPECT_FALSE(loaded.has_value());
  std::string lines;
  if (loaded) return lines;
  for (const std::string& line : DescribeEach(loaded.error())) lines += line + "\n";
  EXPECT_EQ(lines.rfind("x.json: ", 0), 0u) << lines;
  return lines;
}

std::vector<ConfigErrorCode> CodesOf(const std::string& text) {
  std::vector<ConfigErrorCode> codes;
  const auto loaded = ParseDaemon(text, "x.json");
  if (loaded) return codes;
  for (const ConfigError& error : loaded.error()) codes.push_back(error.code);
  return codes;
}

TEST(DaemonLoader, TheEmbeddedDefaultsAreValid) {
  const auto loaded = LoadDaemon("");
  ASSERT_TRUE(loaded.has_value()) << Describe(loaded.error()[0]);
  EXPECT_EQ(loaded->job_manager.classes, (std::vector<std::string>{"service", "batch", "once"}));
  EXPECT_EQ(loaded->job_manager.settings.classes[0].idempotency, Idempotency::kWithKey);
  EXPECT_EQ(loaded->job_manager.settings.classes[1].topology_spread, TopologySpread::kRack);
  EXPECT_EQ(loaded->job_manager.settings.classes[1].max_per_domain, 4);
  EXPECT_EQ(loaded->job_manager.settings.node_kinds[1].memory, 128.0);
  EXPECT_EQ(loaded->job_manager.hard_limits[0], 8 * kSecond);
  EXPECT_TRUE(loaded->job_manager.settings.list_has_free_capacity);
}

TEST(DaemonLoader, ErrorsNameTheFileTheValueAndWhatWasExpected) {
  EXPECT_NE(ErrorsOf("{\n  \"name\": }").find("line 2, column"), std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"name": "has space"})").find("/name"), std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"limits": {"jobs": -1}})").find("/limits/jobs"), std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"colour": "red"})").find("colour"), std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"listen": {"batch": "0.0.0.0:1"}})").find("beyond_loopback"), std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"settings": {"profiles": []}})").find("/settings/profiles"), std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"settings": {"profiles": [{"name":"a","effect":"often","hard_limit_us":1000}]}})")
                .find("/settings/profiles/0/effect"),
            std::string::npos);
  EXPECT_NE(ErrorsOf(R"({"settings": {"profiles": [{"name":"a","effect":"safe","hard_limit_us":1000}],
                                      "domain": {"ack": "maybe"}}})")
                .find("domain.ack"),
            std::string::npos);
}

TEST(DaemonLoader, AFileThatCannotBeReadIsAnError) {
  const auto loaded = LoadDaemon("/no/such/file");
  ASSERT_FALSE(loaded.has_value());
  ASSERT_EQ(loaded.error().size(), 1u);
  EXPECT_EQ(loaded.error()[0].code, ConfigErrorCode::kUnreadableFile);
  EXPECT_EQ(Describe(loaded.error()[0]), "/no/such/file: cannot be read");
}

TEST(DaemonLoader, TheErrorCodeNamesTheStepThatFailed) {
  using Codes = std::vector<ConfigErrorCode>;
  EXPECT_EQ(CodesOf("{"), Codes{ConfigErrorCode::kMalformedJson});
  // The validator reports the value and each object that contains it.
  EXPECT_EQ(CodesOf(R"({"seed": -1})"),
            (Codes{ConfigErrorCode::kSchemaViolation, ConfigErrorCode::kSchemaViolation}));
  EXPECT_EQ(CodesOf(R"({"settings": {"profiles": [{"name":"a","effect":"safe","hard_limit_us":1000}],
                                     "domain": {"ack": "maybe"}}})"),
            Codes{ConfigErrorCode::kInvalidSetting});
  EXPECT_EQ(CodesOf(R"({"billing": {}})"), Codes{ConfigErrorCode::kInvalidValue});
}

TEST(DaemonLoader, TheErrorsOfAllSectionsAreReportedTogether) {
  const auto loaded = ParseDaemon(
      R"({"listen": {"batch": "0.0.0.0:1"}, "billing": {}, "list": {"tls": {"ca": "a", "key": "k"}}})",
      "x.json");
  ASSERT_FALSE(loaded.has_value());
  ASSERT_EQ(loaded.error().size(), 3u);
  EXPECT_EQ(loaded.error()[0].pointer, "/listen");
  EXPECT_EQ(loaded.error()[1].pointer, "/list/tls");
  EXPECT_EQ(loaded.error()[2].pointer, "/billing");
}

TEST(DaemonLoader, CommentsAreAllowedAndSettingsHaveTheKeysOfTheSettingsText) {
  const auto loaded = ParseDaemon(R"({
    // two schedulers
    "settings": {"profiles": [{"name": "a", "effect": "keyed", "key_scope": "zone", "window_us": 5, "hard_limit_us": 1000}],
                 "group_size": 2, "self_index": 1, /* of the slow-start budget */
                 "domain": {"kind_cores": [35, 59], "mem_of_kind": [52.5, 116], "spread_by": ["machine"], "together_max": [2]},
                 "safety": {"cold_from": 0.25}}})",
                                  "x");
  ASSERT_TRUE(loaded.has_value()) << Describe(loaded.error()[0]);
  const Settings& settings = loaded->job_manager.settings;
  EXPECT_EQ(settings.classes[0].deduplication_scope, DeduplicationScope::kZone);
  EXPECT_EQ(settings.classes[0].deduplication_window, 5u);
  EXPECT_EQ(settings.classes[0].topology_spread, TopologySpread::kNode);
  EXPECT_EQ(settings.self_index, 1);
  EXPECT_DOUBLE_EQ(settings.node_kinds[0].memory, 52.5);
  EXPECT_DOUBLE_EQ(settings.slow_start_initial_pace, 0.25);
}

TEST(DaemonLoader, WithTheGroupFromTheRegistryTheOwnNumberIsUnknown) {
  const auto loaded = ParseDaemon(R"({"group": {"from_registry": true}})", "x.json");
  ASSERT_TRUE(loaded.has_value()) << Describe(loaded.error()[0]);
  EXPECT_EQ(loaded->job_manager.settings.self_index, -1);
}

TEST(DaemonLoader, NodesSeeTheDaemonsNameAsItsUser) {
  const auto loaded = ParseDaemon(R"({"name": "d7"})", "x.json");
  ASSERT_TRUE(loaded.has_value()) << Describe(loaded.error()[0]);
  EXPECT_EQ(loaded->node_sessions.user, "mountflowd@d7");
}

}  // namespace
}  // namespace mountflow::config
