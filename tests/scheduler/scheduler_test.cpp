#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

// ---- The pick ----

TEST(Pick, LargestNormalizedCapacityWins) {
  Rig rig(Alone());
  rig.View({Entry(1, 10.0), Entry(2, 30.0), Entry(3, 20.0)});
  rig.Arrive();
  ASSERT_TRUE(rig.Only<StartAttempt>());
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 2u);
}

TEST(Pick, CapacityIsMeasuredAgainstTheMostCommonKind) {
  Settings s = Plain();
  s.node_kinds = {{40.0, 100.0}, {80.0, 200.0}};
  Rig rig(s);
  NodeEntry large = Entry(3, 50.0);  // 30 asked on twice the capacity
  large.kind = 1;
  rig.View({Entry(1, 18.0), Entry(2, 18.0), large});  // 22 asked
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 3u);
}

TEST(Pick, NearTiesAreDrawnFromTheSeed) {
  std::map<NodeId, int> drawn;
  for (std::uint64_t seed = 0; seed < 64; ++seed) {
    Rig rig(Plain(), seed);
    rig.View({Entry(1, 30.0), Entry(2, 30.2), Entry(3, 5.0)});
    rig.Arrive(0, 1.0, 5000 + seed);
    ++drawn[rig.Only<StartAttempt>()->node];
  }
  EXPECT_GT(drawn[1], 10);
  EXPECT_GT(drawn[2], 10);
  EXPECT_EQ(drawn.count(3), 0u);
}

// Many schedulers see one equal late view: those who pick only its emptiest machine would all meet there.
TEST(Pick, MachinesThatOthersFillUnseenTie) {
  std::map<NodeId, int> drawn;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    Rig rig(Plain(), seed);
    double free = 40.0;
    for (int i = 0; i < 12; ++i, rig.now += kSecond) {  // others place four a second on another machine
      rig.View({Entry(1, 30.0), Entry(2, 25.0), Entry(3, free -= 3.0)},
               i == 0 ? NodeListKind::kSnapshot : NodeListKind::kDelta);
    }
    rig.View({Entry(1, 30.0), Entry(2, 25.0), Entry(3, 0.0)}, NodeListKind::kDelta);
    rig.Arrive(0, 1.0, 5000 + seed);
    ++drawn[rig.Only<StartAttempt>()->node];
  }
  EXPECT_GT(drawn[2], 5);  // as seen 15 of 40 are asked there against 10
  EXPECT_EQ(drawn.count(3), 0u);
}

TEST(Pick, OwnBindsAndOpenOffersCountBetweenViews) {
  Rig rig(Plain());
  rig.View({Entry(1, 35.0), Entry(2, 25.0)});
  std::map<NodeId, int> sent;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = rig.Arrive();
    const NodeId machine = rig.Only<StartAttempt>()->node;
    ++sent[machine];
    if (i % 2 == 0) rig.Place(id, 0, machine);
  }
  // 5 and 15 asked at first: 20 more leave about 20 on each.
  EXPECT_GE(sent[1], 11);
  EXPECT_LE(sent[1], 18);
}

TEST(Pick, EndedTasksAreDroppedFromTheCount) {
  Rig rig(Plain());
  rig.View({Entry(1, 30.0), Entry(2, 30.0)});
  std::vector<std::pair<RequestId, NodeId>> placed;
  for (int i = 0; i < 16; ++i) {
    const RequestId id = rig.Arrive();
    const NodeId machine = rig.Only<StartAttempt>()->node;
    rig.Place(id, 0, machine);
    placed.emplace_back(id, machine);
  }
  for (const auto& [id, machine] : placed) {
    if (machine == 1) rig.End(id, 0, machine, AttemptResult::kCompleted, RejectionReason::kUnspecified, true);
  }
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
}

TEST(Pick, CapRefusesAtOnce) {
  Settings s = Plain();
  s.mean_cores = 4.0;  // the cap is ratio x 40 / 4 cores of tasks: ten of them
  Rig rig(s);
  rig.View({Entry(1, 1.0)});  // 39 asked count as 9.75; one more is over
  rig.Arrive(0, 0.5);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  ASSERT_TRUE(rig.Only<RejectTask>());
  EXPECT_TRUE(rig.All<FailTask>().empty());
}

TEST(Pick, UnderTheCapIsOffered) {
  Settings s = Plain();
  s.mean_cores = 4.0;
  Rig rig(s);
  rig.View({Entry(1, 4.0)});  // 36 asked count as 9: the tenth is just within
  rig.Arrive(0, 0.5);
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

// Each of many schedulers holds hardly a task of a service, and starts without the program are many times
// dearer.
TEST(Pick, SchedulersAgreeOnTheHomesOfAServiceWithoutAWord) {
  std::vector<NodeEntry> fleet;
  for (NodeId id = 1; id <= 20; ++id) fleet.push_back(Entry(id, 25.0));
  std::set<NodeId> all;
  for (std::uint64_t service = 500; service < 520; ++service) {
    std::set<NodeId> homes;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Rig rig(Plain(), seed);
      rig.View(fleet);
      rig.Arrive(0, 1.0, service);
      homes.insert(rig.Only<StartAttempt>()->node);
    }
    EXPECT_EQ(homes.size(), 2u);
    all.insert(homes.begin(), homes.end());
  }
  EXPECT_GT(all.size(), 12u);  // and services differ in theirs
}

TEST(Pick, AFarEmptierMachineBeatsTheHomes) {
  for (std::uint64_t service = 500; service < 520; ++service) {
    Rig rig(Plain());
    rig.View({Entry(1, 5.0), Entry(2, 5.0), Entry(3, 5.0), Entry(4, 40.0)});
    rig.Arrive(0, 1.0, service);
    EXPECT_EQ(rig.Only<StartAttempt>()->node, 4u);
  }
}

