// The log: a crash or an error at every call of a run, damage, snapshots.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "storage/gate.hpp"
#include "storage/log.hpp"
#include "tests/support/faulty_files.hpp"

namespace mountflow::testing {
namespace {

using storage::Log;
using storage::LogOptions;

LogOptions Small() {
  LogOptions o;
  o.segment_bytes = 300;  // several commits each
  o.most_record = 1000;
  return o;
}

std::string Record(std::uint64_t sequence) {
  return "record " + std::to_string(sequence) + std::string(sequence % 40, '.');
}

// The state is the list of all records; a snapshot is that list.
struct State {
  std::vector<std::string> records;
  std::vector<std::string> told;
  std::uint64_t snapshot_at = 0;
  std::string error;

  bool Open(Log* log) {
    storage::Replay replay;
    replay.snapshot = [this](std::uint64_t at, std::string_view state) {
      snapshot_at = at;
      for (std::size_t from = 0, end; (end = state.find('\n', from)) != std::string_view::npos;
           from = end + 1)
        records.emplace_back(state.substr(from, end - from));
    };
    replay.record = [this](std::uint64_t sequence, std::string_view record) {
      EXPECT_EQ(sequence, records.size() + 1);
      records.emplace_back(record);
    };
    return log->Open(replay, &told, &error);
  }
  std::string Text() const {
    std::string text;
    for (const std::string& r : records) text += r + "\n";
    return text;
  }
  void ExpectWhole(std::uint64_t at_least) const {
    EXPECT_GE(records.size(), at_least);
    for (std::size_t i = 0; i < records.size(); ++i) EXPECT_EQ(records[i], Record(i + 1));
  }
};

// Thirty commits of one to four records, three snapshots. `durable` is what a caller was told is safe. A
// commit that fails is tried again with more records; ends when it failed for the last time.
void Play(Log* log, State* state, std::uint64_t* durable, int tries = 3) {
  std::vector<std::string> pending;
  std::string error;
  for (int i = 0; i < 30; ++i) {
    for (int k = 0; k <= i % 4; ++k) pending.push_back(Record(state->records.size() + pending.size() + 1));
    bool good = false;
    for (int t = 0; t < tries && !good; ++t) {
      good = log->Commit(pending, &error);
      if (!good) pending.push_back(Record(state->records.size() + pending.size() + 1));
    }
    if (!good) return;
    for (std::string& r : pending) state->records.push_back(std::move(r));
    pending.clear();
    *durable = log->last();
    EXPECT_EQ(*durable, state->records.size());
    if (i % 9 == 8)
      log->Snapshot(log->last(), state->Text(), &error);  // a failed one is only a longer replay
  }
}

TEST(Log, ReplaysWhatWasCommittedOverSegmentsAndSnapshots) {
  FaultyFiles files;
  std::uint64_t durable = 0;
  {
    Log log(&files, Small());
    State state;
    ASSERT_TRUE(state.Open(&log)) << state.error;
    Play(&log, &state, &durable);
  }
  Log log(&files, Small());
  State state;
  ASSERT_TRUE(state.Open(&log)) << state.error;
  EXPECT_EQ(durable, 73u);
  state.ExpectWhole(durable);
  EXPECT_EQ(log.last(), durable);
  EXPECT_GT(state.snapshot_at, 50u);
  EXPECT_TRUE(state.told.empty());
  std::size_t snapshots = 0;
  for (const std::string& name : files.Names()) snapshots += name.find(".snap") != std::string::npos;
  EXPECT_EQ(snapshots, 2u);
  EXPECT_LT(files.Names().size(), 12u);  // old segments are gone
}

// At every write, sync, rename, create, truncate and remove: a crash, of which nothing, half or all of what
// was not synced is left; then opened, gone on with, and opened again.
TEST(Log, ACrashAtAnyCallLosesNothingThatWasToldDurable) {
  FaultyFiles probe;
  {
    Log log(&probe, Small());
    State state;
    std::uint64_t durable = 0;
    ASSERT_TRUE(state.Open(&log));
    Play(&log, &state, &durable);
  }
  ASSERT_GT(probe.calls, 100u);
  for (const auto left : {FaultyFiles::Left::kNothing, FaultyFiles::Left::kHalf, FaultyFiles::Left::kAll}) {
    for (std::size_t call = 1; call <= probe.calls; ++call) {
      FaultyFiles files;
      std::uint64_t durable = 0;
      files.fault = FaultyFiles::Fault::kCrash;
      files.at_call = call;
      try {
        Log log(&files, Small());
        State state;
        ASSERT_TRUE(state.Open(&log));
        Play(&log, &state, &durable);
        FAIL() << "no crash at call " << call;
      } catch (const FaultyFiles::Crash&) {
      }
      files.AfterCrash(left);
      for (int again = 0; again < 2; ++again) {
        Log log(&files, Small());
        State state;
        ASSERT_TRUE(state.Open(&log)) << "call " << call << ": " << state.error;
        state.ExpectWhole(durable);
        EXPECT_EQ(log.last(), state.records.size());
        std::string error;
        const std::uint64_t next = log.last() + 1;
        ASSERT_TRUE(log.Commit({Record(next), Record(next + 1)}, &error)) << error;
        durable = log.last();
      }
    }
  }
}

// The same by errors: one, or all from there on (the disk is full). Nobody is told that a failed commit is
// durable; when it succeeds later, each record counts once.
TEST(Log, AnErrorAtAnyCallIsSurvivedOrLeavesAPrefix) {
  for (const bool lasting : {false, true}) {
    for (std::size_t call = 1; call < 160; ++call) {
      FaultyFiles files;
      files.fault = FaultyFiles::Fault::kFail;
      files.at_call = call;
      files.lasting = lasting;
      std::uint64_t durable = 0;
      {
        Log log(&files, Small());
        State state;
        ASSERT_TRUE(state.Open(&log));
        Play(&log, &state, &durable);
        if (!lasting) {
          EXPECT_GE(durable, 73u) << call;
        }
      }
      for (const auto left : {FaultyFiles::Left::kNothing, FaultyFiles::Left::kAll}) {
        FaultyFiles copy = files.Clone();
        copy.AfterCrash(left);
        Log log(&copy, Small());
        State state;
        ASSERT_TRUE(state.Open(&log)) << "call " << call << ": " << state.error;
        state.ExpectWhole(durable);
      }
    }
  }
}

// Danger: a full disk that is asked again five times a second for a day must not fill the folder with the
// heads of segments that hold nothing.
TEST(Log, ADiskThatStaysFullLeavesNoFilesBehind) {
  for (std::size_t step = 1; step <= 8; ++step) {  // of each try; beyond its last call it succeeds
    FaultyFiles files;
    std::uint64_t last = 0;
    {
      Log log(&files, Small());
      State state;
      ASSERT_TRUE(state.Open(&log));
      std::string error;
      ASSERT_TRUE(log.Commit({Record(1)}, &error));
      files.fault = FaultyFiles::Fault::kFail;
      for (int i = 0; i < 50 && log.last() == 1; ++i) {
        files.at_call = files.calls + (i == 0 ? 1 : step);
        log.Commit({Record(2)}, &error);
      }
      EXPECT_LE(files.Names().size(), 3u) << step;
      last = log.last();
    }
    files.fault = FaultyFiles::Fault::kNone;
    Log log(&files, Small());
    State state;
    ASSERT_TRUE(state.Open(&log)) << state.error;
    state.ExpectWhole(last);
  }
}

class Damage : public ::testing::Test {
 protected:
  void SetUp() override {
    Log log(&files, Small());
    State state;
    ASSERT_TRUE(state.Open(&log));
    std::string error;
    for (int i = 0; i < 20; ++i) ASSERT_TRUE(log.Commit({Record(2 * i + 1), Record(2 * i + 2)}, &error));
    segments = files.Names();
    ASSERT_GE(segments.size(), 4u);
  }
  std::string Refusal() {
    Log log(&files, Small());
    State state;
    EXPECT_FALSE(state.Open(&log));
    return state.error;
  }
  FaultyFiles files;
  std::vector<std::string> segments;
};

TEST_F(Damage, InTheMiddleIsRefusedWithItsPlace) {
  std::string& data = files.Data(segments[1]);
  data[30] ^= 1;  // in the first frame, which begins after a head of 24 bytes
  const std::string refusal = Refusal();
  EXPECT_NE(refusal.find(segments[1] + " at byte 24: expected a whole frame with sequence"),
            std::string::npos)
      << refusal;
  EXPECT_NE(refusal.find("damage, not a crash"), std::string::npos);
}

TEST_F(Damage, AtTheEndOfASegmentThatIsNotTheLastShowsAsAGap) {
  std::string& data = files.Data(segments[1]);
  data.resize(data.size() - 3);
  const std::string refusal = Refusal();
  EXPECT_NE(refusal.find(segments[2] + " at byte 0: expected sequence"), std::string::npos) << refusal;
}

TEST_F(Damage, AMissingSegmentIsRefused) {
  std::string error;
  ASSERT_TRUE(files.Remove(segments[1], &error));
  EXPECT_NE(Refusal().find(segments[2] + " at byte 0: expected sequence"), std::string::npos);
}

TEST_F(Damage, ATornTailIsCutAndTold) {
  std::string& data = files.Data(segments.back());
  data.resize(data.size() - 1);
  Log log(&files, Small());
  State state;
  ASSERT_TRUE(state.Open(&log)) << state.error;
  EXPECT_EQ(state.records.size(), 38u);
  ASSERT_EQ(state.told.size(), 1u);
  EXPECT_NE(state.told[0].find("after sequence 38 was cut off"), std::string::npos) << state.told[0];
}

TEST_F(Damage, OfTheNewestSnapshotLeavesTheOneBefore) {
  for (int i = 0; i < 2; ++i) {
    Log log(&files, Small());
    State state;
    ASSERT_TRUE(state.Open(&log));
    std::string error;
    ASSERT_TRUE(log.Commit({Record(log.last() + 1)}, &error));
    state.records.push_back(Record(log.last()));
    ASSERT_TRUE(log.Snapshot(log.last(), state.Text(), &error)) << error;
    ASSERT_TRUE(log.Commit({Record(log.last() + 1)}, &error));
  }
  files.Data("log-00000000000000000043.snap")[40] ^= 1;
  Log log(&files, Small());
  State state;
  ASSERT_TRUE(state.Open(&log)) << state.error;
  EXPECT_EQ(state.snapshot_at, 41u);
  state.ExpectWhole(44);
  ASSERT_EQ(state.told.size(), 1u);
}

TEST(Log, RecordsBeyondTheBoundAreRefusedBeforeAnythingIsWritten) {
  FaultyFiles files;
  Log log(&files, Small());
  State state;
  ASSERT_TRUE(state.Open(&log));
  std::string error;
  EXPECT_FALSE(log.Commit({std::string(1001, 'x')}, &error));
  EXPECT_NE(error.find("expected at most 1000"), std::string::npos);
  EXPECT_EQ(files.calls, 0u);
}

// ---- What goes out meanwhile ----

storage::CommitStatus Durable(std::uint64_t turn) {
  storage::CommitStatus s;
  s.durable = turn;
  return s;
}

TEST(Gate, TurnsGoOutInOrderOnceTheyAreDurable) {
  storage::Gate gate({});
  EXPECT_EQ(gate.Hold(0, 1), 1u);  // nothing was to be kept
  EXPECT_EQ(gate.Hold(3, 1), 2u);
  EXPECT_EQ(gate.Hold(3, 1), 3u);  // said nothing itself, but came after
  EXPECT_EQ(gate.Hold(5, 1), 4u);
  gate.Saw(Durable(2), nullptr, 0);
  EXPECT_EQ(gate.Next(), std::optional<std::uint64_t>(1));
  EXPECT_FALSE(gate.Next());
  gate.Saw(Durable(4), nullptr, 0);
  EXPECT_EQ(gate.Next(), std::optional<std::uint64_t>(2));
  EXPECT_EQ(gate.Next(), std::optional<std::uint64_t>(3));
  EXPECT_FALSE(gate.Next());
  EXPECT_FALSE(gate.Empty());
}

TEST(Gate, TheDoorClosesOnErrorsOfEitherLogOnWhatWaitsAndOnRepliesHeld) {
  storage::GateOptions options;
  options.most_waiting = 100, options.most_held = 50;
  storage::Gate gate(options);
  storage::CommitStatus good, bad, slow;
  bad.error = "No space left on device";
  slow.waiting_bytes = 101;
  gate.Saw(good, &good, 0);
  EXPECT_EQ(gate.Refusal(), "");
  gate.Saw(bad, nullptr, 0);
  EXPECT_EQ(gate.Refusal(), "jobs cannot be kept now: No space left on device");
  gate.Saw(good, &bad, 0);
  EXPECT_NE(gate.Refusal(), "");
  EXPECT_EQ(gate.TakeComplaints().size(), 1u);  // the same, told once
  gate.Saw(good, &slow, 0);
  EXPECT_EQ(gate.Refusal(), "the disk does not keep up");
  EXPECT_EQ(gate.TakeComplaints(), std::vector<std::string>{"commits succeed again"});
  gate.Saw(good, &good, 0);
  gate.Hold(1, 51);
  EXPECT_TRUE(gate.Full());
  EXPECT_NE(gate.Refusal(), "");
  gate.Saw(Durable(1), nullptr, 0);
  EXPECT_TRUE(gate.Next());
  EXPECT_EQ(gate.Refusal(), "");
}

TEST(Gate, ASnapshotWaitsForTheOtherLogAndIsTriedAgainAfterAFailure) {
  storage::GateOptions options;
  options.snapshot_after = 10, options.snapshot_again = 100;
  storage::Gate gate(options);
  storage::CommitStatus jobs, ledger = Durable(4);
  jobs.bytes_since_snapshot = 11;
  gate.Saw(jobs, &ledger, 5);
  EXPECT_FALSE(gate.SnapshotDue(1000));
  ledger.durable = 5;
  gate.Saw(jobs, &ledger, 5);
  EXPECT_TRUE(gate.SnapshotDue(1000));
  jobs.snapshot_waits = true;
  gate.Saw(jobs, &ledger, 5);
  EXPECT_FALSE(gate.SnapshotDue(2000));
  jobs.snapshot_waits = false, jobs.snapshot_error = "disk";
  gate.Saw(jobs, &ledger, 5);
  EXPECT_FALSE(gate.SnapshotDue(1099));
  EXPECT_TRUE(gate.SnapshotDue(1100));
  EXPECT_EQ(gate.Refusal(), "");  // the log is only longer
  EXPECT_EQ(gate.TakeComplaints().size(), 1u);
}

TEST(PosixFiles, AreTheSameOnDiskAndLockedForOneProcess) {
  const std::string folder = ::testing::TempDir() + "/mountflow-files-" + std::to_string(::getpid());
  std::string error;
  {
    auto files = storage::PosixFiles::Open(folder, &error);
    ASSERT_NE(files, nullptr) << error;
    Log log(files.get(), Small());
    State state;
    std::uint64_t durable = 0;
    ASSERT_TRUE(state.Open(&log)) << state.error;
    Play(&log, &state, &durable);
    EXPECT_EQ(storage::PosixFiles::Open(folder, &error), nullptr);
    EXPECT_NE(error.find("another process holds it"), std::string::npos) << error;
  }
  auto files = storage::PosixFiles::Open(folder, &error);
  ASSERT_NE(files, nullptr) << error;
  Log log(files.get(), Small());
  State state;
  ASSERT_TRUE(state.Open(&log)) << state.error;
  state.ExpectWhole(73);
  std::string bytes;
  EXPECT_FALSE(files->Read("none", &bytes, &error));
  EXPECT_NE(error.find(folder + "/none: open: No such file"), std::string::npos) << error;
  files.reset();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace mountflow::testing
