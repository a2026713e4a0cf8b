// Golden test: compares the report of a fixed set of samples (summary, JSON lines, CSV and plot) with
// tests/data.
#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>

#include "tests/support/golden.hpp"
#include "tools/load_generator/figures.hpp"
#include "tools/load_generator/plan.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kBegin = 100 * kSecond;
constexpr double kSpanSeconds = 8.0;

// Adds samples with each result, late ones, and seconds without samples. The random number generator gives
// the same numbers on every platform.
void AddSamples(load_generator::Figures* figures) {
  using load_generator::End;
  constexpr End kEnds[] = {End::kPlaced,  End::kPlaced, End::kPlaced, End::kFailed,
                           End::kRefused, End::kDoor,   End::kGaveUp, End::kBroken};
  std::mt19937_64 random(34);
  for (int i = 0; i < 2'000; ++i) {
    const Micros due = kBegin + random() % static_cast<Micros>(kSpanSeconds * kSecond);
    if ((due - kBegin) / kSecond == 5) continue;
    // One random number per statement, because the evaluation order within an expression is unspecified.
    const std::uint64_t bits = random();
    const std::uint64_t exponent = random() % 23;
    const Micros delay = 1 + bits % (Micros{1} << exponent);
    const Micros owner_time = random() % 3 == 0 ? 0 : kSecond;
    const End end = kEnds[random() % std::size(kEnds)];
    figures->Offered(due);
    figures->Over({due, due + delay, owner_time, end, static_cast<unsigned>(1 + random() % 4)});
  }
}

void AddCpuLines(load_generator::Figures* figures) {
  for (int second = 0; second <= 6; ++second) {
    const std::string at = std::to_string(kBegin + static_cast<Micros>(second) * kSecond);
    const std::string core = std::to_string(1'000 * second * second);
    EXPECT_TRUE(
        figures->TakeCpu(R"({"at_us": )" + at + R"(, "cpu_us": {"core": )" + core + R"(, "log": 500}})"));
  }
  EXPECT_FALSE(figures->TakeCpu("not a line of figures"));
}

void AddReport(const std::string& name, const load_generator::Figures& figures, GoldenFile* golden) {
  golden->AddBytes(name + ".summary", figures.Summary(0, figures.seconds()).dump());
  golden->AddBytes(name + ".summary_of_part", figures.Summary(2, 5).dump());
  golden->AddBytes(name + ".json_lines", figures.JsonLines());
  golden->AddBytes(name + ".csv", figures.Csv());
  golden->AddBytes(name + ".svg", figures.Svg("a title"));
}

TEST(LoadReport, IsTheOneRecordedForTheSameSamples) {
  GoldenFile golden("load_report.txt");
  load_generator::Figures none(kBegin);
  AddReport("none", none, &golden);
  load_generator::Figures samples(kBegin);
  AddSamples(&samples);
  AddReport("samples", samples, &golden);
  AddCpuLines(&samples);
  AddReport("samples_with_cpu", samples, &golden);
  EXPECT_EQ(golden.recorded().size(), 16u);

  load_generator::Plan plan;
  std::string expected;
  ASSERT_TRUE(load_generator::Plan::Parse("100x2,10-300x3,0x1,50x2", &plan, &expected)) << expected;
  std::string due;
  for (std::uint64_t job = 0; plan.DueOf(job) >= 0.0; ++job) due += std::to_string(plan.DueOf(job)) + "\n";
  golden.AddBytes("plan.due", due);
  golden.Compare();
}

}  // namespace
}  // namespace mountflow::testing