// Where own tasks tell where the program is, that is better than a guess at its homes.
TEST(Pick, AMachineKnownToHaveTheProgramLeadsAlone) {
  std::vector<NodeEntry> fleet;
  for (NodeId id = 1; id <= 6; ++id) fleet.push_back(Entry(id, 25.0));
  int there = 0;
  for (std::uint64_t service = 500; service < 564; ++service) {
    Rig rig(Plain(), service);
    rig.View(fleet);
    rig.Feed(TaskRecovered{rig.Make(0, 1.0, service), 5});
    rig.Arrive(0, 1.0, service);
    there += rig.Only<StartAttempt>()->node == 5u;
  }
  EXPECT_EQ(there, 64);
}

TEST(Pick, OwnZoneGoesFirstAmongTiesWhereOthersArePriced) {
  Settings s = Plain();
  s.cross_zone_price = 0.05;
  s.own_zone = 1;
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    Rig rig(s, seed);
    rig.View({Entry(1), Entry(101)});
    rig.Arrive();
    EXPECT_EQ(rig.Only<StartAttempt>()->node, 101u);
  }
}

// Tasks that use far more than they asked make a machine look roomy; its own report tells.
TEST(Pick, AMachineBusierThanAskedCountsAsThatFull) {
  Rig rig(Plain());
  rig.View({Entry(1, 30.0), Entry(2, 20.0)});
  const RequestId id = rig.Arrive();
  ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
  rig.Place(id, 0, 1);
  AttemptEnded o;
  o.request = id;
  o.node = 1;
  o.request_closed = true;
  o.report.utilisation = 0.9;
  rig.Feed(o);
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 2u);
  rig.now += 6 * kSecond;  // an old report tells nothing
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
  o.report.utilisation = std::nan("");
  rig.Feed(o);
}

// Starts queue one behind the other: a machine with offers open is slower to start the next than its room
// tells.
TEST(Pick, OpenOffersWeighMoreThanRunningTasks) {
  Rig rig(Alone());
  rig.View({Entry(1, 30.0), Entry(2, 28.0)});  // 10 and 12 asked
  const RequestId first = rig.Arrive();
  ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
  const RequestId second = rig.Arrive();
  ASSERT_EQ(rig.Only<StartAttempt>()->node, 2u);  // 11 and 3 more against 12
  rig.Place(first, 0, 1);
  rig.Place(second, 0, 2);
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);  // running they count one each
}

// The danger: an acceptance comes in milliseconds, the start seconds later. On a day in service 125 tasks
// were sent to a machine that had just come up, and waited 2.6 s in its line of starts (median).
TEST(Pick, AnAcceptedTaskWeighsAsWaitingUntilItsStartIsTold) {
  for (const bool told : {false, true}) {
    Rig rig(Alone());
    rig.View({Entry(1, 40.0), Entry(2, 38.0)});  // none and 2 asked
    if (told) {                                  // where notes of starts come at all
      const RequestId before = rig.Arrive();
      const NodeId machine = rig.Only<StartAttempt>()->node;
      rig.Place(before, 0, machine);
      rig.Feed(TaskProgress{before, 0, machine, ProgressKind::kRunning, 1.0});
      rig.End(before, 0, machine, AttemptResult::kCompleted, RejectionReason::kUnspecified, true);
    }
    const RequestId first = rig.Arrive();
    ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
    rig.Place(first, 0, 1);
    const RequestId second = rig.Arrive();
    EXPECT_EQ(rig.Only<StartAttempt>()->node, told ? 2u : 1u);
    rig.Place(second, 0, rig.Only<StartAttempt>()->node);
    if (!told) continue;
    rig.Feed(TaskProgress{first, 0, 1, ProgressKind::kRunning, 1.0});
    rig.Feed(TaskProgress{second, 0, 2, ProgressKind::kRunning, 1.0});
    rig.Arrive();
    EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);  // running they count one each
  }
}

// ---- The filter ----

TEST(Filter, NeedsCoresAndMemory) {
  Rig rig(Plain());
  rig.View({Entry(1, 0.9, 100.0), Entry(2, 40.0, 1.9)});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
  rig.View({Entry(1, 1.0, 2.0)});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

TEST(Filter, FreeRoomIsLessOwnSendsSinceTheViewWasTrue) {
  Rig rig(Plain());
  rig.View({Entry(1, 2.0)});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<StartAttempt>());
  rig.Arrive();
  EXPECT_TRUE(rig.Only<StartAttempt>());
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Filter, OwnTasksInsideTheViewAreNotCountedTwice) {
  Rig rig(Plain());
  TaskRecovered running;
  running.task = rig.Make(0, 30.0);
  running.node = 1;
  rig.View({Entry(1, 10.0)});
  rig.Feed(running);
  rig.Arrive(0, 10.0);
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

// A refused offer held no room: kept as an ended task, a late view would seem to hide its end.
TEST(Filter, ARefusedOfferLeavesNoRoomBehind) {
  Rig rig(Plain());
  rig.View({Entry(1, 4.0)});
  const RequestId id = rig.Arrive(0, 4.0);
  ASSERT_TRUE(rig.Only<StartAttempt>());
  rig.now += 3 * kSecond;  // longer than a view is late
  rig.View({Entry(1, 3.0)});
  rig.End(id, 0, 1, AttemptResult::kRejected, RejectionReason::kQueueFull);
  rig.now += 4 * kSecond;
  rig.Arrive(0, 4.0);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
}

TEST(Filter, KindThatTheClassNeeds) {
  Settings s = Plain();
  s.node_kinds.push_back({80.0, 200.0});
  s.classes[0].node_kind = 1;
  Rig rig(s);
  rig.View({Entry(1)});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Filter, AFullMachineIsSkippedForSeconds) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2, 20.0)});
  const RequestId id = rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
  rig.End(id, 0, 1, AttemptResult::kRejected, RejectionReason::kNoCores);
  ASSERT_TRUE(rig.Only<StartAttempt>());
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 2u);
  EXPECT_EQ(rig.Only<StartAttempt>()->attempt, 1u);
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 2u);
  rig.now += 4 * kSecond;
  rig.Arrive();
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
}

