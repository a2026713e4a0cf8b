// Chaos tests. Scenarios with faults run against the real programs and must violate no invariant. Daemons
// that are broken on purpose must be reported as violating exactly the expected invariant.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "tests/support/child_process.hpp"

namespace mountflow::testing {
namespace {

// Short deadlines, so that a missing answer is detected early.
const char kSettings[] = R"("settings": {"profiles": [
    {"name": "service", "effect": "keyed", "key_scope": "cell", "window_us": 5000000, "hard_limit_us": 3000000},
    {"name": "batch", "effect": "safe", "key_scope": "all", "hard_limit_us": 3000000},
    {"name": "once", "effect": "unsafe", "key_scope": "all", "hard_limit_us": 3000000}]},)";

struct ChaosRun {
  int status = 0;
  std::string out;
  std::string log;  // log of the first daemon
  bool Prints(const std::string& text) const { return out.find(text) != std::string::npos; }
};

// Runs a scenario. `broken_invariant` is the invariant that the daemon's scheduler violates, see
// tests/support/broken_scheduler.cpp; 0: none. `forgets` selects the jobs that the daemons
// lose over a restart, see tests/support/forgets.
ChaosRun RunScenario(const std::string& scenario, int broken_invariant = 0, const std::string& forgets = "") {
  char folder[] = "/tmp/mountflow-chaos-XXXXXX";
  if (mkdtemp(folder) == nullptr) return {};
  const std::string dir = folder;
  std::ofstream(dir + "/scenario.json") << scenario;
  std::vector<std::string> arguments = {"mountflow-chaos-test", dir + "/scenario.json", "--out", dir + "/out",
                                        "-q"};
  if (broken_invariant != 0) {
    arguments.insert(arguments.end(), {"--daemon", ProgramFolder() + "/mountflowd_broken_scheduler"});
  }
  if (!forgets.empty()) {
    arguments.insert(arguments.end(), {"--daemon", MOUNTFLOW_BROKEN_PROGRAMS "/forgets"});
  }
  const CommandResult ran = RunCommand(arguments, {{"MOUNTFLOW_WRONG", std::to_string(broken_invariant)},
                                                   {"MOUNTFLOW_FORGETS", forgets},
                                                   {"MOUNTFLOW_PROGRAMS", ProgramFolder()}});
  std::ifstream in(dir + "/out/d0.log");
  std::ostringstream log;
  log << in.rdbuf();
  if (std::getenv("MOUNTFLOW_TEST_LOGS") == nullptr) RunCommand({"/bin/rm", "-rf", dir});
  return {ran.status, ran.output, log.str()};
}

void ExpectViolated(const ChaosRun& run, int invariant) {
  EXPECT_EQ(run.status, 1) << run.out;
  EXPECT_TRUE(run.Prints("rule " + std::to_string(invariant) + ": ")) << run.out;
  for (int other = 1; other <= 5; ++other) {
    if (other != invariant) {
      EXPECT_FALSE(run.Prints("  rule " + std::to_string(other) + ": ")) << run.out;
    }
  }
}

TEST(BrokenDaemon, ForgettingTasksViolatesFinalAnswer) {
  ExpectViolated(RunScenario(std::string("{") + kSettings +
                                 R"("length_s": 1, "daemons": 1, "nodes": 4, "list_delay_s": 0,
    "load": [{"queue": "batch", "rate": 20}]})",
                             1),
                 1);
}

// Returns a scenario in which nodes reply slowly, so that jobs wait for their answers when their daemon is
// killed.
std::string DaemonKilledWithAttemptsInFlight(int services) {
  return std::string("{") + kSettings + R"("length_s": 4, "daemons": 1, "nodes": 4, "list_delay_s": 0,
    "load": [{"queue": "batch", "rate": 20, "life_s": [1, 2], "services": )" +
         std::to_string(services) +
         R"(}],
    "faults": [{"at_s": 0, "for_s": 4, "kind": "slow_answer", "share": 1, "size": 0.4},
               {"at_s": 2, "for_s": 0.5, "kind": "daemon_kill", "daemon": 0}]})";
}

