#include "platform/platform_config.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(PlatformConfig, FlattensNestedSettingsToThePathLinesOfTheSimulator) {
  const auto json = nlohmann::json::parse(kPlatformConfig);
  const std::string lines = FlattenSettings(json["settings"]);
  // These lines have the form of the simulator's first message.
  for (const char* line :
       {"profiles.count=2\n", "profiles.1.name=batch\n", "bounds.cancel=true\n", "orgs.count=2\n",
        "domain.spread_by=silent,cell\n", "stats.names=x0,x1,pending,cpu_share\n", "kinds=big\n",
        "domain.report_x0=cores_of_the_machine__not_asked_for\n", "domain.kind_cores=32\n"}) {
    EXPECT_NE(lines.find(line), std::string::npos) << line;
  }
}

TEST(PlatformConfig, OmitsNullsAndTooDeeplyNestedValues) {
  EXPECT_EQ(FlattenSettings(nlohmann::json::parse(R"({"a":null,"b":[],"c":{"d":1.5}})")), "b=\nc.d=1.5\n");
  nlohmann::json nested = 7;
  for (int depth = 0; depth < 16; ++depth) nested = {{"k", nested}};
  EXPECT_EQ(FlattenSettings(nested), "k.k.k.k.k.k.k.k.k.k.k.k.k.k.k.k=7\n");
  EXPECT_EQ(FlattenSettings({{"k", nested}}), "");
}

TEST(PlatformConfig, ReadsTheSameSettingsFromBothForms) {
  const settings::WireSettings nested = ReadPlatformConfig(kPlatformConfig, nullptr, nullptr).wire;
  const settings::WireSettings lines =
      settings::ParseSettings(
          "profiles.count=2\nprofiles.0.name=service\nprofiles.0.effect=keyed\nprofiles.0.key_scope=cell\n"
          "profiles.0.window_us=5000000\nprofiles.0.hard_limit_us=3000000\nprofiles.1.effect=safe\n"
          "domain.spread_by=silent,cell\ndomain.together_max=0,3\nstats.names=x0,x1,pending,cpu_share\n"
          "domain.kind_cores=32\ndomain.mem_of_kind=64.0\nbounds.max_attempts=4\n")
          .value();
  ASSERT_EQ(nested.settings.classes.size(), lines.settings.classes.size());
  for (std::size_t i = 0; i < 2; ++i) {
    const TaskClass& one = nested.settings.classes[i];
    const TaskClass& other = lines.settings.classes[i];
    EXPECT_EQ(one.idempotency, other.idempotency);
    EXPECT_EQ(one.deduplication_scope, other.deduplication_scope);
    EXPECT_EQ(one.deduplication_window, other.deduplication_window);
    EXPECT_EQ(one.topology_spread, other.topology_spread);
    EXPECT_EQ(one.max_per_domain, other.max_per_domain);
  }
  EXPECT_EQ(nested.report_names, lines.report_names);
  EXPECT_EQ(nested.settings.node_kinds[0].memory, lines.settings.node_kinds[0].memory);
  EXPECT_EQ(nested.settings.max_attempts, lines.settings.max_attempts);
  EXPECT_EQ(nested.tenant_names, (std::vector<std::string>{"acme", "zen"}));
  EXPECT_EQ(nested.longest_deadline, 3'200'000u);
}

bool HasError(const PlatformConfig& config, const std::string& expected) {
  for (const ConfigError& error : config.errors) {
    if (Describe(error).rfind(expected, 0) == 0) return true;
  }
  return false;
}

struct AbsentKey {
  const char* name;
  const char* pointer;
  const char* error;  // prefix of the expected error text
};

void PrintTo(const AbsentKey& input, std::ostream* out) { *out << input.name; }

class PlatformConfigAbsentKeyTest : public ::testing::TestWithParam<AbsentKey> {};

TEST_P(PlatformConfigAbsentKeyTest, NamesTheKeyAndWhatWasExpected) {
  auto json = nlohmann::json::parse(kPlatformConfig);
  const nlohmann::json::json_pointer pointer(GetParam().pointer);
  json[pointer.parent_pointer()].erase(pointer.back());
  const PlatformConfig config = ReadPlatformConfig(json.dump(), nullptr, nullptr);
  EXPECT_TRUE(HasError(config, GetParam().error)) << GetParam().pointer;
}