// One large task without room must not close a machine to the small ones for seconds.
TEST(Filter, AFullAnswerToALargeTaskSkipsNoSmallerOne) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2, 20.0)});
  const RequestId large = rig.Arrive(0, 16.0);
  ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
  rig.End(large, 0, 1, AttemptResult::kRejected, RejectionReason::kNoCores);
  rig.Arrive(0, 1.0);
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
  rig.Arrive(0, 16.0);
  EXPECT_NE(rig.Only<StartAttempt>().value_or(StartAttempt{}).node, 1u);
}

TEST(Filter, WithoutFreeRoomInTheListOwnTasksStandForTheOthers) {
  Settings s = Plain();
  s.list_has_free_capacity = false;
  Rig rig(s);
  rig.View({Entry(1, 0.0, 0.0)});
  int offers = 0;
  for (int i = 0; i < 30; ++i) {
    rig.Arrive(0, 2.0);
    offers += static_cast<int>(rig.All<StartAttempt>().size());
  }
  EXPECT_EQ(offers, 10);  // 40 cores, two schedulers, two cores each
}

TEST(Filter, WithoutFreeRoomRunningTasksCountToo) {
  Settings s = Plain();
  s.list_has_free_capacity = false;
  Rig rig(s);
  rig.View({Entry(1, 0.0, 0.0)});
  TaskRecovered running;
  running.task = rig.Make(0, 18.0);
  running.node = 1;
  rig.Feed(running);
  rig.Arrive(0, 2.0);  // 36 of 40 cores are taken to be asked for
  EXPECT_TRUE(rig.Only<StartAttempt>());
  rig.Arrive(0, 2.0);
  EXPECT_TRUE(rig.Only<RejectTask>());
}

// ---- Rule 1: one final answer ----

TEST(Answers, NoMachinesMeansRefusal) {
  Rig rig(Plain());
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
  rig.View({});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Answers, TimeOutAtTheDeadlineIsAnsweredOnce) {
  Settings s = Plain();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  Rig rig(s);
  rig.View({Entry(1), Entry(2)});
  const RequestId id = rig.Arrive();
  const NodeId machine = rig.Only<StartAttempt>()->node;
  rig.now += 8 * kSecond;
  rig.End(id, 0, machine, AttemptResult::kTimedOut);
  EXPECT_TRUE(rig.Only<FailTask>());
  rig.End(id, 0, machine, AttemptResult::kTimedOut);
  EXPECT_FALSE(rig.FinalAnswer());
}

TEST(Answers, NothingGoesOutAtOrAfterTheDeadline) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2)});
  Task late = rig.Make();
  late.deadline = rig.now;
  rig.Arrive(late);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  EXPECT_TRUE(rig.FinalAnswer());
  Task last = rig.Make();
  last.deadline = rig.now + 1;
  rig.Arrive(last);
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

TEST(Answers, AttemptsEndAtTheStatedMost) {
  Settings s = Plain();
  s.max_attempts = 2;
  Rig rig(s);
  rig.View({Entry(1), Entry(2), Entry(3)});
  const RequestId id = rig.Arrive();
  rig.End(id, 0, rig.Only<StartAttempt>()->node, AttemptResult::kRejected, RejectionReason::kNoCores);
  ASSERT_TRUE(rig.Only<StartAttempt>());
  rig.End(id, 1, rig.Only<StartAttempt>()->node, AttemptResult::kRejected, RejectionReason::kNoCores);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Answers, WithdrawnTasksGetNothingMore) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2)});
  const RequestId id = rig.Arrive();
  const NodeId machine = rig.Only<StartAttempt>()->node;
  rig.Feed(TaskCancelled{id});
  rig.End(id, 0, machine, AttemptResult::kRejected, RejectionReason::kNoCores, true);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  EXPECT_FALSE(rig.FinalAnswer());
}

TEST(Answers, APlacedTaskThatEndsIsNotAnsweredAgain) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2)});
  for (AttemptResult ending : {AttemptResult::kCompleted, AttemptResult::kLost, AttemptResult::kCancelled}) {
    const RequestId id = rig.Arrive();
    const NodeId machine = rig.Only<StartAttempt>()->node;
    rig.Place(id, 0, machine);
    EXPECT_FALSE(rig.FinalAnswer());
    rig.End(id, 0, machine, ending, RejectionReason::kDrained, true);
    EXPECT_FALSE(rig.FinalAnswer());
    EXPECT_TRUE(rig.All<StartAttempt>().empty());
  }
}

// ---- Rule 2: no effect twice ----

Settings Keyed(DeduplicationScope scope) {
  Settings s = Plain();
  s.classes[0].idempotency = Idempotency::kWithKey;
  s.classes[0].deduplication_scope = scope;
  return s;
}

TEST(Effects, UnsafeIsNeitherTriedAgainNorRefusedOnceItMayHaveRun) {
  for (AttemptResult ending :
       {AttemptResult::kError, AttemptResult::kTimedOut, AttemptResult::kLost, AttemptResult::kCancelled}) {
    Settings s = Plain();
    s.classes[0].idempotency = Idempotency::kNotIdempotent;
    Rig rig(s);
    rig.View({Entry(1), Entry(2)});
    const RequestId id = rig.Arrive();
    rig.End(id, 0, rig.Only<StartAttempt>()->node, ending);
    EXPECT_TRUE(rig.All<StartAttempt>().empty());
    EXPECT_TRUE(rig.All<RejectTask>().empty());
    EXPECT_TRUE(rig.Only<FailTask>());
  }
}

