// The soak test of the platform's program. It runs the program on loopback with restarts, repeated signals,
// floods of clients, and faults of nodes and of the node list, all chosen at random from a seed, and checks
// the invariants. Clients use their open connections until the program has ended. CI runs the seeds below;
// scripts/soak runs others.
//   MOUNTFLOW_SOAK_SEED=N platform_soak_test    runs seed N only
//   MOUNTFLOW_SOAK_SEEDS=COUNT                  with it: runs COUNT seeds from N on
#include <cstdio>
#include <cstdlib>

#include "tests/support/platform_soak_fixture.hpp"

namespace mountflow::testing {
namespace {

const std::vector<std::uint64_t> kCiSeeds = {1, 2, 10, 15, 20};

std::vector<std::uint64_t> SoakSeeds() {
  const char* first = std::getenv("MOUNTFLOW_SOAK_SEED");
  const char* count = std::getenv("MOUNTFLOW_SOAK_SEEDS");
  if (first == nullptr) return kCiSeeds;
  std::vector<std::uint64_t> seeds = {std::strtoull(first, nullptr, 10)};
  const std::uint64_t wanted = count == nullptr ? 1 : std::strtoull(count, nullptr, 10);
  while (seeds.size() < wanted) seeds.push_back(seeds.back() + 1);
  return seeds;
}

class PlatformSoak : public PlatformSoakFixture, public ::testing::WithParamInterface<std::uint64_t> {};

void Print(std::uint64_t seed, const SoakReport& report) {
  std::printf(
      "soak platform seed %llu: %s; %zu requests, %zu answered, %zu resent, %zu excused, late %.1f ms, "
      "health checks in %.1f ms\n",
      static_cast<unsigned long long>(seed),
      report.IsDisturbed()      ? "disturbed"
      : report.findings.empty() ? "nothing found"
                                : "findings",
      report.requests, report.started, report.resent, report.excused,
      static_cast<double>(report.max_lateness) / 1000, static_cast<double>(report.max_reply_time) / 1000);
  for (const std::string& finding : report.findings) std::printf("  %s\n", finding.c_str());
}

// A disturbed run is inconclusive: it is skipped and never counted as passed.
TEST_P(PlatformSoak, KeepsTheRulesOverRestartsAndFaults) {
  const SoakReport report = RunSoak(GetParam());
  Print(GetParam(), report);
  if (report.IsDisturbed()) GTEST_SKIP() << "disturbed: the host was too busy for a conclusive run";
  EXPECT_GT(report.requests, 200u);
  for (const std::string& finding : report.findings) ADD_FAILURE() << finding;
}

TEST(SoakPlan, CiSeedsCoverEveryFaultAndEveryExit) {
  std::set<SoakFault> faults;
  std::set<SoakExit> exits;
  bool signalled_before_ready = false;
  bool requests_until_exit = false;
  for (const std::uint64_t seed : kCiSeeds) {
    for (const SoakIncarnation& incarnation : SoakPlan(seed).incarnations) {
      for (const TimedSoakFault& fault : incarnation.faults) faults.insert(fault.fault);
      exits.insert(incarnation.exit);
      signalled_before_ready |= incarnation.signalled_before_ready;
      requests_until_exit |= incarnation.requests_until_exit;
    }
  }
  EXPECT_EQ(faults.size(), 9u);
  EXPECT_EQ(exits.size(), 2u);
  EXPECT_TRUE(signalled_before_ready);
  EXPECT_TRUE(requests_until_exit);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PlatformSoak, ::testing::ValuesIn(SoakSeeds()));

}  // namespace
}  // namespace mountflow::testing
