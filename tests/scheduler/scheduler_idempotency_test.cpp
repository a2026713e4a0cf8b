// Tests rule 2: no task takes effect twice.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "tests/support/scheduler_fixture.hpp"

namespace mountflow::testing {
namespace {

Settings WithKeySettings(DeduplicationScope scope) {
  Settings settings = DefaultSettings();
  settings.classes[0].idempotency = Idempotency::kWithKey;
  settings.classes[0].deduplication_scope = scope;
  return settings;
}

TEST(Idempotency, NonIdempotentTaskIsNeitherRetriedNorRejectedOnceItMayHaveRun) {
  for (AttemptResult result :
       {AttemptResult::kError, AttemptResult::kTimedOut, AttemptResult::kLost, AttemptResult::kCancelled}) {
    Settings settings = DefaultSettings();
    settings.classes[0].idempotency = Idempotency::kNotIdempotent;
    SchedulerFixture fixture(settings);
    fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
    const RequestId id = fixture.Submit();
    fixture.ReportEnded(id, 0, fixture.OnlyAction<StartAttempt>()->node, result);
    EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
    EXPECT_TRUE(fixture.AllActions<RejectTask>().empty());
    EXPECT_TRUE(fixture.OnlyAction<FailTask>());
  }
}

TEST(Idempotency, NonIdempotentTaskIsRetriedWhereItCertainlyDidNotRun) {
  for (AttemptResult result : {AttemptResult::kRejected, AttemptResult::kUnreachable}) {
    Settings settings = DefaultSettings();
    settings.classes[0].idempotency = Idempotency::kNotIdempotent;
    SchedulerFixture fixture(settings);
    fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
    const RequestId id = fixture.Submit();
    fixture.ReportEnded(id, 0, fixture.OnlyAction<StartAttempt>()->node, result);
    EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
  }
}

TEST(Idempotency, TaskWithKeyIsRetriedOnlyWithinItsDeduplicationScope) {
  // Nodes 1 and 2 share a rack, 11 is in another rack of the same zone, and 101 is in another zone.
  const auto second = [](DeduplicationScope scope, std::vector<NodeEntry> nodes) -> std::optional<NodeId> {
    SchedulerFixture fixture(WithKeySettings(scope));
    fixture.UpdateNodes({MakeNodeEntry(1)});
    const RequestId id = fixture.Submit();
    nodes.push_back(MakeNodeEntry(1, 0.0));  // the first node is full by now
    fixture.UpdateNodes(nodes);
    fixture.ReportEnded(id, 0, 1, AttemptResult::kTimedOut);
    if (fixture.OnlyAction<StartAttempt>()) return fixture.OnlyAction<StartAttempt>()->node;
    EXPECT_TRUE(fixture.HasFinalAnswer());
    EXPECT_EQ(fixture.AllActions<FailTask>().empty(), scope == DeduplicationScope::kAll);
    return std::nullopt;
  };
  EXPECT_EQ(
      second(DeduplicationScope::kRack, {MakeNodeEntry(2, 20.0), MakeNodeEntry(11), MakeNodeEntry(101)}), 2u);
  EXPECT_EQ(second(DeduplicationScope::kRack, {MakeNodeEntry(11), MakeNodeEntry(101)}), std::nullopt);
  EXPECT_EQ(second(DeduplicationScope::kZone, {MakeNodeEntry(11, 20.0), MakeNodeEntry(101)}), 11u);
  EXPECT_EQ(second(DeduplicationScope::kZone, {MakeNodeEntry(101)}), std::nullopt);
  EXPECT_EQ(second(DeduplicationScope::kAll, {MakeNodeEntry(101)}), 101u);
  EXPECT_EQ(second(DeduplicationScope::kAll, {}), std::nullopt);
}

// Guards against a node record that is deleted while a retry is still bound to its rack, or that is never
// deleted.
TEST(Idempotency, RecordOfAGoneNodeIsRetainedForAnHourForRetries) {
  constexpr Micros kMinute = 60 * kSecond;
  for (const Micros gone_for : {59 * kMinute, 61 * kMinute}) {
    Settings settings = WithKeySettings(DeduplicationScope::kRack);
    settings.classes[0].deduplication_window = 120 * kMinute;
    SchedulerFixture fixture(settings);
    fixture.UpdateNodes({MakeNodeEntry(1)});
    Task task = fixture.MakeTask();
    task.deadline = fixture.now + 120 * kMinute;
    const RequestId id = fixture.Submit(task);
    fixture.UpdateNodes({MakeNodeEntry(1, 0.0), MakeNodeEntry(2), MakeNodeEntry(11)});
    fixture.ReportEnded(id, 0, 1, AttemptResult::kTimedOut);
    ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
    ASSERT_EQ(fixture.OnlyAction<StartAttempt>()->node, 2u);
    fixture.UpdateNodes({MakeNodeEntry(2), MakeNodeEntry(3), MakeNodeEntry(11)});
    fixture.now += gone_for;
    fixture.UpdateNodes({MakeNodeEntry(2, 0.0), MakeNodeEntry(3), MakeNodeEntry(11)});
    fixture.ReportEnded(id, 1, 2, AttemptResult::kRejected, RejectionReason::kNoCores);
    if (gone_for < 60 * kMinute) {
      ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
      EXPECT_EQ(fixture.OnlyAction<StartAttempt>()->node, 3u) << "in the rack of node 1";
    } else {
      EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
      EXPECT_TRUE(fixture.HasFinalAnswer());
    }
  }
}

TEST(Idempotency, TaskWithKeyIsRetriedOnlyWithinItsDeduplicationWindow) {
  for (const Micros age : {5 * kSecond - 1, 5 * kSecond}) {
    SchedulerFixture fixture(WithKeySettings(DeduplicationScope::kRack));
    fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
    const RequestId id = fixture.Submit();
    const NodeId first = fixture.OnlyAction<StartAttempt>()->node;
    fixture.now += age;
    fixture.Handle(HealthCheckResult{first == 1 ? 2u : 1u, true, 0, {}});
    fixture.ReportEnded(id, 0, first, AttemptResult::kTimedOut);
    if (age < 5 * kSecond) {
      EXPECT_TRUE(fixture.OnlyAction<StartAttempt>());
    } else {
      EXPECT_TRUE(fixture.OnlyAction<FailTask>());
      EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
    }
  }
}

TEST(Idempotency, CancelsASilentAttemptBeforeTheNextOne) {
  SchedulerFixture fixture(DefaultSettings());
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2), MakeNodeEntry(3)});
  const RequestId id = fixture.Submit();
  const NodeId node = fixture.OnlyAction<StartAttempt>()->node;
  fixture.TickUntil(fixture.now + 5 * kSecond);  // the node is silent: the attempt is cancelled first
  EXPECT_TRUE(fixture.AllActions<StartAttempt>().empty());
  ASSERT_EQ(fixture.AllActions<CancelAttempt>().size(), 1u);
  EXPECT_EQ(fixture.AllActions<CancelAttempt>()[0].request, id);
  fixture.ReportEnded(id, 0, node, AttemptResult::kCancelled);
  ASSERT_TRUE(fixture.OnlyAction<StartAttempt>());
  EXPECT_NE(fixture.OnlyAction<StartAttempt>()->node, node);
}

TEST(Idempotency, DoesNotCancelAnAttemptOfANonIdempotentTask) {
  Settings settings = DefaultSettings();
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  SchedulerFixture fixture(settings);
  fixture.UpdateNodes({MakeNodeEntry(1), MakeNodeEntry(2)});
  fixture.Submit();
  fixture.TickUntil(fixture.now + 7 * kSecond);
  EXPECT_TRUE(fixture.AllActions<CancelAttempt>().empty());
}

}  // namespace
}  // namespace mountflow::testing
