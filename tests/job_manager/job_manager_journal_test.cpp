// The stored format of jobs: written records can be read, and errors describe damaged ones.
#include <gtest/gtest.h>

#include "job_manager/journal.hpp"

namespace mountflow::job_manager {
namespace {

JobSpec SpecWithUncommonValues() {
  JobSpec spec;
  spec.script = "x";
  spec.cores = 1.5;
  spec.priority = -7;
  spec.forwarded_attributes = {{"a", "b"}};
  return spec;
}

TEST(Journal, DescribesTextsThatAreNotRecords) {
  EXPECT_FALSE(ReadRecord(""));
  const auto unknown_kind = ReadRecord(std::string("\7\1\1", 3));
  ASSERT_FALSE(unknown_kind);
  EXPECT_EQ(unknown_kind.error().code, JournalErrorCode::kUnknownKind);
  EXPECT_EQ(Describe(unknown_kind.error()), "kind at byte 0: 1 to 3, not 7");
  const auto unknown_version = ReadRecord(std::string("\1\2\1", 3));
  ASSERT_FALSE(unknown_version);
  EXPECT_EQ(unknown_version.error().code, JournalErrorCode::kUnknownVersion);
  EXPECT_NE(Describe(unknown_version.error()).find("version"), std::string::npos);
  EXPECT_EQ(Describe(ReadRecord("\1").error()), "kind at byte 0: 1 to 3, not a record of 1 bytes");
}

TEST(Journal, ReportsAnUnknownStateOfAJob) {
  StateRecord state;
  std::string record = WriteState(1, state);
  ASSERT_EQ(record[3], 'Q');
  record[3] = 'X';
  const auto read = ReadRecord(record);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().code, JournalErrorCode::kUnknownState);
  EXPECT_EQ(read.error().found, 'X');
}

TEST(Journal, ReportsTheFieldAtWhichARecordIsTruncated) {
  const std::string record = WriteSpec(300, SpecWithUncommonValues());
  const auto read = ReadRecord(record.substr(0, record.size() - 1));
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().code, JournalErrorCode::kBadField);
  EXPECT_NE(Describe(read.error()).find("passed value at byte "), std::string::npos);
}

TEST(Journal, ReadsTheSpecificationThatWasWritten) {
  const JobSpec spec = SpecWithUncommonValues();
  const auto read = ReadRecord(WriteSpec(300, spec));
  ASSERT_TRUE(read) << Describe(read.error());
  EXPECT_EQ(read->kind, RecordKind::kSpec);
  EXPECT_EQ(read->job, 300u);
  EXPECT_EQ(read->spec.priority, -7);
  EXPECT_EQ(read->spec.cores, 1.5);
  EXPECT_EQ(read->spec.forwarded_attributes, spec.forwarded_attributes);
}

TEST(Journal, ReadsTheStateThatWasWritten) {
  StateRecord state;
  state.state = JobState::kExiting;
  state.answer = FinalAnswer::kStarted;
  state.exit_status = -3;
  state.comment = "text";
  state.attempts.push_back({2, AttemptPhase::kInDoubt, true, true, "node", 1, 2, 3});
  const auto read = ReadRecord(WriteState(9, state));
  ASSERT_TRUE(read) << Describe(read.error());
  EXPECT_EQ(read->state.state, JobState::kExiting);
  EXPECT_EQ(read->state.answer, FinalAnswer::kStarted);
  EXPECT_EQ(read->state.exit_status, -3);
  EXPECT_EQ(read->state.comment, "text");
  ASSERT_EQ(read->state.attempts.size(), 1u);
  EXPECT_EQ(read->state.attempts[0].phase, AttemptPhase::kInDoubt);
  EXPECT_EQ(read->state.attempts[0].node, "node");
  EXPECT_EQ(read->state.attempts[0].deadline, 3u);
}

TEST(Journal, RejectsEveryTruncatedRecordAndReadsEveryFlippedBitSafely) {
  const std::string whole = WriteSpec(300, SpecWithUncommonValues());
  for (std::size_t i = 0; i < whole.size(); ++i) {
    EXPECT_FALSE(ReadRecord(whole.substr(0, i))) << i;
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = whole;
      changed[i] = static_cast<char>(changed[i] ^ (1 << bit));
      (void)ReadRecord(changed);
    }
  }
}

TEST(Journal, SplitsASnapshotAndRejectsATruncatedOne) {
  std::string snapshot;
  JoinRecord("first", &snapshot);
  JoinRecord(std::string(200, 'x'), &snapshot);
  std::vector<std::string> records;
  const auto collect = [&records](std::string_view record) {
    records.emplace_back(record);
    return true;
  };
  EXPECT_TRUE(ForEachRecord(snapshot, collect));
  EXPECT_EQ(records, (std::vector<std::string>{"first", std::string(200, 'x')}));
  EXPECT_FALSE(ForEachRecord(snapshot.substr(0, snapshot.size() - 1), collect));
  EXPECT_FALSE(ForEachRecord(snapshot, [](std::string_view) { return false; }));
}

}  // namespace
}  // namespace mountflow::job_manager
