// Compatibility test for stored data. tests/data/stored_state was written by version 0.2.0. It contains jobs
// that are queued, held, running and complete, as a snapshot and the log records after it, a ledger, and a
// snapshot of the node list from the registry. The current code must open these files, and the same sequence
// of operations must write the same bytes. MOUNTFLOW_RECORD_GOLDEN=1 records the files again.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

#include "discovery/snapshot.hpp"
#include "ledger/book.hpp"
#include "storage/log.hpp"
#include "tests/support/job_manager_fixture.hpp"
#include "tests/support/storage_checks.hpp"

namespace mountflow::testing {
namespace {

namespace fs = std::filesystem;
using namespace job_manager;

const fs::path kRecorded = fs::path(MOUNTFLOW_TEST_DATA) / "stored_state";
constexpr Micros kHour = 3600 * kSecond;

std::string BytesOf(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
std::map<std::string, std::string> FilesOf(const fs::path& folder) {
  std::map<std::string, std::string> files;
  for (const auto& file : fs::directory_iterator(folder)) {
    const std::string name = file.path().filename().string();
    if (name != "lock") files[name] = BytesOf(file.path());
  }
  return files;
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "mountflow-state-XXXXXX").string();
    path = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  fs::path path;
};

JobManagerOptions Durable() {
  JobManagerOptions o = Options();
  o.durable = true;
  return o;
}

storage::LogOptions LogNamed(const std::string& name) {
  storage::LogOptions o;
  o.name = name;
  return o;
}

ledger::BillingRules BillingRules() {
  ledger::BillingRules rules;
  const auto time_zone = ledger::TimeZone::Parse("SAST-2");
  EXPECT_TRUE(time_zone) << Describe(time_zone.error());
  if (time_zone) rules.time_zone = *time_zone;
  rules.period_kind = ledger::PeriodKind::kDay;
  rules.grace = kHour;
  rules.prices = {{"", "", 0, 3'600'000, 1'024'000}};
  return rules;
}

discovery::Snapshot View() {
  discovery::Snapshot view;
  view.taken_at = 1'796'083'200 * kSecond;
  view.nodes = {JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "rack-2", 7 * kSecond)};
  view.nodes[1].state = NodeState::kDraining;
  return view;
}

// Writes seven jobs:
//   - before the snapshot: 1 complete, 2 running, 3 held, 4 waiting for its start time;
//   - after the snapshot: 5 running, 6 committed to its node with unknown outcome, 7 deleted.
void WriteJobs(storage::Files* files) {
  std::vector<storage::RecoveryNotice> notices;
  storage::Log log(files, LogNamed("jobs"));
  ASSERT_TRUE(Succeeded(log.Open({}, &notices)));
  JobManagerFixture fixture(Durable());
  const auto commit = [&] { ASSERT_TRUE(Succeeded(log.Commit(fixture.job_manager.TakeJournal()))); };
  fixture.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "rack-2")});
  fixture.ReconcileAll();
  const PrepareAttempt first = fixture.SubmitAndStart(1, "key-1");
  fixture.Take(
      AttemptFinished{first.attempt, EndReason::kExited, 3, "", {}, fixture.now, fixture.now + kSecond});
  commit();
  fixture.SubmitAndStart(0, "key-2");
  JobSpec held;
  held.user = "thandi", held.task_class = 1, held.queue = "safe", held.hold = "u", held.script = "echo held";
  held.forwarded_attributes = {{"Variable_List", "A=1"}};
  fixture.Submit(held);
  JobSpec timed = held;
  timed.hold.clear(), timed.due = fixture.now + 24 * kHour, timed.rerunnable = true;
  fixture.Submit(timed);
  commit();
  ASSERT_TRUE(Succeeded(log.WriteSnapshot(log.last_sequence(), fixture.job_manager.Snapshot())));
  fixture.SubmitAndStart(1);
  fixture.Clear();
  fixture.Submit(2);
  fixture.Take(AttemptPrepared{fixture.Last<PrepareAttempt>()->attempt});
  const std::uint64_t last = fixture.Submit(held);
  fixture.job_manager.Delete(fixture.now, last, "thandi");
  fixture.Collect();
  commit();
}

void WriteLedger(storage::Files* files) {
  std::vector<storage::RecoveryNotice> notices;
  storage::Log log(files, LogNamed("ledger"));
  ASSERT_TRUE(Succeeded(log.Open({}, &notices)));
  ledger::Book book(BillingRules());
  const Micros start = 1'796'083'200 * kSecond;
  const auto apply = [&](const ledger::LedgerResult<ledger::Book::Records>& decided) {
    ASSERT_TRUE(decided) << Describe(decided.error());
    std::vector<std::string> records;
    for (const ledger::Record& record : *decided) {
      records.push_back(ledger::EncodeRecord(record));
      const ledger::LedgerStatus applied = book.Apply(record);
      ASSERT_TRUE(applied) << Describe(applied.error());
    }
    ASSERT_TRUE(Succeeded(log.Commit(records)));
  };
  apply(book.Post(start + 20 * kHour,
                  {"1.d0/1", "t", "service", "small", start + kHour, start + 19 * kHour, 1500, 2048}));
  apply(book.Post(start + 27 * kHour,
                  {"2.d0/1", "u", "batch", "small", start + 20 * kHour, start + 26 * kHour, 500, 64}));
  apply(book.Correct(start + 30 * kHour, {1, -1000, 0, "thandi", "wrong meter"}));
  apply(book.Close(start + 60 * kHour));
}