TEST(Effects, UnsafeGoesOnWhereItIsProvenNotToHaveRun) {
  for (AttemptResult ending : {AttemptResult::kRejected, AttemptResult::kUnreachable}) {
    Settings s = Plain();
    s.classes[0].idempotency = Idempotency::kNotIdempotent;
    Rig rig(s);
    rig.View({Entry(1), Entry(2)});
    const RequestId id = rig.Arrive();
    rig.End(id, 0, rig.Only<StartAttempt>()->node, ending);
    EXPECT_TRUE(rig.Only<StartAttempt>());
  }
}

TEST(Effects, KeyedStaysInItsGroup) {
  // Machines 1, 2 share a cell; 11 is in another cell of the zone; 101 in another zone.
  const auto second = [](DeduplicationScope scope, std::vector<NodeEntry> machines) -> std::optional<NodeId> {
    Rig rig(Keyed(scope));
    rig.View({Entry(1)});
    const RequestId id = rig.Arrive();
    machines.push_back(Entry(1, 0.0));  // the first is full by now
    rig.View(machines);
    rig.End(id, 0, 1, AttemptResult::kTimedOut);
    if (rig.Only<StartAttempt>()) return rig.Only<StartAttempt>()->node;
    EXPECT_TRUE(rig.FinalAnswer());
    EXPECT_EQ(rig.All<FailTask>().empty(), scope == DeduplicationScope::kAll);
    return std::nullopt;
  };
  EXPECT_EQ(second(DeduplicationScope::kRack, {Entry(2, 20.0), Entry(11), Entry(101)}), 2u);
  EXPECT_EQ(second(DeduplicationScope::kRack, {Entry(11), Entry(101)}), std::nullopt);
  EXPECT_EQ(second(DeduplicationScope::kZone, {Entry(11, 20.0), Entry(101)}), 11u);
  EXPECT_EQ(second(DeduplicationScope::kZone, {Entry(101)}), std::nullopt);
  EXPECT_EQ(second(DeduplicationScope::kAll, {Entry(101)}), 101u);
  EXPECT_EQ(second(DeduplicationScope::kAll, {}), std::nullopt);
}

TEST(Effects, KeyedStaysInItsWindow) {
  for (const Micros age : {5 * kSecond - 1, 5 * kSecond}) {
    Rig rig(Keyed(DeduplicationScope::kRack));
    rig.View({Entry(1), Entry(2)});
    const RequestId id = rig.Arrive();
    const NodeId first = rig.Only<StartAttempt>()->node;
    rig.now += age;
    rig.Feed(HealthCheckResult{first == 1 ? 2u : 1u, true, 0, {}});
    rig.End(id, 0, first, AttemptResult::kTimedOut);
    if (age < 5 * kSecond) {
      EXPECT_TRUE(rig.Only<StartAttempt>());
    } else {
      EXPECT_TRUE(rig.Only<FailTask>());
      EXPECT_TRUE(rig.All<StartAttempt>().empty());
    }
  }
}

TEST(Effects, NeverTwoAttemptsOut) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2), Entry(3)});
  const RequestId id = rig.Arrive();
  const NodeId machine = rig.Only<StartAttempt>()->node;
  rig.BeatUntil(rig.now + 5 * kSecond);  // silence: it is taken back first
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  ASSERT_EQ(rig.All<CancelAttempt>().size(), 1u);
  EXPECT_EQ(rig.All<CancelAttempt>()[0].request, id);
  rig.End(id, 0, machine, AttemptResult::kCancelled);
  ASSERT_TRUE(rig.Only<StartAttempt>());
  EXPECT_NE(rig.Only<StartAttempt>()->node, machine);
}

TEST(Effects, AnUnsafeOfferIsNotTakenBack) {
  Settings s = Plain();
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  Rig rig(s);
  rig.View({Entry(1), Entry(2)});
  rig.Arrive();
  rig.BeatUntil(rig.now + 7 * kSecond);
  EXPECT_TRUE(rig.All<CancelAttempt>().empty());
}

// ---- Rule 3: drains ----

TEST(Drains, NothingNewFromTheMomentItIsTold) {
  for (NodeState state : {NodeState::kDraining, NodeState::kGone}) {
    Rig rig(Plain());
    rig.View({Entry(1)});
    NodeEntry e = Entry(1);
    e.state = state;
    rig.View({e}, NodeListKind::kDelta);
    rig.Arrive();
    EXPECT_TRUE(rig.All<StartAttempt>().empty());
  }
}

TEST(Drains, AbsentFromAFullListIsGone) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2)});
  rig.View({Entry(2, 0.0)});
  rig.Arrive();
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
}

// ---- Rule 4: cold machines ----

TEST(Cold, TheAllowanceIsSharedByTheGroup) {
  Rig rig(Plain());
  NodeEntry fresh = Entry(1);
  rig.View({fresh});
  fresh.started_at = rig.now;
  rig.now += kSecond;
  rig.View({fresh}, NodeListKind::kDelta);
  int offers = 0;
  for (int i = 0; i < 20; ++i) {
    rig.Arrive(0, 0.1);
    offers += static_cast<int>(rig.All<StartAttempt>().size());
  }
  EXPECT_EQ(offers, 4);  // 8 borne, two schedulers
  rig.now += 3 * kSecond;
  rig.Arrive(0, 0.1);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());  // the window's last instant
  rig.now += 1;
  rig.Arrive(0, 0.1);
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