TEST(BrokenDaemon, LosingAllJobsOverARestartViolatesFinalAnswer) {
  ExpectViolated(RunScenario(DaemonKilledWithAttemptsInFlight(1000), 0, "all"), 1);
}

TEST(BrokenDaemon, LosingTheLastCommitsOfItsLogViolatesFinalAnswer) {
  ExpectViolated(RunScenario(DaemonKilledWithAttemptsInFlight(1000), 0, "last"), 1);
}

TEST(ChaosTest, ADaemonKilledWhileItsAttemptsAreInFlightAnswersAllCommittedJobs) {
  const ChaosRun run = RunScenario(DaemonKilledWithAttemptsInFlight(10));
  EXPECT_EQ(run.status, 0) << run.out;
  EXPECT_TRUE(run.Prints("rules broken: none")) << run.out;
}

TEST(BrokenDaemon, RetryingATaskThatMayHaveRunViolatesDuplicateEffect) {
  ExpectViolated(RunScenario(std::string("{") + kSettings +
                                 R"("length_s": 3, "daemons": 1, "nodes": 4, "list_delay_s": 0,
    "load": [{"queue": "once", "rate": 10}], "faults": [{"at_s": 0, "for_s": 3, "kind": "slow_answer", "share": 1, "size": 0.4}]})",
                             2),
                 2);
}

TEST(BrokenDaemon, SendingAttemptsToADrainingNodeViolatesDraining) {
  ExpectViolated(RunScenario(std::string("{") + kSettings +
                                 R"("length_s": 5, "daemons": 1, "nodes": 4, "list_delay_s": 0,
    "load": [{"queue": "batch", "rate": 10}], "faults": [{"at_s": 0.5, "for_s": 4.5, "kind": "drain", "nodes": 1}]})",
                             3),
                 3);
}

TEST(BrokenDaemon, OverrunningAWarmingUpNodeViolatesSlowStart) {
  ExpectViolated(RunScenario(std::string("{") + kSettings +
                                 R"("length_s": 5, "daemons": 2, "nodes": 4, "list_delay_s": 0,
    "load": [{"queue": "service", "rate": 60}], "faults": [{"at_s": 0.5, "for_s": 1, "kind": "kill", "nodes": 1}]})",
                             4),
                 4);
}

TEST(BrokenDaemon, CrowdingAServiceInOneRackViolatesTopologySpread) {
  ExpectViolated(RunScenario(std::string("{") + kSettings +
                                 R"("length_s": 2, "daemons": 1, "nodes": 8, "list_delay_s": 0,
    "load": [{"queue": "batch", "rate": 15, "services": 1, "life_s": [5, 5], "ncpus": [0.5]}]})",
                             5),
                 5);
}

TEST(ChaosTest, FortyNodesThatRestartTogetherAreNotOverrunByFourDaemons) {
  const ChaosRun run =
      RunScenario(R"({"length_s": 12, "daemons": 4, "nodes": 60, "list_delay_s": 0.5, "seed": 11,
    "node": {"start_ms": 20, "cold_s": 6, "fall_s": 2, "life_s": 4},
    "settings": {"safety": {"cold_us": 6000000, "tip_after_us": 2000000}},
    "load": [{"queue": "service", "rate": 60, "life_s": [2, 5], "services": 20, "keyed": true, "retry_after_s": 3},
             {"queue": "batch", "rate": 6, "life_s": [2, 4], "rerunnable": true}],
    "faults": [{"at_s": 2, "for_s": 2, "kind": "kill", "nodes": 40}]})");
  EXPECT_EQ(run.status, 0) << run.out;
  EXPECT_TRUE(run.Prints("rules broken: none")) << run.out;
  EXPECT_TRUE(run.Prints("40 cold lives")) << run.out;
  EXPECT_FALSE(run.Prints("cold lives with 0 offers")) << run.out;  // the nodes received attempts
}

