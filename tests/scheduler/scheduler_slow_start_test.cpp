// Tests rule 4: nodes that are warming up get at most their slow-start budget.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(SlowStart, SharesTheBudgetAmongTheGroup) {
  SchedulerFixture fixture(DefaultSettings());
  NodeEntry new_node = MakeNodeEntry(1);
  fixture.UpdateNodes({new_node});
  new_node.started_at = fixture.now;
  fixture.now += kSecond;
  fixture.UpdateNodes({new_node}, NodeListKind::kDelta);
  int attempts = 0;
  for (int i = 0; i < 20; ++i) {
    fixture.Submit(0, 0.1);
    attempts += static_cast<int>(fixture.AllActions<StartAttempt>().size());
  }
  EXPECT_EQ(attempts, 4);  // budget of 8, two schedulers
  fixture.now += 3 * kSecond;
  fixture.Submit(0, 0.1);
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());  // last microsecond of the window
  fixture.now += 1;
  fixture.Submit(0, 0.1);
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

// The group has many more schedulers than the budget has attempts. By taking turns, all of them together,
// including those that restart, stay within the budget in any window, and the node is still used.
TEST(SlowStart, TakesTurnsWhereTheGroupIsLargerThanTheBudget) {
  constexpr int kGroupSize = 90;
  Settings settings = DefaultSettings();
  settings.group_size = kGroupSize;
  settings.slow_start_budget = 21.0;
  const auto make_entry = [](Micros at) {
    NodeEntry entry = MakeNodeEntry(1);
    entry.started_at = at;
    return entry;
  };
  Micros now = 100 * kSecond;
  const Micros started = now - 400 * kMillisecond;
  std::vector<SchedulerFixture> fixtures;
  for (int i = 0; i < kGroupSize; ++i) {
    settings.self_index = i;
    fixtures.emplace_back(settings, i);
    fixtures.back().now = now - kSecond;
    fixtures.back().UpdateNodes({MakeNodeEntry(2, 20.0, 0.0)});
    fixtures.back().now = now;
    fixtures.back().UpdateNodes({make_entry(started)}, NodeListKind::kDelta);
  }
  std::vector<Micros> sent;
  for (; now < started + settings.slow_start_duration; now += 50 * kMillisecond) {
    for (int i = 0; i < kGroupSize; ++i) {
      if (now == started + 7 * kSecond && i % 3 == 0) {  // a third of the schedulers restart without state
        settings.self_index = i;
        fixtures[i] = SchedulerFixture(settings, i);
        fixtures[i].now = now;
        fixtures[i].UpdateNodes({make_entry(started)}, NodeListKind::kCached);
      }
      fixtures[i].now = now;
      fixtures[i].Submit(0, 0.01);
      for (std::size_t n = fixtures[i].AllActions<StartAttempt>().size(); n > 0; --n) sent.push_back(now);
    }
  }
  for (std::size_t from = 0; from < sent.size(); ++from) {
    const auto in_window = std::count_if(sent.begin() + from, sent.end(), [&](Micros at) {
      return at <= sent[from] + settings.slow_start_window;
    });
    EXPECT_LE(in_window, 21);
  }
  EXPECT_GE(sent.size(), 40u);  // six turns of nine or ten attempts, minus those lost to the restarts
}

