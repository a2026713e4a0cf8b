// Tests the program configurations that are built from a scenario, and the errors of a run.
#include <gtest/gtest.h>

#include "tools/chaos/cluster_config.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/run_error.hpp"
#include "tools/chaos/scenario_codec.hpp"

namespace mountflow::chaos {
namespace {

TEST(ClusterConfig, RacksAreFilledInOrderAndZonesAlternate) {
  Scenario scenario;
  scenario.nodes_per_rack = 2;
  scenario.racks_per_zone = 2;
  EXPECT_EQ(RackOf(scenario, 0), "rack-0");
  EXPECT_EQ(RackOf(scenario, 3), "rack-1");
  EXPECT_EQ(ZoneOf(scenario, 3), "room-a");
  EXPECT_EQ(ZoneOf(scenario, 4), "room-b");
  EXPECT_EQ(ZoneOf(scenario, 8), "room-a");
}

TEST(ClusterConfig, SettingsOfTheScenarioReplaceTheEmbeddedOnes) {
  Scenario scenario;
  scenario.daemons = 4;
  scenario.settings = {{"safety", {{"cold_us", 7000000}}}};
  const json settings = DaemonSettings(scenario, 3);
  EXPECT_EQ(settings["group_size"], 4);
  EXPECT_EQ(settings["self_index"], 3);
  EXPECT_EQ(settings["safety"]["cold_us"], 7000000);
  EXPECT_EQ(HeadFields(scenario, {})["cold_time"], 7000000);
  EXPECT_FALSE(HardLimits(scenario).empty());
}

TEST(ClusterConfig, NodesAndDaemonsUseTheRegistryOfTheScenario) {
  Scenario scenario;
  scenario.seed = 3;
  const std::vector<NodeAddress> nodes = {{"n0", "rack-0", "room-a", "127.0.0.1:1"}};
  EXPECT_FALSE(NodesFile(scenario, nodes, "127.0.0.1:9").contains("registry"));
  scenario.uses_etcd = true;
  scenario.group_from_registry = true;
  const json file = NodesFile(scenario, nodes, "127.0.0.1:9");
  EXPECT_EQ(file["registry"], "etcd");
  EXPECT_EQ(file["list"], "127.0.0.1:9");
  EXPECT_EQ(file["nodes"][0]["advertise"], "127.0.0.1:1");
  EXPECT_EQ(file["nodes"][0]["seed"], 3000);
  const json daemon = DaemonFile(scenario, 2, {"d2", "127.0.0.1:2", "127.0.0.1:3", "/x.log", "/x.state"});
  EXPECT_EQ(daemon["list"]["kind"], "etcd");
  EXPECT_EQ(daemon["seed"], 302);
  EXPECT_EQ(daemon["group"]["from_registry"], true);
  EXPECT_EQ(daemon["listen"]["report_to"], "127.0.0.1:2");
}

TEST(ScenarioCodec, EachFaultKindIsReadBackFromItsName) {
  for (int kind = 0; kind <= static_cast<int>(FaultKind::kRegistryFlood); ++kind) {
    const std::string name = NameOf(static_cast<FaultKind>(kind));
    EXPECT_FALSE(name.empty());
    const auto scenario = ParseScenario(
        R"({"load":[{"queue":"a","rate":1}],"faults":[{"at_s":1,"kind":")" + name + R"("}]})", "x");
    ASSERT_TRUE(scenario) << Describe(scenario.error()[0]);
    EXPECT_EQ(scenario->faults.at(0).kind, static_cast<FaultKind>(kind)) << name;
  }
}

TEST(MessageLog, AFileThatCannotBeReadOrIsNoLogIsAnError) {
  const auto missing = ReadMessageLog("/nonexistent/log");
  ASSERT_FALSE(missing);
  EXPECT_EQ(Describe(missing.error()), "/nonexistent/log: cannot be read");
  const auto other = ReadMessageLog(MOUNTFLOW_TEST_DATA "/chaos/reports.txt");
  ASSERT_FALSE(other);
  EXPECT_EQ(other.error().code, MessageLogError::Code::kNotAnEntry);
  EXPECT_EQ(other.error().line, 1u);
  MessageLogWriter writer;
  EXPECT_EQ(Describe(writer.Open("/nonexistent/log").error()), "/nonexistent/log: cannot be written");
}

TEST(RunError, DescribesTheProgramThatEnded) {
  EXPECT_EQ(Describe(RunError{RunError::Code::kUnexpectedEnd, "d0", "/out"}),
            "d0 ended unexpectedly (see /out)");
  EXPECT_EQ(Describe(RunError{RunError::Code::kNotReady, "", ""}), "not all parts came up in time");
}

}  // namespace
}  // namespace mountflow::chaos
