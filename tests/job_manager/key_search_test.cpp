// Key searches for repeated submissions, whose job another daemon may have started.
#include "job_manager/key_search.hpp"

#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

class KeySearchTest : public JobManagerTest {};

// ---- KeySearch and KeySearches ----

TEST(KeySearch, IsConclusiveOnceARoundAfterTheHorizonWasAnsweredByAll) {
  KeySearch search(100);
  search.BeginRound(99, {1, 2});
  search.RecordAbsent(1);
  search.RecordAbsent(2);
  EXPECT_FALSE(search.IsConclusive());  // the job may have been started since this round began
  search.BeginRound(100, {1, 2});
  EXPECT_FALSE(search.IsConclusive());  // earlier answers do not count
  search.RecordAbsent(1);
  EXPECT_FALSE(search.IsConclusive());
  search.RecordAbsent(2);
  EXPECT_TRUE(search.IsConclusive());
}

TEST(KeySearch, DoesNotWaitForNodesThatLeftButForOneAtLeast) {
  KeySearch search(0);
  search.BeginRound(1, {1, 2});
  search.RecordAbsent(1);
  search.RemoveNodesIf([](NodeId node) { return node == 2; });
  EXPECT_TRUE(search.IsConclusive());
  search.RemoveNodesIf([](NodeId) { return true; });
  EXPECT_FALSE(search.IsConclusive());
}

TEST(KeySearches, HoldOneSearchPerJob) {
  KeySearches searches;
  EXPECT_EQ(searches.Find(1), nullptr);
  searches.Start(1, 10);
  searches.Start(1, 20);
  ASSERT_NE(searches.Find(1), nullptr);
  EXPECT_EQ(searches.Find(1)->horizon(), 20u);
  searches.Stop(1);
  EXPECT_EQ(searches.Find(1), nullptr);
}

// ---- Key searches of the job manager ----

TEST_F(KeySearchTest, AnswersARepeatWithTheEarlierStartThatANodeReports) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kWithKey, spec.queue = "keyed", spec.key = "k", spec.repeat = true;
  spec.earlier_until = fixture.now + 5 * kSecond;
  const std::uint64_t job = fixture.Submit(spec);
  EXPECT_EQ(fixture.Job(job).state, JobState::kWaiting);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());
  const auto finds = fixture.All<FindKey>();
  ASSERT_EQ(finds.size(), 3u);
  for (const FindKey& find : finds) EXPECT_EQ(find.user + "/" + find.key, "thandi/k");
  FindKeyAnswered found;
  found.node = finds[0].node, found.job = job, found.key = "k", found.reached = true, found.found = true;
  found.attempt = {77, 1}, found.server = "d9";
  fixture.Take(found);
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kStarted);
  EXPECT_NE(fixture.Job(job).comment.find("77.d9"), std::string::npos);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());
}

TEST_F(KeySearchTest, RequestsARepeatOnlyOnceNoOtherDaemonCanStartIt) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kWithKey, spec.queue = "keyed", spec.key = "k", spec.repeat = true;
  spec.earlier_until = fixture.now + 3 * kSecond;
  const Micros start = fixture.now;
  const std::uint64_t job = fixture.Submit(spec);
  Micros requested_at = 0;
  for (int i = 0; i < 70 && requested_at == 0; ++i) {
    for (const auto& f : fixture.All<FindKey>()) {
      FindKeyAnswered none;
      none.node = f.node, none.job = job, none.key = "k", none.reached = true;
      NodeMessage m = none;
      fixture.job_manager.HandleNodeMessage(fixture.now, m);
    }
    fixture.Clear();
    fixture.Run(fixture.now + 100 * kMs);
    if (!fixture.All<PrepareAttempt>().empty()) requested_at = fixture.now;
  }
  ASSERT_NE(requested_at, 0u);
  EXPECT_GE(requested_at, start + 4 * kSecond);  // the end of the earlier submission and the clock difference
  EXPECT_LE(requested_at, start + 6 * kSecond);
}

TEST_F(KeySearchTest, RejectsARepeatInTimeIfANodeCannotBeReached) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kNotIdempotent, spec.queue = "unsafe", spec.key = "k",
  spec.repeat = true;
  spec.earlier_until = fixture.now + kSecond;
  const Micros start = fixture.now;
  const std::uint64_t job = fixture.Submit(spec);
  fixture.Run(start + 9 * kSecond);
  EXPECT_EQ(fixture.Job(job).answer, FinalAnswer::kRejected);
  EXPECT_TRUE(fixture.All<PrepareAttempt>().empty());
  EXPECT_LE(fixture.Job(job).ended, start + 8 * kSecond + 300 * kMs);
}

}  // namespace
}  // namespace mountflow::testing
