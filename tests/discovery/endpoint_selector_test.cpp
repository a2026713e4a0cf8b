// Tests of the selection of the next read and of the delays after failures.
#include "discovery/endpoint_selector.hpp"

#include <gtest/gtest.h>

namespace mountflow::discovery {
namespace {

constexpr Micros kStart = 1'000'000'000;

EndpointSelector MakeSelector(std::size_t endpoints) {
  EndpointSelectorOptions options;
  options.endpoint_count = endpoints;
  options.backoff.jitter = 0.0;
  return {options, 1};
}

// Returns a selector that is following endpoint 0 from revision 10.
EndpointSelector MakeFollower(std::size_t endpoints) {
  EndpointSelector selector = MakeSelector(endpoints);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kFull);
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kFollow);
  return selector;
}

TEST(ExponentialDelay, DoublesWithEachFailureUpToItsBound) {
  EXPECT_EQ(ExponentialDelay(200, 5'000, 0), 200u);
  EXPECT_EQ(ExponentialDelay(200, 5'000, 1), 400u);
  EXPECT_EQ(ExponentialDelay(200, 5'000, 4), 3'200u);
  EXPECT_EQ(ExponentialDelay(200, 5'000, 5), 5'000u);
  EXPECT_EQ(ExponentialDelay(200, 5'000, 4'000'000'000), 5'000u);
}

TEST(Backoff, AddsAtMostTheConfiguredJitterToEachDelay) {
  Backoff backoff({1'000, 1'000, 0.25}, 7);
  Micros shortest = ~Micros{0}, longest = 0;
  for (int i = 0; i < 1'000; ++i) {
    const Micros delay = backoff.NextDelay();
    shortest = std::min(shortest, delay), longest = std::max(longest, delay);
  }
  EXPECT_GE(shortest, 1'000u);
  EXPECT_LT(shortest, 1'010u);
  EXPECT_GT(longest, 1'240u);
  EXPECT_LT(longest, 1'250u);
}

TEST(Backoff, StartsOverAfterAReset) {
  Backoff backoff({200, 5'000, 0.0}, 7);
  EXPECT_EQ(backoff.NextDelay(), 200u);
  EXPECT_EQ(backoff.NextDelay(), 400u);
  EXPECT_EQ(backoff.failures(), 2u);
  backoff.Reset();
  EXPECT_EQ(backoff.failures(), 0u);
  EXPECT_EQ(backoff.NextDelay(), 200u);
}

TEST(EndpointSelector, ReadsAllThenFollowsFromThatRevision) {
  EndpointSelector selector = MakeSelector(2);
  const ReadStep full = selector.StartNextRead(kStart);
  EXPECT_EQ(full.kind, ReadKind::kFull);
  EXPECT_EQ(full.endpoint, 0u);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kNone);  // one read at a time
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  const ReadStep follow = selector.StartNextRead(kStart);
  EXPECT_EQ(follow.kind, ReadKind::kFollow);
  EXPECT_EQ(follow.after_revision, 10u);
}

TEST(EndpointSelector, ResumesAFirstFailureImmediatelyAtTheSameEndpoint) {
  EndpointSelector selector = MakeFollower(2);
  selector.OnProgress(kStart, 12);
  selector.OnConnectionFailure(kStart);
  const ReadStep resumed = selector.StartNextRead(kStart);
  EXPECT_EQ(resumed.kind, ReadKind::kFollow);
  EXPECT_EQ(resumed.endpoint, 0u);
  EXPECT_EQ(resumed.after_revision, 12u);
}

TEST(EndpointSelector, WaitsAndMovesOnToTheNextEndpointAfterASecondFailure) {
  EndpointSelector selector = MakeFollower(2);
  selector.OnConnectionFailure(kStart);
  EXPECT_EQ(selector.StartNextRead(kStart).endpoint, 0u);
  selector.OnConnectionFailure(kStart);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kNone);
  const Micros next = selector.NextTimer();
  EXPECT_EQ(next, kStart + 400'000);
  EXPECT_EQ(selector.StartNextRead(next).endpoint, 1u);
}

TEST(EndpointSelector, LeavesARejectingEndpointAfterTheFirstRejection) {
  EndpointSelector selector = MakeFollower(3);
  selector.OnRejection(kStart);
  EXPECT_EQ(selector.NextTimer(), kStart + 200'000);
  EXPECT_EQ(selector.StartNextRead(kStart + 200'000).endpoint, 1u);
}

TEST(EndpointSelector, TreatsSilenceBeyondTheTimeoutAsAFailure) {
  EndpointSelector selector = MakeFollower(1);
  const Micros timeout = EndpointSelectorOptions{}.follow_timeout;
  EXPECT_FALSE(selector.IsOverdue(kStart + timeout - 1));
  EXPECT_TRUE(selector.IsOverdue(kStart + timeout));
  selector.NoteActivity(kStart + timeout - 1);
  EXPECT_FALSE(selector.IsOverdue(kStart + timeout));
}

TEST(EndpointSelector, ReadsAllAfterACompaction) {
  EndpointSelector selector = MakeFollower(1);
  selector.OnCompaction(kStart);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kFull);
  EXPECT_EQ(selector.revision(), 10u);  // an older revision is still detected
}

TEST(EndpointSelector, RejectsTheFullReadOfAnEndpointThatIsBehind) {
  EndpointSelector selector = MakeFollower(3);
  selector.OnRejection(kStart);
  selector.RequestFullRead(selector.NextTimer());
  const Micros now = selector.NextTimer();
  EXPECT_EQ(selector.StartNextRead(now).endpoint, 1u);
  EXPECT_EQ(selector.OnFullRead(now, 9), ReadVerdict::kBehind);
  EXPECT_EQ(selector.revision(), 10u);
  EXPECT_EQ(selector.StartNextRead(selector.NextTimer()).endpoint, 2u);
}

TEST(EndpointSelector, AcceptsAnOlderRevisionOfTheEndpointThatServedTheNewest) {
  EndpointSelector selector = MakeFollower(3);
  selector.OnCompaction(kStart);
  EXPECT_EQ(selector.StartNextRead(kStart).endpoint, 0u);
  EXPECT_EQ(selector.OnFullRead(kStart, 4), ReadVerdict::kNewHistory);
  EXPECT_EQ(selector.revision(), 4u);
}

TEST(EndpointSelector, AcceptsAnOlderRevisionWhenEveryEndpointServesOne) {
  EndpointSelector selector = MakeSelector(2);
  EXPECT_EQ(selector.StartNextRead(kStart).endpoint, 0u);
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  selector.RequestFullRead(kStart);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kFull);
  selector.OnRejection(kStart);
  Micros now = selector.NextTimer();
  EXPECT_EQ(selector.StartNextRead(now).endpoint, 1u);
  EXPECT_EQ(selector.OnFullRead(now, 5), ReadVerdict::kBehind);
  now = selector.NextTimer();
  EXPECT_EQ(selector.StartNextRead(now).endpoint, 0u);
  EXPECT_EQ(selector.OnFullRead(now, 6), ReadVerdict::kNewHistory);
}

// Guards against a restore between two reads that goes unnoticed during a long blocking read.
TEST(EndpointSelector, ABlockingReadIsBriefUntilOneConfirmedTheRevision) {
  EndpointSelector selector = MakeSelector(1);
  EXPECT_FALSE(selector.StartNextRead(kStart).is_brief) << "a full read does not block";
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  EXPECT_TRUE(selector.StartNextRead(kStart).is_brief);
  EXPECT_EQ(selector.OnFullRead(kStart, 11), ReadVerdict::kAccepted);
  EXPECT_TRUE(selector.StartNextRead(kStart).is_brief) << "the revision moved";
  EXPECT_EQ(selector.OnFullRead(kStart, 11), ReadVerdict::kAccepted);
  EXPECT_FALSE(selector.StartNextRead(kStart).is_brief);
  EXPECT_EQ(selector.OnFullRead(kStart, 11), ReadVerdict::kAccepted);
  EXPECT_FALSE(selector.StartNextRead(kStart).is_brief);
  EXPECT_EQ(selector.OnFullRead(kStart, 4), ReadVerdict::kNewHistory);
  EXPECT_TRUE(selector.StartNextRead(kStart).is_brief);
}

TEST(EndpointSelector, ABlockingReadIsBriefAfterAFailureAndAfterARepeatedFullRead) {
  EndpointSelector selector = MakeFollower(1);
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  EXPECT_FALSE(selector.StartNextRead(kStart).is_brief);
  selector.OnConnectionFailure(kStart);
  EXPECT_TRUE(selector.StartNextRead(kStart).is_brief);
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  selector.RequestFullRead(kStart);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kFull);
  EXPECT_EQ(selector.OnFullRead(kStart, 10), ReadVerdict::kAccepted);
  EXPECT_TRUE(selector.StartNextRead(kStart).is_brief);
}

TEST(EndpointSelector, ForgetsRevisionsOfAnotherCluster) {
  EndpointSelector selector = MakeFollower(1);
  selector.OnNewHistory(kStart);
  EXPECT_EQ(selector.revision(), 0u);
  EXPECT_EQ(selector.StartNextRead(kStart).kind, ReadKind::kFull);
  EXPECT_EQ(selector.OnFullRead(kStart, 2), ReadVerdict::kAccepted);
}

}  // namespace
}  // namespace mountflow::discovery