const AbsentKey kAbsentKeys[] = {
    {"Seed", "/seed", "seed: expected 16 hex digits, got nothing"},
    {"ChangeLog", "/changelog", "changelog: expected a string, got nothing"},
    {"Sockets", "/limits/sockets", "limits.sockets: expected a number of 1 or more, got nothing"},
    {"Known", "/known", "known: expected the events"},
    {"Settings", "/settings", "settings: expected an object, got nothing"},
    {"Profiles", "/settings/profiles", "settings.profiles: expected at least one class"},
    {"Kinds", "/settings/kinds", "settings.kinds: expected"},
};

INSTANTIATE_TEST_SUITE_P(PlatformConfig, PlatformConfigAbsentKeyTest, ::testing::ValuesIn(kAbsentKeys),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(PlatformConfig, RejectsAWordWhereASettingIsANumber) {
  auto json = nlohmann::json::parse(kPlatformConfig);
  json["settings"]["bounds"]["max_attempts"] = "many";
  EXPECT_FALSE(ReadPlatformConfig(json.dump(), nullptr, nullptr).ok());
}

TEST(PlatformConfig, RejectsTextThatIsNotAJsonObject) {
  EXPECT_FALSE(ReadPlatformConfig("{", nullptr, nullptr).ok());
  EXPECT_TRUE(
      HasError(ReadPlatformConfig("[]", nullptr, nullptr), "LB_CONFIG: expected a JSON object, got array"));
  EXPECT_TRUE(HasError(ReadPlatformConfig(std::string(kMaxConfigBytes + 1, ' '), nullptr, nullptr),
                       "LB_CONFIG: expected at most 8 MiB, got 8388609 bytes"));
}

TEST(PlatformConfig, RejectsAGapInTheKnownEvents) {
  auto json = nlohmann::json::parse(kPlatformConfig);
  json["known"]["results"][0]["fleet"]["snapshot"] = false;
  json["known"]["results"][0]["seq"] = 2;
  EXPECT_TRUE(HasError(ReadPlatformConfig(json.dump(), nullptr, nullptr), "known: expected the events"));
}

TEST(PlatformConfig, TakesNameAndAddressFromTheEnvironment) {
  EXPECT_EQ(ReadPlatformConfig(kPlatformConfig, "n9", "127.0.0.1:9").listen, "127.0.0.1:9");
  EXPECT_EQ(ReadPlatformConfig(kPlatformConfig, "n9", "").name, "n9");
  EXPECT_EQ(ReadPlatformConfig(kPlatformConfig, "n9", "").listen, "127.0.0.1:0");
  EXPECT_TRUE(HasError(ReadPlatformConfig(kPlatformConfig, "n9", "127.0.0.1:123456"),
                       "listen: expected IP:PORT, got '127.0.0.1:123456'"));
}

TEST(PlatformConfig, ReadsTheChangeLogAddressAlone) {
  EXPECT_EQ(ReadChangeLogAddress(R"({"changelog":"1.2.3.4:5"})"), "1.2.3.4:5");
  const auto address = ReadChangeLogAddress(R"({"changelog":"1.2.3.4"})");
  ASSERT_FALSE(address.has_value());
  EXPECT_EQ(Describe(address.error()), "changelog: expected IP:PORT");
  ASSERT_FALSE(ReadChangeLogAddress("{").has_value());
}

// 256 is the smallest supported limit. Clients get a third of the descriptors, and at least 64 more are for
// connections that have not sent a message.
TEST(PlatformConfig, SplitsTheSmallestNumberOfDescriptors) {
  const DescriptorShares shares = SplitDescriptors(256);
  EXPECT_GE(shares.clients, 256u / 3 + 64);
  EXPECT_GE(shares.nodes, 64u);
  EXPECT_LT(shares.clients + shares.nodes, 256u - 8);
}

TEST(PlatformConfig, LeavesOneConnectionEachWhereThereAreAlmostNoDescriptors) {
  for (const std::size_t total : {0u, 1u, 16u, 17u, 18u}) {
    EXPECT_GE(SplitDescriptors(total).clients, 1u) << total;
    EXPECT_GE(SplitDescriptors(total).nodes, 1u) << total;
  }
}

}  // namespace
}  // namespace mountflow::testing