// Daemons leave and join while forty nodes warm up. Guards against shares of the slow-start budget that
// belong to the old and to the new group of daemons and together exceed the budget.
TEST(ChaosTest, DaemonsThatJoinAndLeaveDoNotOverrunFortyWarmingUpNodes) {
  const ChaosRun run = RunScenario(
      R"({"length_s": 22, "daemons": 4, "nodes": 60, "list_delay_s": 0.3, "seed": 3, "group_from_registry": true,
    "node": {"start_ms": 20, "cold_s": 40, "fall_s": 2, "life_s": 4},
    "settings": {"safety": {"cold_us": 40000000, "tip_after_us": 2000000}},
    "load": [{"queue": "service", "rate": 50, "life_s": [2, 4], "services": 20},
             {"queue": "batch", "rate": 6, "life_s": [2, 4], "rerunnable": true}],
    "faults": [{"at_s": 0.5, "for_s": 1.5, "kind": "kill", "nodes": 40},
               {"at_s": 0.6, "for_s": 2.5, "kind": "daemon_kill", "daemon": 1},
               {"at_s": 2.5, "for_s": 0.5, "kind": "daemon_kill", "daemon": 2},
               {"at_s": 18, "for_s": 4, "kind": "burst", "size": 3}]})");
  EXPECT_EQ(run.status, 0) << run.out;
  EXPECT_TRUE(run.Prints("rules broken: none")) << run.out;
  EXPECT_TRUE(run.Prints("40 cold lives")) << run.out;
  // After the group changes the daemons use the nodes again, because the burst needs their capacity.
  EXPECT_FALSE(run.Prints("cold lives with 0 offers")) << run.out;
}

TEST(ChaosTest, FaultsOfEveryKindViolateNoInvariant) {
  const ChaosRun run =
      RunScenario(R"({"length_s": 10, "daemons": 3, "nodes": 24, "list_delay_s": 0.5, "seed": 5,
    "node": {"start_ms": 20, "cold_s": 6, "fall_s": 2},
    "settings": {"safety": {"cold_us": 6000000, "tip_after_us": 2000000}},
    "load": [{"queue": "service", "rate": 30, "life_s": [2, 5], "services": 20, "keyed": true, "retry_after_s": 2},
             {"queue": "batch", "rate": 5, "life_s": [2, 4], "rerunnable": true},
             {"queue": "once", "rate": 3, "life_s": [2, 4]}],
    "faults": [{"at_s": 0.5, "kind": "client_gone"}, {"at_s": 0.6, "kind": "half_frame"},
               {"at_s": 1, "for_s": 2, "kind": "kill", "nodes": 5}, {"at_s": 1.5, "for_s": 2, "kind": "stall", "nodes": 2},
               {"at_s": 2, "for_s": 2, "kind": "one_way", "nodes": 2}, {"at_s": 2, "for_s": 3, "kind": "drain", "nodes": 2},
               {"at_s": 3, "for_s": 2, "kind": "hang", "nodes": 1}, {"at_s": 3, "for_s": 0.5, "kind": "daemon_kill", "daemon": 0},
               {"at_s": 4, "for_s": 1, "kind": "daemon_stall", "daemon": 1},
               {"at_s": 4, "for_s": 2, "kind": "pauses", "nodes": 4, "size": 0.3, "every_s": 0.5},
               {"at_s": 5, "for_s": 2, "kind": "slow_answer", "nodes": 3, "size": 0.5},
               {"at_s": 5, "for_s": 3, "kind": "fail_queue", "nodes": 2, "queue": "batch"},
               {"at_s": 5, "for_s": 2, "kind": "late_list", "size": 2}, {"at_s": 6, "for_s": 1, "kind": "reconnect", "share": 0.4},
               {"at_s": 6, "for_s": 1, "kind": "burst", "size": 2}, {"at_s": 6, "kind": "cancel", "size": 10},
               {"at_s": 6, "for_s": 3, "kind": "slow", "nodes": 4, "size": 5}]})");
  EXPECT_EQ(run.status, 0) << run.out;
  EXPECT_TRUE(run.Prints("rules broken: none")) << run.out;
  EXPECT_TRUE(run.Prints("deleted ")) << run.out;
}

