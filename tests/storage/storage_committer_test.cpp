// Tests of storage::Committer: group commit, retries and snapshots.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

#include "storage/committer.hpp"
#include "tests/support/faulty_files.hpp"
#include "tests/support/log_workload.hpp"
#include "tests/support/storage_checks.hpp"

namespace mountflow::testing {
namespace {

using namespace std::chrono_literals;
using storage::CommitStatus;
using storage::Committer;
using storage::Log;

// FaultyFiles whose Sync fails while `failing` is true. Any thread may change `failing`.
class SwitchableFiles : public FaultyFiles {
 public:
  std::atomic<bool> failing{false};
  storage::StorageStatus Sync(const std::string& name) override {
    if (!failing) return FaultyFiles::Sync(name);
    storage::StorageError error;
    error.system = std::make_error_code(std::errc::io_error);
    return tl::unexpected(error);
  }
};

class CommitterTest : public ::testing::Test {
 protected:
  // Opens a log and creates a committer for it.
  void Start() {
    auto log = std::make_unique<Log>(&files_, SmallLogOptions());
    LogState state;
    ASSERT_TRUE(Succeeded(state.Open(log.get())));
    committer_ = std::make_unique<Committer>(
        std::move(log),
        [this] {
          const std::lock_guard<std::mutex> lock(mutex_);
          notified_.notify_all();
        },
        1ms);
  }
  // Waits until `reached` holds for the status. Returns the status; fails the test after 10 seconds.
  CommitStatus WaitUntil(const std::function<bool(const CommitStatus&)>& reached) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    CommitStatus status = committer_->Status();
    while (!reached(status) && std::chrono::steady_clock::now() < deadline) {
      notified_.wait_for(lock, 5ms);
      status = committer_->Status();
    }
    EXPECT_TRUE(reached(status));
    return status;
  }
  // Destroys the committer and opens the log again. Returns the replayed state.
  LogState Reopen() {
    committer_.reset();
    Log log(&files_, SmallLogOptions());
    LogState state;
    EXPECT_TRUE(Succeeded(state.Open(&log)));
    return state;
  }

  SwitchableFiles files_;
  std::mutex mutex_;
  std::condition_variable notified_;
  std::unique_ptr<Committer> committer_;
};

TEST_F(CommitterTest, MakesBatchesDurableInOrder) {
  Start();
  EXPECT_EQ(committer_->Add({}), 0u);
  EXPECT_EQ(committer_->Add({RecordText(1), RecordText(2)}), 1u);
  EXPECT_EQ(committer_->Add({RecordText(3)}), 2u);
  EXPECT_EQ(committer_->Add({}), 2u);  // no records, so the number of the previous batch
  const CommitStatus status = WaitUntil([](const CommitStatus& seen) { return seen.durable_batch == 2; });
  EXPECT_EQ(status.waiting_bytes, 0u);
  EXPECT_FALSE(status.error);
  EXPECT_EQ(Reopen().records.size(), 3u);
}

TEST_F(CommitterTest, RetriesAFailedCommitWithAllPendingRecords) {
  Start();
  files_.failing = true;
  committer_->Add({RecordText(1)});
  const CommitStatus failed = WaitUntil([](const CommitStatus& seen) { return seen.error.has_value(); });
  EXPECT_EQ(failed.durable_batch, 0u);
  EXPECT_EQ(failed.waiting_bytes, RecordText(1).size());
  committer_->Add({RecordText(2)});
  files_.failing = false;
  const CommitStatus status = WaitUntil([](const CommitStatus& seen) { return seen.durable_batch == 2; });
  EXPECT_FALSE(status.error);
  Reopen().ExpectPrefixOfAtLeast(2);
}

TEST_F(CommitterTest, CommitsPendingRecordsBeforeItIsDestroyed) {
  Start();
  committer_->Add({RecordText(1)});
  committer_->Add({RecordText(2)});
  Reopen().ExpectPrefixOfAtLeast(2);
}

TEST_F(CommitterTest, WritesASnapshotOfTheRecordsAddedBeforeIt) {
  Start();
  committer_->Add({RecordText(1)});
  committer_->Snapshot(RecordText(1) + "\n");
  committer_->Add({RecordText(2)});
  WaitUntil([](const CommitStatus& seen) { return seen.durable_batch == 2 && !seen.snapshot_pending; });
  const LogState state = Reopen();
  EXPECT_EQ(state.snapshot_sequence, 1u);
  state.ExpectPrefixOfAtLeast(2);
}

TEST_F(CommitterTest, DropsASnapshotThatFails) {
  Start();
  files_.failing = true;
  committer_->Add({RecordText(1)});
  committer_->Snapshot(RecordText(1) + "\n");
  WaitUntil([](const CommitStatus& seen) { return seen.snapshot_error && !seen.snapshot_pending; });
  files_.failing = false;
  WaitUntil([](const CommitStatus& seen) { return seen.durable_batch == 1; });
  const LogState state = Reopen();
  EXPECT_EQ(state.snapshot_sequence, 0u);
  state.ExpectPrefixOfAtLeast(1);
}

}  // namespace
}  // namespace mountflow::testing