// Far more schedulers than offers that are borne: by turns all together stay within the budget in any window,
// those that restart in between too, and the machine is still used.
TEST(Cold, ManySchedulersShareOneBudgetByTurns) {
  constexpr int kGroup = 90;
  Settings s = Plain();
  s.group_size = kGroup;
  s.slow_start_budget = 21.0;
  const auto entry = [](Micros at) {
    NodeEntry e = Entry(1);
    e.started_at = at;
    return e;
  };
  Micros now = 100 * kSecond;
  const Micros started = now - 400 * kMs;
  std::vector<Rig> rigs;
  for (int i = 0; i < kGroup; ++i) {
    s.self_index = i;
    rigs.emplace_back(s, i);
    rigs.back().now = now - kSecond;
    rigs.back().View({Entry(2, 20.0, 0.0)});
    rigs.back().now = now;
    rigs.back().View({entry(started)}, NodeListKind::kDelta);
  }
  std::vector<Micros> sent;
  for (; now < started + s.slow_start_duration; now += 50 * kMs) {
    for (int i = 0; i < kGroup; ++i) {
      if (now == started + 7 * kSecond && i % 3 == 0) {  // a third of the schedulers restart and forget
        s.self_index = i;
        rigs[i] = Rig(s, i);
        rigs[i].now = now;
        rigs[i].View({entry(started)}, NodeListKind::kCached);
      }
      rigs[i].now = now;
      rigs[i].Arrive(0, 0.01);
      for (std::size_t n = rigs[i].All<StartAttempt>().size(); n > 0; --n) sent.push_back(now);
    }
  }
  for (std::size_t from = 0; from < sent.size(); ++from) {
    const auto in_window = std::count_if(sent.begin() + from, sent.end(),
                                         [&](Micros at) { return at <= sent[from] + s.slow_start_window; });
    EXPECT_LE(in_window, 21);
  }
  EXPECT_GE(sent.size(), 40u);  // six turns of nine or ten, less what the restarts cost
}

// The sum of all processes at 2, 16 and 30, with budgets below and above their number: just after the
// machine's start, over a restart of seven in ten, and while each hears of the machine up to 2 s late. None
// beyond the budget, where only 2 * sqrt(budget) + 2 more were chance.
TEST(Cold, TheSumOfAllStaysWithinTheBudgetOverRestartsAndLateLists) {
  for (const int group : {2, 16, 30}) {
    for (const double budget : {8.0, 21.0, 119.0}) {
      Settings s = Plain();
      s.group_size = group;
      s.slow_start_budget = budget;
      NodeEntry cold = Entry(1);
      Micros now = 100 * kSecond;
      cold.started_at = now;
      std::vector<Rig> rigs;
      std::vector<Micros> hears;
      for (int i = 0; i < group; ++i) {
        s.self_index = i;
        rigs.emplace_back(s, i);
        rigs.back().now = now;
        rigs.back().View({Entry(2, 20.0, 0.0)});
        hears.push_back(now + static_cast<Micros>(i * 7919 % 2000) * kMs);
      }
      std::vector<Micros> sent;
      for (; now < cold.started_at + s.slow_start_duration; now += 50 * kMs) {
        for (int i = 0; i < group; ++i) {
          Rig& rig = rigs[i];
          if (now == cold.started_at + 5 * kSecond && i % 10 < 7) {  // restarted, and told what is known
            s.self_index = i;
            rig = Rig(s, group + i);
            rig.now = now;
            rig.View({Entry(2, 20.0, 0.0), cold}, NodeListKind::kCached);
          }
          rig.now = now;
          if (hears[i] <= now) rig.View({cold}, NodeListKind::kDelta), hears[i] = ~Micros{0};
          rig.Arrive(0, 0.01);
          for (std::size_t n = rig.All<StartAttempt>().size(); n > 0; --n) sent.push_back(now);
        }
      }
      std::size_t most = 0;
      for (std::size_t from = 0; from < sent.size(); ++from) {
        const auto last = std::upper_bound(sent.begin(), sent.end(), sent[from] + s.slow_start_window);
        most = std::max(most, static_cast<std::size_t>(last - sent.begin()) - from);
      }
      EXPECT_LE(most, static_cast<std::size_t>(budget)) << group;
      EXPECT_GE(sent.size(), static_cast<std::size_t>(budget)) << group << ": the machine is still used";
    }
  }
}

TEST(Cold, WithoutASoundPlaceInTheGroupNothingIsSent) {
  for (const auto& [size, self] : {std::pair(0, 0), {2, -1}, {2, 2}, {-3, 0}, {0, -1}}) {
    Settings s = Plain();
    s.group_size = size;
    s.self_index = self;
    Rig rig(s);
    NodeEntry fresh = Entry(1);
    rig.View({fresh});
    fresh.started_at = rig.now;
    rig.now += kSecond;
    rig.View({fresh}, NodeListKind::kDelta);
    rig.Arrive(0, 0.1);
    EXPECT_TRUE(rig.All<StartAttempt>().empty()) << size << " " << self;
    rig.now += s.slow_start_duration;
    rig.Arrive(0, 0.1);
    EXPECT_TRUE(rig.Only<StartAttempt>());
  }
}

TEST(Cold, WarmOnceItsTimeIsOver) {
  Rig rig(Plain());
  NodeEntry fresh = Entry(1);
  fresh.started_at = rig.now;
  rig.View({fresh});
  rig.now += 17 * kSecond;
  int offers = 0;
  for (int i = 0; i < 20; ++i) {
    rig.Arrive(0, 0.1);
    offers += static_cast<int>(rig.All<StartAttempt>().size());
  }
  EXPECT_EQ(offers, 20);
}

