#include "job_manager/job_journal.hpp"

#include <gtest/gtest.h>

#include "job_manager/journal.hpp"

namespace mountflow::job_manager {
namespace {

class JobJournalTest : public ::testing::Test {
 protected:
  JobJournalTest() : jobs({10, 100}, 0), nodes(1) {
    for (std::uint64_t number = 1; number <= 2; ++number) {
      jobs.FindOrCreate(number).spec = std::make_unique<JobSpec>();
    }
    nodes.FindOrCreate(7).listed.name = "node";
  }
  static std::vector<RecordKind> KindsOf(const std::vector<std::string>& records) {
    std::vector<RecordKind> kinds;
    for (const std::string& record : records) kinds.push_back(ReadRecord(record)->kind);
    return kinds;
  }

  JobTable jobs;
  NodeTable nodes;
};

TEST_F(JobJournalTest, WritesEachChangedJobOnceSpecificationsFirst) {
  JobJournal journal(true);
  journal.MarkStateChanged(1);
  journal.MarkStateChanged(1);
  journal.MarkSpecChanged(2);
  journal.MarkForgotten(3);
  EXPECT_EQ(KindsOf(journal.TakeRecords(jobs, nodes)),
            (std::vector<RecordKind>{RecordKind::kSpec, RecordKind::kState, RecordKind::kForgotten}));
  EXPECT_TRUE(journal.TakeRecords(jobs, nodes).empty());
}

TEST_F(JobJournalTest, WritesNothingElseOfAForgottenJob) {
  JobJournal journal(true);
  journal.MarkStateChanged(1);
  journal.MarkSpecChanged(1);
  journal.MarkForgotten(1);
  EXPECT_EQ(KindsOf(journal.TakeRecords(jobs, nodes)), (std::vector<RecordKind>{RecordKind::kForgotten}));
}

TEST_F(JobJournalTest, TracksNothingWithoutDurability) {
  JobJournal journal(false);
  journal.MarkStateChanged(1);
  journal.MarkSpecChanged(1);
  journal.MarkForgotten(2);
  EXPECT_TRUE(journal.TakeRecords(jobs, nodes).empty());
}

TEST_F(JobJournalTest, WritesTheNamesOfTheNodesOfAttempts) {
  JobJournal journal(true);
  Attempt attempt;
  attempt.number = 4;
  attempt.node = 7;
  jobs.Find(1)->attempts.push_back(attempt);
  journal.MarkStateChanged(1);
  const auto records = journal.TakeRecords(jobs, nodes);
  ASSERT_EQ(records.size(), 1u);
  const auto record = ReadRecord(records[0]);
  ASSERT_TRUE(record);
  ASSERT_EQ(record->state.attempts.size(), 1u);
  EXPECT_EQ(record->state.attempts[0].number, 4u);
  EXPECT_EQ(record->state.attempts[0].node, "node");
}

TEST_F(JobJournalTest, WritesAllJobsToASnapshot) {
  std::vector<std::string> records;
  ASSERT_TRUE(ForEachRecord(JobJournal::Snapshot(jobs, nodes), [&records](std::string_view record) {
    records.emplace_back(record);
    return true;
  }));
  EXPECT_EQ(KindsOf(records), (std::vector<RecordKind>{RecordKind::kSpec, RecordKind::kState,
                                                       RecordKind::kSpec, RecordKind::kState}));
}

}  // namespace
}  // namespace mountflow::job_manager