TEST(StoredState, TheSameRunWritesTheSameBytes) {
  const bool record = std::getenv("MOUNTFLOW_RECORD_GOLDEN") != nullptr;
  TemporaryFolder folder;
  {
    const auto files = storage::PosixFiles::Open(folder.path);
    ASSERT_TRUE(Succeeded(files));
    WriteJobs(files->get());
    WriteLedger(files->get());
  }
  const auto saved = discovery::SaveSnapshot((folder.path / "view").string(), View());
  ASSERT_TRUE(saved) << Describe(saved.error());
  const auto written = FilesOf(folder.path);
  if (record) {
    fs::remove_all(kRecorded);
    fs::create_directories(kRecorded);
    for (const auto& [name, bytes] : written) std::ofstream(kRecorded / name, std::ios::binary) << bytes;
  }
  const auto recorded = FilesOf(kRecorded);
  EXPECT_GE(recorded.size(), 4u);
  for (const auto& [name, bytes] : recorded) {
    ASSERT_TRUE(written.count(name) > 0) << name << " is not written";
    EXPECT_TRUE(written.at(name) == bytes) << name << " has other bytes than those recorded";
  }
  EXPECT_EQ(written.size(), recorded.size());
}

TEST(StoredState, AFolderOfTheRecordedVersionIsOpened) {
  TemporaryFolder folder;
  for (const auto& [name, bytes] : FilesOf(kRecorded)) {
    std::ofstream(folder.path / name, std::ios::binary) << bytes;
  }
  std::string expected;
  const auto files = storage::PosixFiles::Open(folder.path);
  ASSERT_TRUE(Succeeded(files));
  std::vector<storage::RecoveryNotice> notices;

  JobManagerFixture fixture(Durable());
  std::size_t snapshots = 0, records = 0;
  const auto restore = [&](std::string_view record) {
    const auto restored = fixture.job_manager.Restore(record);
    if (!restored) expected = Describe(restored.error());
    return restored.has_value();
  };
  storage::Replay replay;
  replay.snapshot = [&](std::uint64_t, std::string_view state) {
    ++snapshots;
    EXPECT_TRUE(ForEachRecord(state, restore)) << expected;
  };
  replay.record = [&](std::uint64_t, std::string_view record) {
    ++records;
    EXPECT_TRUE(restore(record)) << expected;
  };
  storage::Log jobs(files->get(), LogNamed("jobs"));
  ASSERT_TRUE(Succeeded(jobs.Open(replay, &notices)));
  EXPECT_EQ(snapshots, 1u);
  EXPECT_GT(records, 3u);
  const auto finished = fixture.job_manager.FinishRestore(fixture.now + kSecond);
  ASSERT_TRUE(finished) << Describe(finished.error());
  std::vector<const Job*> all;
  fixture.job_manager.ForEach(0, [&](const Job& job) {
    all.push_back(&job);
    return true;
  });
  ASSERT_EQ(all.size(), 7u);
  const auto job = [&](std::size_t which) -> const Job& { return *all[which - 1]; };
  EXPECT_EQ(job(1).state, JobState::kComplete);
  EXPECT_EQ(job(1).exit_status, 3);
  EXPECT_EQ(job(2).state, JobState::kRunning);
  EXPECT_EQ(job(2).answer, FinalAnswer::kStarted);
  EXPECT_EQ(job(3).state, JobState::kHeld);
  EXPECT_EQ(job(3).spec->script, "echo held");
  EXPECT_EQ(job(4).state, JobState::kWaiting);
  EXPECT_EQ(job(5).state, JobState::kRunning);
  EXPECT_EQ(job(6).answer, FinalAnswer::kNone);
  EXPECT_EQ(job(6).attempts.size(), 1u);
  EXPECT_EQ(job(7).answer, FinalAnswer::kDeleted);
  EXPECT_EQ(fixture.job_manager.FindJobByKey("thandi", "key-2"), job(2).number);

  ledger::Book book(BillingRules());
  storage::Replay posted;
  posted.record = [&](std::uint64_t, std::string_view bytes) {
    const ledger::LedgerResult<ledger::Record> record = ledger::DecodeRecord(bytes);
    ASSERT_TRUE(record) << Describe(record.error());
    const ledger::LedgerStatus applied = book.Apply(*record);
    ASSERT_TRUE(applied) << Describe(applied.error());
  };
  storage::Log ledger_log(files->get(), LogNamed("ledger"));
  ASSERT_TRUE(Succeeded(ledger_log.Open(posted, &notices)));
  EXPECT_TRUE(notices.empty()) << Describe(notices[0]);
  EXPECT_TRUE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(book.Find(1)->tenant, "t");
  EXPECT_GE(book.last_sequence(), 4u);

  const auto view = discovery::LoadSnapshot((folder.path / "view").string());
  ASSERT_TRUE(view) << Describe(view.error());
  ASSERT_EQ(view->nodes.size(), 2u);
  EXPECT_EQ(view->nodes[1].state, NodeState::kDraining);
  EXPECT_EQ(view->taken_at, View().taken_at);
}

}  // namespace
}  // namespace mountflow::testing