TEST(Cold, ARestartedSchedulerForgotWhatItSent) {
  Rig rig(Plain());
  NodeEntry fresh = Entry(1);
  fresh.started_at = rig.now - kSecond;
  rig.View({fresh}, NodeListKind::kCached);
  rig.Arrive();
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  rig.now += 3 * kSecond;
  rig.Arrive();
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

TEST(Cold, EmptyIsNotRoomyWhileCold) {
  Rig rig(Alone());
  rig.View({Entry(1, 20.0), Entry(2, 10.0)});
  NodeEntry fresh = Entry(3);
  fresh.started_at = rig.now;
  rig.View({fresh}, NodeListKind::kDelta);
  rig.Arrive();  // 20 and 30 asked, so the fresh one counts as 25
  EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
}

// ---- Rule 5: spread ----

TEST(SpreadRule, CountsAttemptsAndRunningTasksByPlace) {
  for (TopologySpread spread : {TopologySpread::kNode, TopologySpread::kRack, TopologySpread::kZone}) {
    Settings s = Plain();
    s.classes[0].topology_spread = spread;
    s.classes[0].max_per_domain = 2;
    Rig rig(s);
    rig.View({Entry(1), Entry(2, 20.0), Entry(11, 20.0), Entry(101, 20.0)});
    TaskRecovered running;  // tasks there before count too
    running.task = rig.Make(0, 1.0, 5);
    running.node = 1;
    rig.Feed(running);
    std::map<NodeId, int> sent;
    for (int i = 0; i < 20; ++i) {
      rig.Arrive(0, 0.1, 5);
      for (const StartAttempt& offer : rig.All<StartAttempt>()) ++sent[offer.node];
    }
    const int machine = 1 + sent[1];
    const int cell = machine + sent[2];
    const int zone = cell + sent[11];
    if (spread == TopologySpread::kNode) {
      EXPECT_EQ(machine, 2);
      EXPECT_EQ(sent[2], 2);
      EXPECT_EQ(sent[101], 2);
    } else if (spread == TopologySpread::kRack) {
      EXPECT_EQ(cell, 2);
      EXPECT_EQ(sent[11], 2);
      EXPECT_EQ(sent[101], 2);
    } else {
      EXPECT_EQ(zone, 2);
      EXPECT_EQ(sent[101], 2);
    }
  }
}

TEST(SpreadRule, AnOutcomeFreesThePlace) {
  Settings s = Plain();
  s.classes[0].topology_spread = TopologySpread::kNode;
  s.classes[0].max_per_domain = 1;
  Rig rig(s);
  rig.View({Entry(1)});
  const RequestId id = rig.Arrive(0, 1.0, 5);
  rig.Place(id, 0, 1);
  rig.Arrive(0, 1.0, 5);
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  rig.End(id, 0, 1, AttemptResult::kCompleted, RejectionReason::kUnspecified, true);
  rig.Arrive(0, 1.0, 5);
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

// ---- Health ----

TEST(Health, AMachineThatCannotBeReachedIsLeftOut) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2, 20.0), Entry(3, 20.0)});
  const RequestId id = rig.Arrive();
  ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
  rig.End(id, 0, 1, AttemptResult::kUnreachable);
  for (int i = 0; i < 5; ++i) {
    rig.Arrive();
    EXPECT_NE(rig.Only<StartAttempt>()->node, 1u);
  }
}

TEST(Health, AGreyMachineGetsOneOfferAtATime) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2, 10.0), Entry(3, 10.0)});
  const RequestId id = rig.Arrive();
  ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
  rig.End(id, 0, 1, AttemptResult::kUnreachable);
  rig.now += 10 * kSecond;
  int there = 0;
  for (int i = 0; i < 6; ++i) {
    rig.Arrive();
    there += rig.Only<StartAttempt>()->node == 1u;
  }
  EXPECT_EQ(there, 1);
}

// A hung machine answers at once that its line of offers is full, and looks roomier by the second.
TEST(Health, AFullLineOfOffersIsNoSignOfLife) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2, 25.0), Entry(3, 25.0)});
  int there = 0;
  for (int i = 0; i < 40; ++i) {
    rig.now += 50 * kMs;
    const RequestId id = rig.Arrive(0, 0.1);
    ASSERT_TRUE(rig.Only<StartAttempt>());
    if (rig.Only<StartAttempt>()->node != 1u) continue;
    ++there;
    rig.End(id, 0, 1, AttemptResult::kRejected, RejectionReason::kQueueFull);
    ASSERT_TRUE(rig.Only<StartAttempt>());
    EXPECT_NE(rig.Only<StartAttempt>()->node, 1u);
  }
  EXPECT_LE(there, 2);
}

// A machine that starts to drain empties at once and would draw everything until the list tells of it.
// A hung machine takes nothing, ends nothing and looks roomier than those that fill up: the list shows it to
// all.
TEST(Health, AMachineWhoseEntryStandsStillUnderLoadIsLeftOut) {
  for (const bool heard : {false, true}) {
    Settings s = Plain();
    s.group_size = 100;
    Rig rig(s);
    rig.View({Entry(1, 30.0), Entry(2, 30.0), Entry(3, 30.0)});
    for (int i = 0; i < 20; ++i) {  // others start and end tasks on the other two
      rig.now += kSecond;
      const double swing = i % 2 == 0 ? 2.0 : 0.0;
      rig.View({Entry(2, 26.0 - swing), Entry(3, 24.0 + swing)}, NodeListKind::kDelta);
      if (heard && i == 18)
        rig.Feed(HealthCheckResult{1, true, 0, {}});  // our own word from it is worth more
    }
    int offered = 0;
    for (int i = 0; i < 30; ++i) {
      rig.Arrive(0, 0.01);
      ASSERT_TRUE(rig.Only<StartAttempt>());
      offered += rig.Only<StartAttempt>()->node == 1u;
    }
    EXPECT_EQ(offered > 0, heard) << offered;
  }
}

// A machine that fails one class and serves the others looks alive and ever roomier.
TEST(Health, AMachineThatFailsOneClassKeepsTheOthers) {
  for (AttemptResult ending : {AttemptResult::kError, AttemptResult::kTimedOut}) {
    Settings s = Plain();
    s.classes.push_back(s.classes[0]);
    s.max_attempts = 1;
    Rig rig(s);
    rig.View({Entry(1, 40.0)});
    const RequestId other = rig.Arrive(0);
    const RequestId failed = rig.Arrive(1);
    ASSERT_TRUE(rig.Only<StartAttempt>());
    rig.now += 100 * kMs;
    rig.Place(other, 0, 1);  // it is heard meanwhile
    rig.End(failed, 0, 1, ending);
    rig.now += kSecond;
    rig.Arrive(1);
    EXPECT_FALSE(rig.Only<StartAttempt>());
    rig.Arrive(0);
    EXPECT_TRUE(rig.Only<StartAttempt>());
    rig.now += 8 * kSecond;  // then one more try, and longer after the next failure
    const RequestId again = rig.Arrive(1);
    ASSERT_TRUE(rig.Only<StartAttempt>());
    rig.End(again, 0, 1, AttemptResult::kError);
    rig.now += 9 * kSecond;
    rig.Arrive(1);
    EXPECT_FALSE(rig.Only<StartAttempt>());
  }
}