// Checks the attempts of all schedulers together, for groups of 2, 16 and 30 and budgets below and above the
// group size. The node has just started, each scheduler learns of it up to 2 s late, and seven in ten
// schedulers restart. The test allows no attempt beyond the budget. Random variation alone could explain up
// to 2 * sqrt(budget) + 2 more.
TEST(SlowStart, AllSchedulersStayWithinTheBudgetOverRestartsAndLateLists) {
  for (const int group : {2, 16, 30}) {
    for (const double budget : {8.0, 21.0, 119.0}) {
      Settings settings = DefaultSettings();
      settings.group_size = group;
      settings.slow_start_budget = budget;
      NodeEntry warming_node = MakeNodeEntry(1);
      Micros now = 100 * kSecond;
      warming_node.started_at = now;
      std::vector<SchedulerFixture> fixtures;
      std::vector<Micros> learns_at;
      for (int i = 0; i < group; ++i) {
        settings.self_index = i;
        fixtures.emplace_back(settings, i);
        fixtures.back().now = now;
        fixtures.back().UpdateNodes({MakeNodeEntry(2, 20.0, 0.0)});
        learns_at.push_back(now + static_cast<Micros>(i * 7919 % 2000) * kMillisecond);
      }
      std::vector<Micros> sent;
      for (; now < warming_node.started_at + settings.slow_start_duration; now += 50 * kMillisecond) {
        for (int i = 0; i < group; ++i) {
          SchedulerFixture& fixture = fixtures[i];
          if (now == warming_node.started_at + 5 * kSecond && i % 10 < 7) {  // restarts with a cached list
            settings.self_index = i;
            fixture = SchedulerFixture(settings, group + i);
            fixture.now = now;
            fixture.UpdateNodes({MakeNodeEntry(2, 20.0, 0.0), warming_node}, NodeListKind::kCached);
          }
          fixture.now = now;
          if (learns_at[i] <= now)
            fixture.UpdateNodes({warming_node}, NodeListKind::kDelta), learns_at[i] = ~Micros{0};
          fixture.Submit(0, 0.01);
          for (std::size_t n = fixture.AllActions<StartAttempt>().size(); n > 0; --n) sent.push_back(now);
        }
      }
      std::size_t highest = 0;
      for (std::size_t from = 0; from < sent.size(); ++from) {
        const auto last = std::upper_bound(sent.begin(), sent.end(), sent[from] + settings.slow_start_window);
        highest = std::max(highest, static_cast<std::size_t>(last - sent.begin()) - from);
      }
      EXPECT_LE(highest, static_cast<std::size_t>(budget)) << group;
      EXPECT_GE(sent.size(), static_cast<std::size_t>(budget)) << group << ": the node is still used";
    }
  }
}

TEST(SlowStart, SendsNothingWithoutAValidIndexInTheGroup) {
  for (const auto& [size, self] : {std::pair(0, 0), {2, -1}, {2, 2}, {-3, 0}, {0, -1}}) {
    Settings settings = DefaultSettings();
    settings.group_size = size;
    settings.self_index = self;
    SchedulerFixture fixture(settings);
    NodeEntry new_node = MakeNodeEntry(1);
    fixture.UpdateNodes({new_node});
    new_node.started_at = fixture.now;
    fixture.now += kSecond;
    fixture.UpdateNodes({new_node}, NodeListKind::kDelta);
    fixture.Submit(0, 0.1);
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty()) << size << " " << self;
    fixture.now += settings.slow_start_duration;
    fixture.Submit(0, 0.1);
    EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
  }
}

TEST(SlowStart, EndsAfterItsDuration) {
  SchedulerFixture fixture(DefaultSettings());
  NodeEntry new_node = MakeNodeEntry(1);
  new_node.started_at = fixture.now;
  fixture.UpdateNodes({new_node});
  fixture.now += 17 * kSecond;
  int attempts = 0;
  for (int i = 0; i < 20; ++i) {
    fixture.Submit(0, 0.1);
    attempts += static_cast<int>(fixture.AllActions<StartAttempt>().size());
  }
  EXPECT_EQ(attempts, 20);
}

TEST(SlowStart, RestartedSchedulerWaitsForAWindow) {
  SchedulerFixture fixture(DefaultSettings());
  NodeEntry new_node = MakeNodeEntry(1);
  new_node.started_at = fixture.now - kSecond;
  fixture.UpdateNodes({new_node}, NodeListKind::kCached);
  fixture.Submit();
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  fixture.now += 3 * kSecond;
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

TEST(SlowStart, RanksAWarmingNodeNoEmptierThanTheAverage) {
  SchedulerFixture fixture(SingleSchedulerSettings());
  fixture.UpdateNodes({MakeNodeEntry(1, 20.0), MakeNodeEntry(2, 10.0)});
  NodeEntry new_node = MakeNodeEntry(3);
  new_node.started_at = fixture.now;
  fixture.UpdateNodes({new_node}, NodeListKind::kDelta);
  fixture.Submit();  // 20 and 30 cores requested, so the new node counts as 25
  EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
}

}  // namespace
}  // namespace mountflow::testing