// Returns a scenario with registry faults of every kind while nodes drain and die. The registry is restored
// twice: a daemon does not notice a restore that falls between two of its blocking reads, because the next
// read waits until the old revision is passed. The second restore falls into that wait and is noticed.
std::string BadRegistry(const std::string& kind, const std::string& more) {
  return R"({"length_s": 13, "daemons": 3, "nodes": 24, "list_delay_s": 0.3, "seed": 9, "registry": ")" +
         kind +
         R"(", "node": {"start_ms": 20, "cold_s": 4, "fall_s": 1},
    "settings": {"safety": {"cold_us": 4000000, "tip_after_us": 1000000}},
    "load": [{"queue": "service", "rate": 30, "life_s": [1, 3], "services": 20, "keyed": true, "retry_after_s": 2},
             {"queue": "batch", "rate": 5, "life_s": [1, 3], "rerunnable": true},
             {"queue": "once", "rate": 3, "life_s": [1, 3]}],
    "faults": [)" +
         more + R"({"at_s": 0.5, "kind": "registry_cut"}, {"at_s": 1, "kind": "registry_half", "size": 700},
               {"at_s": 1.5, "for_s": 2, "kind": "registry_trickle", "size": 400, "daemon": 1},
               {"at_s": 1.7, "for_s": 2, "kind": "drain", "nodes": 2},
               {"at_s": 2, "for_s": 1.5, "kind": "kill", "nodes": 6},
               {"at_s": 4, "kind": "registry_restore", "size": 100},
               {"at_s": 4.3, "kind": "registry_restore", "size": 20},
               {"at_s": 5, "for_s": 1, "kind": "registry_flood", "size": 5000},
               {"at_s": 5.3, "for_s": 2, "kind": "drain", "nodes": 2},
               {"at_s": 7, "kind": "registry_empty"},
               {"at_s": 8, "for_s": 0.6, "kind": "registry_leaderless"},
               {"at_s": 9, "for_s": 1.5, "kind": "registry_away"},
               {"at_s": 9.1, "for_s": 2, "kind": "drain", "nodes": 2},
               {"at_s": 9.2, "for_s": 0.5, "kind": "daemon_kill", "daemon": 2}]})";
}

TEST(ChaosTest, AConsulThatFailsInEveryWayLeadsToNoViolation) {
  const ChaosRun run = RunScenario(BadRegistry("consul", ""));
  EXPECT_EQ(run.status, 0) << run.out;
  EXPECT_TRUE(run.Prints("rules broken: none")) << run.out;
  for (const char* seen :
       {"its history began anew", "more than half of the entries are gone", "No cluster leader"}) {
    EXPECT_NE(run.log.find(seen), std::string::npos) << seen << "\n" << run.log;
  }
}

TEST(ChaosTest, AnEtcdThatFailsInEveryWayLeadsToNoViolation) {
  const ChaosRun run = RunScenario(BadRegistry("etcd", R"({"at_s": 9.8, "kind": "registry_compact"}, )"));
  EXPECT_EQ(run.status, 0) << run.out;
  EXPECT_TRUE(run.Prints("rules broken: none")) << run.out;
  for (const char* seen : {"it is another cluster now", "was compacted away"}) {
    EXPECT_NE(run.log.find(seen), std::string::npos) << seen << "\n" << run.log;
  }
}

// Stops, reloads and kills daemons in addition to other faults. scripts/soak runs further seeds.
class DaemonSoak : public ::testing::TestWithParam<int> {};

TEST_P(DaemonSoak, LeadsToNoViolation) {
  const std::string folder = ::testing::TempDir() + "/mountflow-soak-" + std::to_string(GetParam());
  const CommandResult ran = RunCommand(
      {"mountflow-chaos-test", "--soak", "--seed", std::to_string(GetParam()), "-q", "--out", folder});
  EXPECT_EQ(ran.status, 0) << ran.output;
  EXPECT_NE(ran.output.find("rules broken: none"), std::string::npos) << ran.output;
  RunCommand({"/bin/rm", "-rf", folder});
}

INSTANTIATE_TEST_SUITE_P(Seeds, DaemonSoak, ::testing::Values(1, 2));

}  // namespace
}  // namespace mountflow::testing