TEST(Health, AMachineThatSendsTasksAwayGetsNoMore) {
  for (const bool placed : {true, false}) {
    Rig rig(Alone());
    rig.View({Entry(1), Entry(2, 10.0), Entry(3, 10.0)});
    const RequestId id = rig.Arrive();
    ASSERT_EQ(rig.Only<StartAttempt>()->node, 1u);
    if (placed) {
      rig.Place(id, 0, 1);
      rig.End(id, 0, 1, AttemptResult::kLost, RejectionReason::kDrained, true);
    } else {
      rig.End(id, 0, 1, AttemptResult::kRejected, RejectionReason::kNotAccepting);
    }
    rig.View({Entry(1), Entry(2, 10.0), Entry(3, 10.0)}, NodeListKind::kDelta);
    for (int i = 0; i < 5; ++i) {
      rig.now += kSecond;
      rig.Arrive(0, 0.1);
      EXPECT_NE(rig.Only<StartAttempt>()->node, 1u);
    }
    rig.now += 2 * kSecond;  // the list knows by now
    rig.Arrive(0, 0.1);
    EXPECT_EQ(rig.Only<StartAttempt>()->node, 1u);
  }
}

TEST(Health, WhenAllLookBadNobodyIsShunned) {
  Rig rig(Plain());
  rig.View({Entry(1), Entry(2)});
  for (int i = 0; i < 2; ++i) {
    const RequestId id = rig.Arrive();
    while (!rig.FinalAnswer() && rig.Only<StartAttempt>()) {
      rig.End(id, rig.Only<StartAttempt>()->attempt, rig.Only<StartAttempt>()->node,
              AttemptResult::kUnreachable);
    }
  }
  rig.Arrive();
  EXPECT_TRUE(rig.Only<StartAttempt>());
}

TEST(Health, ASlowStartIsNoSilenceWhereOnlyRunningIsTold) {
  Settings s = Plain();
  s.started_means_running = true;
  Rig rig(s);
  rig.View({Entry(1), Entry(2)});
  rig.Arrive();
  rig.BeatUntil(rig.now + 2 * kSecond);
  EXPECT_TRUE(rig.All<CancelAttempt>().empty());
}

TEST(Health, ProbesTellWhereTheyAreAllowed) {
  Settings s = Plain();
  s.started_means_running = true;
  s.may_check_health = true;
  Rig rig(s);
  rig.View({Entry(1), Entry(2)});
  rig.Arrive();
  const NodeId machine = rig.Only<StartAttempt>()->node;
  rig.BeatUntil(rig.now + 700 * kMs);
  ASSERT_EQ(rig.All<StartHealthCheck>().size(), 1u);
  EXPECT_EQ(rig.All<StartHealthCheck>()[0].node, machine);
}

// ---- The list ----

TEST(List, IsFollowedWhereItMustBeAsked) {
  Settings s = Plain();
  s.list_on_request = true;
  Rig rig(s);
  rig.View({Entry(1)}, NodeListKind::kCached);
  EXPECT_EQ(rig.All<WatchNodes>().size(), 1u);
  rig.View({}, NodeListKind::kUnavailable);
  EXPECT_TRUE(rig.All<WatchNodes>().empty());
  rig.BeatUntil(rig.now + 5 * kSecond);
  EXPECT_EQ(rig.All<WatchNodes>().size(), 1u);  // asked again, once, until it is answered
  rig.Arrive();
  EXPECT_TRUE(rig.Only<StartAttempt>());  // the earlier list remains
}

TEST(List, IsNotAskedWhereItIsPushed) {
  Rig rig(Plain());
  rig.View({Entry(1)}, NodeListKind::kCached);
  rig.BeatUntil(rig.now + 20 * kSecond);
  EXPECT_TRUE(rig.All<WatchNodes>().empty());
}

// ---- What makes no sense ----

TEST(Nonsense, UnknownEndedAndRepeatedEventsChangeNothing) {
  Rig rig(Plain());
  rig.Feed(TaskStarted{9, 0, 9, 0});
  rig.End(9, 0, 9, AttemptResult::kCompleted);
  rig.Feed(TaskCancelled{9});
  rig.Feed(TaskProgress{9, 0, 9, ProgressKind::kRunning, 0.5});
  rig.Feed(HealthCheckResult{9, true, 0, {}});
  rig.Feed(TimerFired{12345});
  EXPECT_TRUE(rig.actions.empty());
  rig.View({Entry(1)});
  const Task t = rig.Make();
  rig.Arrive(t);
  EXPECT_TRUE(rig.Only<StartAttempt>());
  rig.Arrive(t);  // told again
  EXPECT_TRUE(rig.actions.empty());
  rig.End(t.request, 3, 1, AttemptResult::kRejected);  // an attempt never made
  EXPECT_TRUE(rig.actions.empty());
}

TEST(Nonsense, SizesThatAreNoSizesAreRefused) {
  Rig rig(Plain());
  rig.View({Entry(1)});
  for (double size : {std::nan(""), -1.0, std::numeric_limits<double>::infinity()}) {
    Task t = rig.Make();
    t.cores = size;
    rig.Arrive(t);
    EXPECT_TRUE(rig.Only<RejectTask>());
    EXPECT_TRUE(rig.All<StartAttempt>().empty());
  }
  Task unknown = rig.Make(99);
  rig.Arrive(unknown);
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Nonsense, EntriesWithoutANumberAreNoRoom) {
  Rig rig(Plain());
  rig.View({Entry(1, std::nan(""), std::nan(""))});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Nonsense, TimeThatGoesBackIsTakenAsNow) {
  Rig rig(Plain());
  rig.View({Entry(1)});
  Task t = rig.Make();
  rig.now += 10 * kSecond;
  rig.Feed(TimerFired{1});
  rig.now -= 10 * kSecond;
  rig.Arrive(t);  // its deadline has passed on the clock seen before
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  EXPECT_TRUE(rig.FinalAnswer());
}

