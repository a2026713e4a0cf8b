// Tests of the load generator's plan and measurements, without sockets.
#include <gtest/gtest.h>

#include <cmath>

#include "tools/load_generator/figures.hpp"
#include "tools/load_generator/plan.hpp"

namespace mountflow::load_generator {
namespace {

constexpr Micros kSecond = 1'000'000;

Plan Of(const std::string& text) {
  Plan plan;
  std::string expected;
  EXPECT_TRUE(Plan::Parse(text, &plan, &expected)) << expected;
  return plan;
}

TEST(Plan, AStepHasItsJobsAtEqualTimesAndARampEverCloser) {
  Plan plan = Of("10x2,10-30x2,0x1,5x1");
  EXPECT_DOUBLE_EQ(plan.seconds(), 6.0);
  EXPECT_DOUBLE_EQ(plan.DueOf(0), 0.0);
  EXPECT_DOUBLE_EQ(plan.DueOf(19), 1.9);
  EXPECT_DOUBLE_EQ(plan.DueOf(20), 2.0);
  double last = plan.DueOf(21), gap = 1.0;
  for (std::uint64_t n = 22; n < 60; ++n) {
    const double due = plan.DueOf(n);
    EXPECT_LT(due - last, gap);
    gap = due - last;
    last = due;
  }
  EXPECT_LT(last, 4.0);
  EXPECT_DOUBLE_EQ(plan.DueOf(60), 5.0) << "a pause has none";
  EXPECT_DOUBLE_EQ(plan.DueOf(64), 5.8);
  EXPECT_LT(plan.DueOf(65), 0.0);
  EXPECT_DOUBLE_EQ(plan.RateAt(3.0), 20.0);
}

TEST(Plan, InvalidTextsAreRejectedWithThePosition) {
  for (const char* text : {"", "x", "10", "10x", "10x0", "10x1,", "-1x2", "1e9x2", "10x1;10x1", "nanx1"}) {
    Plan plan;
    std::string expected;
    EXPECT_FALSE(Plan::Parse(text, &plan, &expected)) << text;
    EXPECT_NE(expected.find("at byte "), std::string::npos) << text;
  }
}

TEST(Delays, PercentilesAreWithinABinAndTheLongestIsExact) {
  Delays delays;
  for (Micros i = 1; i <= 10'000; ++i) delays.Add(i * 100);
  EXPECT_NEAR(delays.At(0.5), 500.0, 500.0 * 0.024);
  EXPECT_NEAR(delays.At(0.99), 990.0, 990.0 * 0.024);
  EXPECT_DOUBLE_EQ(delays.At(1.0), 1000.0);
  Delays none;
  EXPECT_TRUE(std::isnan(none.At(0.5)));
  none.Add(delays);
  EXPECT_EQ(none.count(), 10'000u);
}

TEST(Figures, ALateAnswerIsNoGoodputAndBelongsToTheSecondInWhichItWasDue) {
  Figures figures(100 * kSecond);
  const auto job = [&](double due, double took, End end) {
    const Micros at = 100 * kSecond + static_cast<Micros>(due * 1e6);
    figures.Offered(at);
    figures.Over({at, at + static_cast<Micros>(took * 1e6), 2 * kSecond, end, 1});
  };
  job(0.1, 0.5, End::kPlaced);
  job(0.2, 2.5, End::kPlaced);
  job(0.3, 2.5, End::kRefused);
  job(0.4, 0.001, End::kDoor);
  job(1.5, 2.1, End::kGaveUp);
  job(1.6, 0.7, End::kPlaced);
  const auto first = figures.Summary(0, 1), all = figures.Summary(0, 4);
  EXPECT_EQ(first["offered"], 4);
  EXPECT_EQ(first["late"], 2);
  EXPECT_EQ(first["jobs_per_s"], 1.0);
  EXPECT_EQ(first["ends"]["refused_at_door"], 1);
  EXPECT_EQ(first["answer_delay"]["most_ms"], 2500.0) << "late ones stay in the delays";
  EXPECT_EQ(all["ends"]["gave_up"], 1);
  EXPECT_EQ(all["late"], 2);
  EXPECT_EQ(figures.Summary(2, 3)["jobs_per_s"], 1.0) << "done in the second in which it was placed";
}

TEST(Figures, CpuLinesBecomeMicrosecondsAJobByPart) {
  Figures figures(100 * kSecond);
  for (int i = 0; i < 10; ++i) figures.Over({100 * kSecond, 100 * kSecond + 10, 0, End::kPlaced, 1});
  EXPECT_FALSE(figures.TakeCpu("mountflowd ready"));
  EXPECT_TRUE(figures.TakeCpu(R"({"at_us": 100000000, "cpu_us": {"core": 1000}})"));
  EXPECT_TRUE(figures.TakeCpu(R"({"at_us": 101000000, "cpu_us": {"core": 1500}})"));
  EXPECT_DOUBLE_EQ(figures.Summary(0, 1)["cpu_us_a_job"]["core"], 50.0);
  EXPECT_NE(figures.Svg("t").find(">core<"), std::string::npos);
  EXPECT_NE(figures.Csv().find("\n0,0,10,"), std::string::npos);
}

}  // namespace
}  // namespace mountflow::load_generator
