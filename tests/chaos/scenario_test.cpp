// Tests the parsing and the generation of chaos test scenarios.
#include "tools/chaos/scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tools/chaos/scenario_codec.hpp"
#include "tools/chaos/scenario_generator.hpp"

namespace mountflow::chaos {
namespace {

TEST(Scenario, EveryFaultNameMakesAValidScenarioAndTheSameSeedTheSame) {
  for (const char* fault_name : {"crash", "hang", "pauses", "mass_restart", "discovery_stale", "zone_loss",
                                 "grow", "shrink", "ageing", "neighbour", "class_fail", "reconnect", "burst",
                                 "heavy_tail", "daemon_kill", "daemon_stop", "daemon_reload"}) {
    const auto text = GenerateScenario({fault_name, "crash"}, 3);
    ASSERT_TRUE(text) << Describe(text.error());
    EXPECT_EQ(*text, GenerateScenario({fault_name, "crash"}, 3));
    const auto scenario = ParseScenario(*text, fault_name);
    EXPECT_TRUE(scenario) << Describe(scenario.error()[0]);
    EXPECT_EQ(scenario->seed, 3u);
  }
}

TEST(Scenario, ASoakStopsReloadsAndKillsDaemonsAndDrawsOtherFaultsBySeed) {
  const std::vector<std::string> names = DrawSoakFaults(1);
  EXPECT_EQ(names.size(), 6u);
  for (const char* name : {"daemon_kill", "daemon_stop", "daemon_reload"}) {
    EXPECT_EQ(std::count(names.begin(), names.end(), name), 1) << name;
  }
  EXPECT_EQ(names, DrawSoakFaults(1));
  EXPECT_NE(names, DrawSoakFaults(2));
  const auto text = GenerateScenario(names, 1);
  ASSERT_TRUE(text) << Describe(text.error());
  EXPECT_TRUE(ParseScenario(*text, "soak"));
}

TEST(Scenario, AnUnknownFaultNameIsRejectedByName) {
  const auto unknown = GenerateScenario({"earthquake"}, 1);
  ASSERT_FALSE(unknown);
  EXPECT_EQ(unknown.error().code, ScenarioError::Code::kUnknownFaultName);
  EXPECT_NE(Describe(unknown.error()).find("earthquake"), std::string::npos);
}

TEST(Scenario, TheEmbeddedScenarioIsValidAndAnUnknownKindOfFaultIsNot) {
  EXPECT_TRUE(ParseScenario(kDefaultScenario, "embedded"));
  const auto invalid =
      ParseScenario(R"({"load":[{"queue":"a","rate":1}],"faults":[{"at_s":1,"kind":"flood"}]})", "x");
  ASSERT_FALSE(invalid);
  EXPECT_NE(Describe(invalid.error()[0]).find("/faults/0/kind"), std::string::npos);
}

}  // namespace
}  // namespace mountflow::chaos
