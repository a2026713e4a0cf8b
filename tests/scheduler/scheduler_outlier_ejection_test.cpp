// Tests that nodes that look faulty get no attempts.
#include <gtest/gtest.h>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(OutlierEjection, EjectsAnUnreachableNode) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 20.0), MakeNodeEntry(3, 20.0)});
  const RequestId id = fixture.Submit();
  ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  fixture.ReportEnded(id, 0, 1, AttemptResult::kUnreachable);
  for (int i = 0; i < 5; ++i) {
    fixture.Submit();
    EXPECT_NE(fixture.OnlyAction<StartAttempt>()->node, 1u);
  }
}

TEST(OutlierEjection, GivesANodeWithFailuresOneAttemptAtATime) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 10.0), MakeNodeEntry(3, 10.0)});
  const RequestId id = fixture.Submit();
  ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  fixture.ReportEnded(id, 0, 1, AttemptResult::kUnreachable);
  fixture.now += 10 * kSecond;
  int there = 0;
  for (int i = 0; i < 6; ++i) {
    fixture.Submit();
    there += fixture.OnlyAction<StartAttempt>()->node == 1u;
  }
  EXPECT_EQ(there, 1);
}

// A hung node immediately rejects attempts because its queue is full, and looks emptier with each second.
TEST(OutlierEjection, TreatsAFullQueueAsAFailure) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 25.0), MakeNodeEntry(3, 25.0)});
  int there = 0;
  for (int i = 0; i < 40; ++i) {
    fixture.now += 50 * kMillisecond;
    const RequestId id = fixture.Submit(0, 0.1);
    ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
    if (fixture.OnlyAction<StartAttempt>()->node != 1u) continue;
    ++there;
    fixture.ReportEnded(id, 0, 1, AttemptResult::kRejected, RejectionReason::kQueueFull);
    ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
    EXPECT_NE(fixture.OnlyAction<StartAttempt>()->node, 1u);
  }
  EXPECT_LE(there, 2);
}

// A hung node neither starts nor ends tasks, and looks emptier than the nodes that fill up. All schedulers
// can see this in the node list.
TEST(OutlierEjection, SkipsALoadedNodeWhoseListEntryDoesNotChange) {
  for (const bool is_alive : {false, true}) {
    Settings settings = DefaultSettings();
    settings.group_size = 100;
    SchedulerFixture fixture(settings);
    fixture.UpdateNodes({MakeNodeEntry(1, 30.0), MakeNodeEntry(2, 30.0), MakeNodeEntry(3, 30.0)});
    for (int i = 0; i < 20; ++i) {  // others start and end tasks on the other two
      fixture.now += kSecond;
      const double swing = i % 2 == 0 ? 2.0 : 0.0;
      fixture.UpdateNodes({MakeNodeEntry(2, 26.0 - swing), MakeNodeEntry(3, 24.0 + swing)},
                          NodeListKind::kDelta);
      if (is_alive && i == 18)
        fixture.Handle(HealthCheckResult{1, true, 0, {}});  // a response to this scheduler takes precedence
    }
    int sent_there = 0;
    for (int i = 0; i < 30; ++i) {
      fixture.Submit(0, 0.01);
      ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
      sent_there += fixture.OnlyAction<StartAttempt>()->node == 1u;
    }
    EXPECT_EQ(sent_there > 0, is_alive) << sent_there;
  }
}

// A node that fails one class and serves the others responds, and looks emptier and emptier.
TEST(OutlierEjection, EjectsANodeOnlyForTheClassThatItFails) {
  for (AttemptResult result : {AttemptResult::kError, AttemptResult::kTimedOut}) {
    Settings settings = DefaultSettings();
    settings.classes.push_back(settings.classes[0]);
    settings.max_attempts = 1;
    SchedulerFixture fixture(settings);
    fixture.UpdateNodes({MakeNodeEntry(1, 40.0)});
    const RequestId other = fixture.Submit(0);
    const RequestId failed = fixture.Submit(1);
    ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
    fixture.now += 100 * kMillisecond;
    fixture.ReportStarted(other, 0, 1);  // a response in the meantime
    fixture.ReportEnded(failed, 0, 1, result);
    fixture.now += kSecond;
    fixture.Submit(1);
    EXPECT_FALSE(fixture.OnlyAction<StartAttempt>());
    fixture.Submit(0);
    EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
    fixture.now += 8 * kSecond;  // then one more attempt; the next ejection is longer
    const RequestId again = fixture.Submit(1);
    ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
    fixture.ReportEnded(again, 0, 1, AttemptResult::kError);
    fixture.now += 9 * kSecond;
    fixture.Submit(1);
    EXPECT_FALSE(fixture.OnlyAction<StartAttempt>());
  }
}

// A node that starts to drain empties quickly, and would get all attempts until the list shows that it is
// draining.
TEST(OutlierEjection, SkipsANodeThatEvictsTasksOrAcceptsNone) {
  for (const bool accepted : {true, false}) {
    SchedulerFixture fixture(SingleSchedulerSettings());
    fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 10.0), MakeNodeEntry(3, 10.0)});
    const RequestId id = fixture.Submit();
    ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
    if (accepted) {
      fixture.ReportStarted(id, 0, 1);
      fixture.ReportEnded(id, 0, 1, AttemptResult::kLost, RejectionReason::kDrained, true);
    } else {
      fixture.ReportEnded(id, 0, 1, AttemptResult::kRejected, RejectionReason::kNotAccepting);
    }
    fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2, 10.0), MakeNodeEntry(3, 10.0)},
                        NodeListKind::kDelta);
    for (int i = 0; i < 5; ++i) {
      fixture.now += kSecond;
      fixture.Submit(0, 0.1);
      EXPECT_NE(fixture.OnlyAction<StartAttempt>()->node, 1u);
    }
    fixture.now += 2 * kSecond;  // the list would show it by now
    fixture.Submit(0, 0.1);
    EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 1u);
  }
}

TEST(OutlierEjection, EjectsNoNodeWhenMostLookFaulty) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  for (int i = 0; i < 2; ++i) {
    const RequestId id = fixture.Submit();
    while (!fixture.HasFinalAnswer() && fixture.OnlyAction<StartAttempt>()) {
      fixture.ReportEnded(id, fixture.OnlyAction<StartAttempt>()->attempt,
                          fixture.OnlyAction<StartAttempt>()->node, AttemptResult::kUnreachable);
    }
  }
  fixture.Submit();
  EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
}

TEST(OutlierEjection, DoesNotTreatALateStartAsSilenceWhereOnlyStartsAreReported) {
  Settings settings = DefaultSettings();
  settings.started_means_running = true;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  fixture.Submit();
  fixture.TickUntil(fixture.now + 2 * kSecond);
  EXPECT_TRUE(fixture.AllActions<CancelAttempt>().empty());
}

TEST(OutlierEjection, StartsAHealthCheckWhereAllowed) {
  Settings settings = DefaultSettings();
  settings.started_means_running = true;
  settings.may_check_health = true;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  fixture.Submit();
  const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
  fixture.TickUntil(fixture.now + 700 * kMillisecond);
  ASSERT_EQ(fixture.AllActions<StartHealthCheck>().size(), 1u);
  EXPECT_EQ(fixture.AllActions<StartHealthCheck>()[0].node, node);
}

}  // namespace
}  // namespace mountflow::testing
