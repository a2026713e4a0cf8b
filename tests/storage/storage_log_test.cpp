// Tests of storage::Log: a crash or an error at every file operation of a workload, damage, and snapshots.
#include <gtest/gtest.h>

#include "storage/log.hpp"
#include "tests/support/faulty_files.hpp"
#include "tests/support/log_workload.hpp"
#include "tests/support/storage_checks.hpp"

namespace mountflow::testing {
namespace {

using storage::Log;
using storage::RecoveryNotice;
using storage::StorageErrorCode;
using Unsynced = FaultyFiles::Unsynced;

// Returns the number of file operations that the workload makes when there is no fault.
std::size_t CountWorkloadCalls() {
  FaultyFiles files;
  Log log(&files, SmallLogOptions());
  LogState state;
  std::uint64_t durable = 0;
  EXPECT_TRUE(Succeeded(state.Open(&log)));
  RunWorkload(&log, &state, &durable);
  return files.calls;
}

TEST(Log, ReplaysWhatWasCommittedOverSegmentsAndSnapshots) {
  FaultyFiles files;
  std::uint64_t durable = 0;
  {
    Log log(&files, SmallLogOptions());
    LogState state;
    ASSERT_TRUE(Succeeded(state.Open(&log)));
    RunWorkload(&log, &state, &durable);
  }
  Log log(&files, SmallLogOptions());
  LogState state;
  ASSERT_TRUE(Succeeded(state.Open(&log)));
  EXPECT_EQ(durable, kWorkloadRecords);
  state.ExpectPrefixOfAtLeast(durable);
  EXPECT_EQ(log.last_sequence(), durable);
  EXPECT_GT(state.snapshot_sequence, 50u);
  EXPECT_TRUE(state.notices.empty());
  std::size_t snapshots = 0;
  for (const std::string& name : files.Names()) snapshots += name.find(".snap") != std::string::npos;
  EXPECT_EQ(snapshots, 2u);
  EXPECT_LT(files.Names().size(), 12u);  // old segments have been removed
}

// Opens the log twice after a crash. Each time expects all durable records, and commits two more.
void ExpectRecovers(FaultyFiles* files, std::uint64_t durable, std::size_t call) {
  for (int i = 0; i < 2; ++i) {
    Log log(files, SmallLogOptions());
    LogState state;
    ASSERT_TRUE(Succeeded(state.Open(&log))) << "call " << call;
    state.ExpectPrefixOfAtLeast(durable);
    EXPECT_EQ(log.last_sequence(), state.records.size());
    const std::uint64_t next = log.last_sequence() + 1;
    ASSERT_TRUE(Succeeded(log.Commit({RecordText(next), RecordText(next + 1)})));
    durable = log.last_sequence();
  }
}

// Crashes at every write, sync, rename, create, truncate and remove.
TEST(Log, LosesNothingDurableByACrashAtAnyCall) {
  const std::size_t workload_calls = CountWorkloadCalls();
  ASSERT_GT(workload_calls, 100u);
  for (const Unsynced unsynced : {Unsynced::kLost, Unsynced::kHalfRetained, Unsynced::kRetained}) {
    for (std::size_t call = 1; call <= workload_calls; ++call) {
      FaultyFiles files;
      std::uint64_t durable = 0;
      files.fault = FaultyFiles::Fault::kCrash;
      files.fault_at_call = call;
      try {
        Log log(&files, SmallLogOptions());
        LogState state;
        ASSERT_TRUE(Succeeded(state.Open(&log)));
        RunWorkload(&log, &state, &durable);
        FAIL() << "no crash at call " << call;
      } catch (const FaultyFiles::Crash&) {
      }
      files.RecoverFromCrash(unsynced);
      ExpectRecovers(&files, durable, call);
    }
  }
}

// Either one call fails, or that call and all later ones, as on a full disk. A failed commit is not
// acknowledged. If its retry succeeds, each record must be replayed once.
TEST(Log, SurvivesAnErrorAtAnyCallOrLeavesAPrefix) {
  for (const bool persistent : {false, true}) {
    for (std::size_t call = 1; call < 160; ++call) {
      FaultyFiles files;
      files.fault = FaultyFiles::Fault::kFail;
      files.fault_at_call = call;
      files.persistent = persistent;
      std::uint64_t durable = 0;
      {
        Log log(&files, SmallLogOptions());
        LogState state;
        ASSERT_TRUE(Succeeded(state.Open(&log)));
        RunWorkload(&log, &state, &durable);
        if (!persistent) {
          EXPECT_GE(durable, kWorkloadRecords) << call;
        }
      }
      for (const Unsynced unsynced : {Unsynced::kLost, Unsynced::kRetained}) {
        FaultyFiles copy = files.Clone();
        copy.RecoverFromCrash(unsynced);
        Log log(&copy, SmallLogOptions());
        LogState state;
        ASSERT_TRUE(Succeeded(state.Open(&log))) << "call " << call;
        state.ExpectPrefixOfAtLeast(durable);
      }
    }
  }
}

// A commit to a full disk is retried five times a second, possibly for a day. The retries must not fill the
// directory with segments that contain only a header.
TEST(Log, LeavesNoFilesBehindOnADiskThatStaysFull) {
  // The first attempt fails at its first file operation, and each retry at its file operation number `step`.
  // A retry that needs fewer file operations succeeds.
  for (std::size_t step = 1; step <= 8; ++step) {
    FaultyFiles files;
    std::uint64_t last = 0;
    {
      Log log(&files, SmallLogOptions());
      LogState state;
      ASSERT_TRUE(Succeeded(state.Open(&log)));
      ASSERT_TRUE(Succeeded(log.Commit({RecordText(1)})));
      files.fault = FaultyFiles::Fault::kFail;
      for (int i = 0; i < 50 && log.last_sequence() == 1; ++i) {
        files.fault_at_call = files.calls + (i == 0 ? 1 : step);
        static_cast<void>(log.Commit({RecordText(2)}));
      }
      EXPECT_LE(files.Names().size(), 3u) << step;
      last = log.last_sequence();
    }
    files.fault = FaultyFiles::Fault::kNone;
    Log log(&files, SmallLogOptions());
    LogState state;
    ASSERT_TRUE(Succeeded(state.Open(&log)));
    state.ExpectPrefixOfAtLeast(last);
  }
}

TEST(Log, RejectsARecordBeyondTheLimitBeforeAnythingIsWritten) {
  FaultyFiles files;
  Log log(&files, SmallLogOptions());
  LogState state;
  ASSERT_TRUE(Succeeded(state.Open(&log)));
  const storage::StorageStatus committed = log.Commit({std::string(1001, 'x')});
  ASSERT_FALSE(committed);
  EXPECT_EQ(committed.error().code, StorageErrorCode::kTooLarge);
  EXPECT_NE(ErrorText(committed).find("expected at most 1000"), std::string::npos);
  EXPECT_EQ(files.calls, 0u);
}

TEST(Log, RejectsASnapshotThatIsNotNewerThanTheLastOrNotDurableYet) {
  FaultyFiles files;
  Log log(&files, SmallLogOptions());
  LogState state;
  ASSERT_TRUE(Succeeded(state.Open(&log)));
  ASSERT_TRUE(Succeeded(log.Commit({RecordText(1), RecordText(2)})));
  ASSERT_TRUE(Succeeded(log.WriteSnapshot(1, "state")));
  for (const std::uint64_t sequence : {1u, 3u}) {
    const storage::StorageStatus written = log.WriteSnapshot(sequence, "state");
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().code, StorageErrorCode::kInvalidArgument);
    EXPECT_EQ(ErrorText(written),
              "expected a snapshot after sequence 1 and up to 2, found " + std::to_string(sequence));
  }
}

// A log of 20 commits in several segments. Each test damages the log and opens it again.
class LogDamage : public ::testing::Test {
 protected:
  void SetUp() override {
    Log log(&files_, SmallLogOptions());
    LogState state;
    ASSERT_TRUE(Succeeded(state.Open(&log)));
    for (std::uint64_t i = 0; i < 20; ++i)
      ASSERT_TRUE(Succeeded(log.Commit({RecordText(2 * i + 1), RecordText(2 * i + 2)})));
    segments_ = files_.Names();
    ASSERT_GE(segments_.size(), 4u);
  }
  // Opens the log, which must fail with kDamaged. Returns the text of the error.
  std::string DamageText() {
    Log log(&files_, SmallLogOptions());
    LogState state;
    const storage::StorageStatus opened = state.Open(&log);
    EXPECT_FALSE(opened);
    if (opened) return "";
    EXPECT_EQ(opened.error().code, StorageErrorCode::kDamaged);
    return ErrorText(opened);
  }
  FaultyFiles files_;
  std::vector<std::string> segments_;
};

TEST_F(LogDamage, InTheMiddleIsRejectedWithFileAndOffset) {
  std::string& data = files_.Data(segments_[1]);
  data[30] ^= 1;  // in the first frame, which begins after a header of 24 bytes
  const std::string text = DamageText();
  EXPECT_NE(text.find(segments_[1] + " at byte 24: expected a whole frame with sequence"), std::string::npos)
      << text;
  EXPECT_NE(text.find("damage, not a crash"), std::string::npos);
}

TEST_F(LogDamage, AtTheEndOfASegmentThatIsNotTheLastIsReportedAsAGap) {
  std::string& data = files_.Data(segments_[1]);
  data.resize(data.size() - 3);
  const std::string text = DamageText();
  EXPECT_NE(text.find(segments_[2] + " at byte 0: expected sequence"), std::string::npos) << text;
}

TEST_F(LogDamage, AMissingSegmentIsReportedAsAGap) {
  ASSERT_TRUE(Succeeded(files_.Remove(segments_[1])));
  EXPECT_NE(DamageText().find(segments_[2] + " at byte 0: expected sequence"), std::string::npos);
}

TEST_F(LogDamage, ATornLastFrameIsRemovedWithANotice) {
  std::string& data = files_.Data(segments_.back());
  data.resize(data.size() - 1);
  Log log(&files_, SmallLogOptions());
  LogState state;
  ASSERT_TRUE(Succeeded(state.Open(&log)));
  EXPECT_EQ(state.records.size(), 38u);
  ASSERT_EQ(state.notices.size(), 1u);
  const RecoveryNotice& notice = state.notices[0];
  EXPECT_EQ(notice.kind, RecoveryNotice::Kind::kTornCommitRemoved);
  EXPECT_EQ(notice.file, segments_.back());
  EXPECT_EQ(notice.last_sequence, 38u);
  EXPECT_EQ(notice.offset, files_.Data(segments_.back()).size());
  EXPECT_NE(Describe(notice).find("after sequence 38 was cut off"), std::string::npos) << Describe(notice);
}

TEST_F(LogDamage, OfTheNewestSnapshotFallsBackToTheOneBefore) {
  for (int i = 0; i < 2; ++i) {
    Log log(&files_, SmallLogOptions());
    LogState state;
    ASSERT_TRUE(Succeeded(state.Open(&log)));
    ASSERT_TRUE(Succeeded(log.Commit({RecordText(log.last_sequence() + 1)})));
    state.records.push_back(RecordText(log.last_sequence()));
    ASSERT_TRUE(Succeeded(log.WriteSnapshot(log.last_sequence(), state.Text())));
    ASSERT_TRUE(Succeeded(log.Commit({RecordText(log.last_sequence() + 1)})));
  }
  const std::string newest = "log-00000000000000000043.snap";
  files_.Data(newest)[40] ^= 1;
  Log log(&files_, SmallLogOptions());
  LogState state;
  ASSERT_TRUE(Succeeded(state.Open(&log)));
  EXPECT_EQ(state.snapshot_sequence, 41u);
  state.ExpectPrefixOfAtLeast(44);
  ASSERT_EQ(state.notices.size(), 1u);
  EXPECT_EQ(state.notices[0].kind, RecoveryNotice::Kind::kSnapshotSkipped);
  EXPECT_EQ(Describe(state.notices[0]), newest + ": expected a whole snapshot; the one before it is used");
}

}  // namespace
}  // namespace mountflow::testing
