// The sums of own tasks against the plain walk over all of them, which they replaced.
#include "scheduler/unobserved_load.hpp"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace mountflow {
namespace {

constexpr Micros kThere = ~Micros{0};
constexpr Micros kReach = 12'000'000;  // views are never older

struct Walked {
  TaskLoad task;
  Micros ended = kThere;
};

// As it was: each question walks all tasks.
class Walk {
 public:
  std::vector<Walked> tasks;

  template <typename Part>
  double Since(Micros at, Part part) const {
    double sum = 0.0;
    for (const Walked& t : tasks) {
      if (t.task.sent_at > at && t.ended == kThere) sum += part(t.task);
      if (t.task.sent_at <= at && t.ended != kThere && t.ended > at) sum -= part(t.task);
    }
    return sum;
  }
  double Between(Micros from, Micros to) const {
    double sum = 0.0;
    for (const Walked& t : tasks) {
      if (t.task.sent_at > from && t.task.sent_at <= to) sum += t.task.cores;
      if (t.ended != kThere && t.ended > from && t.ended <= to) sum -= t.task.cores;
    }
    return sum;
  }
};

double Between(const UnobservedLoad& own, Micros from, Micros to) {
  FixedPoint sum = 0;
  own.ForEachChange(from, to, [&](Micros, FixedPoint cores) { sum += cores; });
  return ToDouble(sum);
}

void Play(unsigned seed, bool whole_sizes, Micros most_step) {
  std::mt19937 random(seed);
  const auto draw = [&random](std::uint64_t below) { return random() % below; };
  UnobservedLoad own;
  Walk walk;
  Micros now = draw(2) == 0 ? 0 : 40'000'000, view = 0, listed = 0;
  RequestId next = 1;
  for (int step = 0; step < 4'000; ++step) {
    now += draw(4) == 0 ? 0 : draw(most_step);
    std::vector<std::size_t> there;
    for (std::size_t i = 0; i < walk.tasks.size(); ++i) {
      if (walk.tasks[i].ended == kThere) there.push_back(i);
    }
    const auto act = draw(20);
    if (act < 8 || there.empty()) {
      TaskLoad t;
      t.request = next++;
      t.cores = whole_sizes ? static_cast<double>(draw(4096)) / 64.0 : static_cast<double>(random()) / 1e8;
      t.memory = whole_sizes ? static_cast<double>(draw(4096)) / 8.0 : static_cast<double>(random()) / 1e7;
      t.priority_weight = 2.0 + static_cast<double>(draw(3));
      t.sent_at = draw(12) == 0 ? 1 : now;  // some are found running
      own.Start(t);
      walk.tasks.push_back({t});
    } else if (act < 14) {
      Walked& t = walk.tasks[there[draw(there.size())]];
      own.End(t.task, now);
      t.ended = now;
    } else if (act < 16) {
      const std::size_t i = there[draw(there.size())];
      own.Withdraw(walk.tasks[i].task);
      walk.tasks.erase(walk.tasks.begin() + static_cast<std::ptrdiff_t>(i));
    } else if (act < 18) {
      const Micros old = now > kReach + 1'250'000 ? now - kReach - 1'250'000 : 0;
      std::erase_if(walk.tasks, [&](const Walked& t) {
        if (t.ended < old) own.Forget(t.task, t.ended);
        return t.ended < old;
      });
    } else {
      // Before a view is taken, the windows that the view before could be true of.
      for (int i = 0; i < 4 && listed != 0; ++i) {
        const Micros lag = std::min<Micros>(draw(49) * 250'000, listed);
        const double want = walk.Between(listed - lag, now - lag);
        EXPECT_NEAR(Between(own, listed - lag, now - lag), want, whole_sizes ? 0.0 : 1e-7) << "step " << step;
      }
      listed = now;
      const Micros lag = draw(49) * 250'000;  // the estimate may jump, back too
      view = now > lag ? now - lag : 1;
      own.ObserveUntil(view, now > kReach ? now - kReach : 0);
    }
    const auto near = [&](FixedPoint sum, double walked) {
      EXPECT_NEAR(ToDouble(sum), walked, whole_sizes ? 0.0 : 1e-7) << "seed " << seed << " step " << step;
    };
    near(own.unobserved().cores, walk.Since(view, [](const TaskLoad& t) { return t.cores; }));
    near(own.unobserved().memory, walk.Since(view, [](const TaskLoad& t) { return t.memory; }));
    near(own.unobserved().priority_weight,
         walk.Since(view, [](const TaskLoad& t) { return t.priority_weight; }));
    double ratio = 0.0;
    std::size_t count = 0;
    for (const Walked& t : walk.tasks) {
      if (t.ended == kThere) ++count, ratio += t.task.priority_weight;
    }
    near(own.present().priority_weight, ratio);
    ASSERT_EQ(own.task_count(), count);
    ASSERT_EQ(own.unobserved_amounts().cores, ToDouble(own.unobserved().cores));
    if (count > 0) {
      ASSERT_EQ(own.mean_priority_weight(),
                ToDouble(own.present().priority_weight) / static_cast<double>(count));
    }
    if (::testing::Test::HasFailure()) return;
  }
  for (Walked& t : walk.tasks) {
    if (t.ended == kThere) own.End(t.task, t.ended = now);
    own.Forget(t.task, t.ended);
  }
  EXPECT_EQ(own.present().cores, 0);
  EXPECT_EQ(own.unobserved().cores, 0) << "sums of whole numbers end where they began";
}

TEST(UnobservedLoad, SumsAreTheWalksToTheLastBitWhereSizesAreExact) {
  for (unsigned seed = 1; seed <= 20; ++seed) Play(seed, true, 200'000);
}

TEST(UnobservedLoad, SumsAreTheWalksWhateverTheSizes) {
  for (unsigned seed = 1; seed <= 20; ++seed) Play(seed, false, 50'000);
}

TEST(UnobservedLoad, TimeThatHardlyMovesAndTimeThatLeaps) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Play(seed, true, 3);
    Play(seed, true, 5'000'000);
  }
}

TEST(UnobservedLoad, SizesBeyondAllReasonAreHeldToTheMostAndLeaveNothing) {
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
