// Compares the incremental sums of own load with a reference that walks all tasks.
#include "scheduler/unobserved_load.hpp"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace mountflow {
namespace {

constexpr Micros kNotEnded = ~Micros{0};
constexpr Micros kMaxStaleness = 12'000'000;  // highest age of a list

struct ReferenceTask {
  TaskLoad load;
  Micros ended = kNotEnded;
};

// Reference implementation: each query walks all tasks.
class ReferenceLoad {
 public:
  std::vector<ReferenceTask> tasks;

  template <typename Amount>
  double Since(Micros at, Amount amount_of) const {
    double sum = 0.0;
    for (const ReferenceTask& task : tasks) {
      if (task.load.sent_at > at && task.ended == kNotEnded) sum += amount_of(task.load);
      if (task.load.sent_at <= at && task.ended != kNotEnded && task.ended > at) sum -= amount_of(task.load);
    }
    return sum;
  }
  double Between(Micros from, Micros to) const {
    double sum = 0.0;
    for (const ReferenceTask& task : tasks) {
      if (task.load.sent_at > from && task.load.sent_at <= to) sum += task.load.cores;
      if (task.ended != kNotEnded && task.ended > from && task.ended <= to) sum -= task.load.cores;
    }
    return sum;
  }
};

double Between(const UnobservedLoad& own, Micros from, Micros to) {
  FixedPoint sum = 0;
  own.ForEachChange(from, to, [&](Micros, FixedPoint cores) { sum += cores; });
  return ToDouble(sum);
}

void CompareWithReference(unsigned seed, bool whole_sizes, Micros longest_step) {
  std::mt19937 random(seed);
  const auto draw = [&random](std::uint64_t below) { return random() % below; };
  UnobservedLoad own;
  ReferenceLoad reference;
  Micros now = draw(2) == 0 ? 0 : 40'000'000, observed_at = 0, listed = 0;
  RequestId next = 1;
  for (int step = 0; step < 4'000; ++step) {
    now += draw(4) == 0 ? 0 : draw(longest_step);
    std::vector<std::size_t> present;
    for (std::size_t i = 0; i < reference.tasks.size(); ++i) {
      if (reference.tasks[i].ended == kNotEnded) present.push_back(i);
    }
    const auto choice = draw(20);
    if (choice < 8 || present.empty()) {
      TaskLoad task;
      task.request = next++;
      task.cores = whole_sizes ? static_cast<double>(draw(4096)) / 64.0 : static_cast<double>(random()) / 1e8;
      task.memory = whole_sizes ? static_cast<double>(draw(4096)) / 8.0 : static_cast<double>(random()) / 1e7;
      task.priority_weight = 2.0 + static_cast<double>(draw(3));
      task.sent_at = draw(12) == 0 ? 1 : now;  // some are recovered running tasks
      own.Start(task);
      reference.tasks.push_back({task});
    } else if (choice < 14) {
      ReferenceTask& task = reference.tasks[present[draw(present.size())]];
      own.End(task.load, now);
      task.ended = now;
    } else if (choice < 16) {
      const std::size_t i = present[draw(present.size())];
      own.Remove(reference.tasks[i].load);
      reference.tasks.erase(reference.tasks.begin() + static_cast<std::ptrdiff_t>(i));
    } else if (choice < 18) {
      const Micros old = now > kMaxStaleness + 1'250'000 ? now - kMaxStaleness - 1'250'000 : 0;
      std::erase_if(reference.tasks, [&](const ReferenceTask& task) {
        if (task.ended < old) own.Forget(task.load, task.ended);
        return task.ended < old;
      });
    } else {
      // Before a list is applied, checks the windows between the states that it and the previous list may
      // show.
      for (int i = 0; i < 4 && listed != 0; ++i) {
        const Micros age = std::min<Micros>(draw(49) * 250'000, listed);
        const double want = reference.Between(listed - age, now - age);
        EXPECT_NEAR(Between(own, listed - age, now - age), want, whole_sizes ? 0.0 : 1e-7) << "step " << step;
      }
      listed = now;
      const Micros age = draw(49) * 250'000;  // the estimate may jump in either direction
      observed_at = now > age ? now - age : 1;
      own.ObserveUntil(observed_at, now > kMaxStaleness ? now - kMaxStaleness : 0);
    }
    const auto expect_near = [&](FixedPoint sum, double expected) {
      EXPECT_NEAR(ToDouble(sum), expected, whole_sizes ? 0.0 : 1e-7) << "seed " << seed << " step " << step;
    };
    expect_near(own.unobserved().cores,
                reference.Since(observed_at, [](const TaskLoad& task) { return task.cores; }));
    expect_near(own.unobserved().memory,
                reference.Since(observed_at, [](const TaskLoad& task) { return task.memory; }));
    expect_near(own.unobserved().priority_weight,
                reference.Since(observed_at, [](const TaskLoad& task) { return task.priority_weight; }));
    double ratio = 0.0;
    std::size_t count = 0;
    for (const ReferenceTask& task : reference.tasks) {
      if (task.ended == kNotEnded) ++count, ratio += task.load.priority_weight;
    }
    expect_near(own.present().priority_weight, ratio);
    ASSERT_EQ(own.task_count(), count);
    ASSERT_EQ(own.unobserved_amounts().cores, ToDouble(own.unobserved().cores));
    if (count > 0) {
      ASSERT_EQ(own.mean_priority_weight(),
                ToDouble(own.present().priority_weight) / static_cast<double>(count));
    }
    if (::testing::Test::HasFailure()) return;
  }
  for (ReferenceTask& task : reference.tasks) {
    if (task.ended == kNotEnded) own.End(task.load, task.ended = now);
    own.Forget(task.load, task.ended);
  }
  EXPECT_EQ(own.present().cores, 0);
  EXPECT_EQ(own.unobserved().cores, 0) << "integer sums return to their initial value";
}

TEST(UnobservedLoad, EqualsTheReferenceToTheLastBitWhereSizesAreExact) {
  for (unsigned seed = 1; seed <= 20; ++seed) CompareWithReference(seed, true, 200'000);
}

TEST(UnobservedLoad, EqualsTheReferenceForAnySizes) {
  for (unsigned seed = 1; seed <= 20; ++seed) CompareWithReference(seed, false, 50'000);
}

TEST(UnobservedLoad, EqualsTheReferenceWithVeryShortAndVeryLongSteps) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CompareWithReference(seed, true, 3);
    CompareWithReference(seed, true, 5'000'000);
  }
}

TEST(UnobservedLoad, LimitsHugeSizesAndLeavesNothingBehind) {
  UnobservedLoad own;
  const TaskLoad huge{1, 1e300, 1e300, 4.0, 5};
  own.Start(huge);
  EXPECT_EQ(ToDouble(own.present().cores), 0x1p60);
  own.End(huge, 6);
  own.Forget(huge, 6);
  EXPECT_EQ(own.present().memory, 0);
}

}  // namespace
}  // namespace mountflow