TEST(Nonsense, EmptySettings) {
  Rig rig(Settings{});
  rig.View({Entry(1)});
  rig.Arrive();
  EXPECT_TRUE(rig.Only<RejectTask>());
}

TEST(Replay, EqualSeedsAndEventsGiveEqualActions) {
  const auto run = [](std::uint64_t seed) {
    Rig rig(Plain(), seed);
    rig.View({Entry(1), Entry(2), Entry(3), Entry(11), Entry(101)});
    std::string trace;
    for (int i = 0; i < 60; ++i) {
      rig.now += 50 * kMs;
      const RequestId id = rig.Arrive(0, 0.5, static_cast<std::uint64_t>(i % 7 + 1));
      for (const StartAttempt& o : rig.All<StartAttempt>()) {
        trace += std::to_string(o.node) + " ";
        if (i % 5 == 0) rig.End(id, o.attempt, o.node, AttemptResult::kRejected, RejectionReason::kNoCores);
      }
      for (const StartAttempt& o : rig.All<StartAttempt>()) trace += std::to_string(o.node) + " ";
    }
    return trace;
  };
  EXPECT_EQ(run(3), run(3));
  EXPECT_NE(run(3), run(4));
}

// ---- Schedulers that come and go ----

// One machine, cold for a minute.
struct ColdRig : Rig {
  ColdRig() : Rig(Minute()) {
    NodeEntry cold = Entry(1);
    cold.started_at = now - kSecond;
    View({cold});
  }
  static Settings Minute() {
    Settings s = Plain();
    s.slow_start_duration = 60 * kSecond;
    return s;
  }
};

// Shares of an old and a new number must not add up: nothing goes to cold machines until all know of the
// change.
TEST(Group, AChangeIsSilentTowardsColdMachinesUntilItIsOldNewsToAll) {
  ColdRig rig;
  rig.now += 4 * kSecond;
  rig.Arrive();
  EXPECT_EQ(rig.All<StartAttempt>().size(), 1u);  // as the settings say
  rig.Feed(MembershipChange{3, 1});
  const Micros changed = rig.now;
  for (; rig.now < changed + 15 * kSecond; rig.now += kSecond) {
    rig.Arrive();
    EXPECT_TRUE(rig.All<StartAttempt>().empty()) << (rig.now - changed) / kMs;
  }
  rig.now = changed + 16 * kSecond;
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    rig.Arrive();
    sent += static_cast<int>(rig.All<StartAttempt>().size());
  }
  EXPECT_EQ(sent, 2);                // 8 borne by 3
  rig.Feed(MembershipChange{3, 1});  // told again: no change
  rig.now += 4 * kSecond;
  rig.Arrive();
  EXPECT_EQ(rig.All<StartAttempt>().size(), 1u);
}

// A lease that is renewed late, a view that comes late: doubt without any change must not cost a silence.
TEST(Group, DoubtInWhichNobodyCameOrWentEndsAtOnce) {
  ColdRig rig;
  rig.Feed(MembershipChange{3, 1});
  const auto sends = [&rig] {
    rig.now += 4 * kSecond;
    rig.Arrive();
    return rig.All<StartAttempt>().size();
  };
  EXPECT_EQ(sends(), 0u);
  rig.now += 12 * kSecond;
  EXPECT_EQ(sends(), 1u);
  rig.Feed(MembershipChange{3, -1});
  EXPECT_EQ(sends(), 0u);
  rig.Feed(MembershipChange{3, 1, ~Micros{0}, true});
  EXPECT_EQ(sends(), 1u);
  rig.Feed(MembershipChange{3, -1});
  rig.Feed(MembershipChange{3, 1, ~Micros{0}, false});  // somebody came and went
  EXPECT_EQ(sends(), 0u);
}

// Danger: a scheduler that was stopped wakes with numbers that were sure before.
TEST(Group, WhatIsSureIsSoOnlyUntilItsTime) {
  ColdRig rig;
  rig.Feed(MembershipChange{3, 1});
  rig.now += 16 * kSecond;
  rig.Feed(MembershipChange{3, 1, rig.now + kSecond, true});
  rig.Arrive();
  EXPECT_EQ(rig.All<StartAttempt>().size(), 1u);
  rig.now += 4 * kSecond;
  rig.Arrive();
  EXPECT_TRUE(rig.All<StartAttempt>().empty());
  rig.Feed(MembershipChange{3, 1, rig.now + kSecond, true});
  rig.Arrive();
  EXPECT_EQ(rig.All<StartAttempt>().size(), 1u);
}

TEST(Group, WhoIsNotSureSendsNothingToColdMachinesAndStillPlacesOnOthers) {
  Rig rig(Plain());
  NodeEntry cold = Entry(1);
  cold.started_at = rig.now - kSecond;
  rig.View({cold});
  rig.now += 4 * kSecond;
  for (const MembershipChange unsure :
       {MembershipChange{2, -1}, MembershipChange{0, 0}, MembershipChange{2, 2}}) {
    rig.Feed(unsure);
    rig.now += 1;
    rig.Arrive();
    EXPECT_TRUE(rig.All<StartAttempt>().empty());
  }
  rig.View({cold, Entry(2)});
  rig.Arrive();
  ASSERT_EQ(rig.All<StartAttempt>().size(), 1u);
  EXPECT_EQ(rig.All<StartAttempt>()[0].node, 2u);
}

}  // namespace
}  // namespace mountflow::testing
