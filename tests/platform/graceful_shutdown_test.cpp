// Tests of the state machine of a graceful shutdown.
#include "platform/graceful_shutdown.hpp"

#include <gtest/gtest.h>

#include "platform/transport.hpp"

namespace mountflow::platform {
namespace {

using State = GracefulShutdown::State;
using Input = GracefulShutdown::Input;
using Work = GracefulShutdown::Work;

constexpr Micros kStart = 1'000'000'000;
constexpr Micros kLongDeadline = 60'000'000;
constexpr Micros kStopBy = kStart + kMaxRequestDeadline + kStopMargin;

// Returns a shutdown in its final turn, without unfinished work.
GracefulShutdown InFinalTurn() {
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  EXPECT_TRUE(shutdown.CheckWork(kStart + kDrainTime, {}));
  shutdown.FinishTurn(kStart + kDrainTime, false);
  EXPECT_EQ(shutdown.state(), State::kFinalTurn);
  return shutdown;
}

TEST(GracefulShutdown, FollowsItsTableOfTransitions) {
  struct Row {
    State from;
    Input input;
    State to;
  };
  const Row rows[] = {
      {State::kServing, Input::kSignal, State::kDraining},
      {State::kServing, Input::kBusy, State::kServing},
      {State::kServing, Input::kFlushing, State::kServing},
      {State::kServing, Input::kIdle, State::kServing},
      {State::kDraining, Input::kSignal, State::kDraining},
      {State::kDraining, Input::kBusy, State::kDraining},
      {State::kDraining, Input::kFlushing, State::kDraining},
      {State::kDraining, Input::kIdle, State::kFinalTurn},
      {State::kFinalTurn, Input::kSignal, State::kFinalTurn},
      {State::kFinalTurn, Input::kBusy, State::kDraining},
      {State::kFinalTurn, Input::kFlushing, State::kFinalTurn},
      {State::kFinalTurn, Input::kIdle, State::kStopped},
      {State::kStopped, Input::kSignal, State::kStopped},
      {State::kStopped, Input::kBusy, State::kStopped},
      {State::kStopped, Input::kFlushing, State::kStopped},
      {State::kStopped, Input::kIdle, State::kStopped},
  };
  for (const Row& row : rows) {
    EXPECT_EQ(GracefulShutdown::Next(row.from, row.input), row.to)
        << static_cast<int>(row.from) << " " << static_cast<int>(row.input);
  }
}

TEST(GracefulShutdown, NeedsNoChecksWhileServing) {
  GracefulShutdown shutdown(kLongDeadline);
  EXPECT_EQ(shutdown.state(), State::kServing);
  EXPECT_EQ(shutdown.NextCheck(kStart), kNever);
  EXPECT_FALSE(shutdown.CheckWork(kStart, {}));
}

TEST(GracefulShutdown, IgnoresASecondSignal) {
  GracefulShutdown shutdown(kLongDeadline);
  EXPECT_TRUE(shutdown.Begin(kStart));
  EXPECT_FALSE(shutdown.Begin(kStart + 1));
  EXPECT_TRUE(shutdown.CheckWork(kStart + kDrainTime, {}));  // the drain time starts at the first signal
}

TEST(GracefulShutdown, ServesUntilTheLoadBalancerHasSeenAFailingHealthCheck) {
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  EXPECT_EQ(shutdown.state(), State::kDraining);
  EXPECT_EQ(shutdown.NextCheck(kStart), kStart + kShutdownCheckInterval);
  EXPECT_FALSE(shutdown.CheckWork(kStart + kDrainTime - 1, {}));
  EXPECT_TRUE(shutdown.CheckWork(kStart + kDrainTime, {}));
}

TEST(GracefulShutdown, WaitsForEachKindOfUnfinishedWork) {
  const Micros now = kStart + kDrainTime;
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  EXPECT_FALSE(shutdown.CheckWork(now, {.unanswered_requests = true}));
  EXPECT_FALSE(shutdown.CheckWork(now, {.unfinished_clients = true}));
  EXPECT_FALSE(shutdown.CheckWork(now, {.last_arrival_at = now - kQuietTime + 1}));
  EXPECT_TRUE(shutdown.CheckWork(now, {.last_arrival_at = now - kQuietTime}));
}

// Guards against an exit between two requests of a client that is still sending: the second would be lost.
TEST(GracefulShutdown, KeepsServingWhileRequestsArriveLessThan150MillisecondsApart) {
  constexpr Micros kMillisecond = 1'000;
  constexpr Micros kInterval = 149 * kMillisecond;
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  Micros last_arrival_at = kStart;
  for (Micros now = kStart; now < kStopBy; now += kMillisecond) {
    if (now >= last_arrival_at + kInterval) last_arrival_at = now;
    EXPECT_FALSE(shutdown.CheckWork(now, {.last_arrival_at = last_arrival_at})) << now - kStart;
  }
  EXPECT_TRUE(shutdown.CheckWork(kStart + kDrainTime, {.last_arrival_at = kStart + 650 * kMillisecond}));
}

// Guards against an exit that leaves tasks running because nodes have not read their terminations. A node
// that confirms nothing does not keep the process from its exit before the kill.
TEST(GracefulShutdown, WaitsForUnconfirmedTerminationsUntilTheKill) {
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  EXPECT_FALSE(shutdown.CheckWork(kStopBy - 1, {.unconfirmed_terminations = true}));
  EXPECT_TRUE(shutdown.CheckWork(kStopBy - 1, {.unconfirmed_terminations = false}));
  EXPECT_TRUE(shutdown.CheckWork(kStopBy, {.unconfirmed_terminations = true}));
}

TEST(GracefulShutdown, FailsUnansweredRequestsBeforeTheKill) {
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  const Work busy{true, true, kStopBy};
  EXPECT_FALSE(shutdown.CheckWork(kStopBy - 1, busy));
  EXPECT_TRUE(shutdown.CheckWork(kStopBy, busy));
}

// Guards against failing requests earlier than 0.2 s before SIGKILL, which follows 3.7 s after the signal.
TEST(GracefulShutdown, WaitsThreeAndAHalfSecondsForTheAnswersOfLongRequests) {
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  EXPECT_FALSE(shutdown.CheckWork(kStart + 3'499'000, {.unanswered_requests = true}));
  EXPECT_TRUE(shutdown.CheckWork(kStart + 3'500'000, {.unanswered_requests = true}));
}

TEST(GracefulShutdown, WaitsNoLongerThanTheLongestDeadline) {
  constexpr Micros kShortDeadline = 1'000'000;
  GracefulShutdown shutdown(kShortDeadline);
  shutdown.Begin(kStart);
  const Work busy{true, false, 0};
  EXPECT_FALSE(shutdown.CheckWork(kStart + kShortDeadline + kStopMargin - 1, busy));
  EXPECT_TRUE(shutdown.CheckWork(kStart + kShortDeadline + kStopMargin, busy));
}

// Guards against losing a request: a turn that a timer started has read nothing, so a request in a socket
// buffer would get no answer.
TEST(GracefulShutdown, StopsOnlyAfterOneMoreTurnWithoutNewWork) {
  GracefulShutdown shutdown = InFinalTurn();
  const Micros now = kStart + kDrainTime + 1;
  EXPECT_EQ(shutdown.NextCheck(now), now);  // immediately
  EXPECT_TRUE(shutdown.CheckWork(now, {}));
  shutdown.FinishTurn(now, false);
  EXPECT_EQ(shutdown.state(), State::kStopped);
  EXPECT_EQ(shutdown.NextCheck(now), kNever);
  EXPECT_FALSE(shutdown.CheckWork(now, {}));
}

TEST(GracefulShutdown, DrainsAgainWhenTheFinalTurnReadsARequest) {
  GracefulShutdown shutdown = InFinalTurn();
  const Micros now = kStart + kDrainTime + 1;
  EXPECT_FALSE(shutdown.CheckWork(now, {.unanswered_requests = true}));
  EXPECT_EQ(shutdown.state(), State::kDraining);
  EXPECT_TRUE(shutdown.CheckWork(now + kQuietTime, {}));
  shutdown.FinishTurn(now + kQuietTime, false);
  EXPECT_EQ(shutdown.state(), State::kFinalTurn);
}

TEST(GracefulShutdown, WaitsForUnsentAnswersButNotForEver) {
  GracefulShutdown shutdown(kLongDeadline);
  shutdown.Begin(kStart);
  EXPECT_TRUE(shutdown.CheckWork(kStopBy, {}));
  shutdown.FinishTurn(kStopBy + kFlushTime - 1, true);
  EXPECT_EQ(shutdown.state(), State::kDraining);
  shutdown.FinishTurn(kStopBy + kFlushTime, true);
  EXPECT_EQ(shutdown.state(), State::kFinalTurn);
}

TEST(GracefulShutdown, StaysInItsFinalTurnWhileAnswersAreUnsent) {
  GracefulShutdown shutdown = InFinalTurn();
  shutdown.FinishTurn(kStart + kDrainTime + 1, true);
  EXPECT_EQ(shutdown.state(), State::kFinalTurn);
}

}  // namespace
}  // namespace mountflow::platform
