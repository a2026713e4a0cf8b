// Tests of storage::CommitGate: release of outputs, rejection of new jobs, and due snapshots.
#include <gtest/gtest.h>

#include "storage/commit_gate.hpp"

namespace mountflow::testing {
namespace {

using storage::CommitGate;
using storage::CommitGateOptions;
using storage::CommitStatus;
using storage::StorageError;

CommitStatus DurableUpTo(std::uint64_t batch) {
  CommitStatus status;
  status.durable_batch = batch;
  return status;
}

StorageError DiskFull() {
  StorageError error;
  error.system = std::make_error_code(std::errc::no_space_on_device);
  return error;
}

TEST(CommitGate, ReleasesOutputsInOrderOnceTheirBatchIsDurable) {
  CommitGate gate({});
  EXPECT_EQ(gate.Hold(0, 1), 1u);  // depends on no record
  EXPECT_EQ(gate.Hold(3, 1), 2u);
  EXPECT_EQ(gate.Hold(3, 1), 3u);  // adds no records, but must be released after the previous output
  EXPECT_EQ(gate.Hold(5, 1), 4u);
  gate.UpdateStatus(DurableUpTo(2), nullptr, 0);
  EXPECT_EQ(gate.ReleaseNext(), std::optional<std::uint64_t>(1));
  EXPECT_FALSE(gate.ReleaseNext());
  gate.UpdateStatus(DurableUpTo(4), nullptr, 0);
  EXPECT_EQ(gate.ReleaseNext(), std::optional<std::uint64_t>(2));
  EXPECT_EQ(gate.ReleaseNext(), std::optional<std::uint64_t>(3));
  EXPECT_FALSE(gate.ReleaseNext());
  EXPECT_FALSE(gate.Empty());
}

TEST(CommitGate, RejectsOnErrorsOfEitherLogOnWaitingRecordsAndOnHeldReplies) {
  CommitGateOptions options;
  options.max_waiting_bytes = 100;
  options.max_held_bytes = 50;
  CommitGate gate(options);
  CommitStatus good;
  CommitStatus failing;
  CommitStatus slow;
  failing.error = DiskFull();
  slow.waiting_bytes = 101;
  gate.UpdateStatus(good, &good, 0);
  EXPECT_EQ(gate.RejectionReason(), "");
  gate.UpdateStatus(failing, nullptr, 0);
  EXPECT_EQ(gate.RejectionReason(), "jobs cannot be kept now: No space left on device");
  gate.UpdateStatus(good, &failing, 0);
  EXPECT_NE(gate.RejectionReason(), "");
  EXPECT_EQ(gate.TakeWarnings().size(), 1u);  // the same error is reported once
  gate.UpdateStatus(good, &slow, 0);
  EXPECT_EQ(gate.RejectionReason(), "the disk does not keep up");
  EXPECT_EQ(gate.TakeWarnings(), std::vector<std::string>{"commits succeed again"});
  gate.UpdateStatus(good, &good, 0);
  gate.Hold(1, 51);
  EXPECT_TRUE(gate.Full());
  EXPECT_NE(gate.RejectionReason(), "");
  gate.UpdateStatus(DurableUpTo(1), nullptr, 0);
  EXPECT_TRUE(gate.ReleaseNext());
  EXPECT_EQ(gate.RejectionReason(), "");
}

TEST(CommitGate, DelaysASnapshotUntilTheSecondLogIsDurableAndRetriesAFailedOne) {
  CommitGateOptions options;
  options.snapshot_after_bytes = 10;
  options.snapshot_retry_interval = 100;
  CommitGate gate(options);
  CommitStatus jobs;
  CommitStatus ledger = DurableUpTo(4);
  jobs.bytes_since_snapshot = 11;
  gate.UpdateStatus(jobs, &ledger, 5);
  EXPECT_FALSE(gate.SnapshotDue(1000));
  ledger.durable_batch = 5;
  gate.UpdateStatus(jobs, &ledger, 5);
  EXPECT_TRUE(gate.SnapshotDue(1000));
  jobs.snapshot_pending = true;
  gate.UpdateStatus(jobs, &ledger, 5);
  EXPECT_FALSE(gate.SnapshotDue(2000));
  jobs.snapshot_pending = false;
  jobs.snapshot_error = DiskFull();
  gate.UpdateStatus(jobs, &ledger, 5);
  EXPECT_FALSE(gate.SnapshotDue(1099));
  EXPECT_TRUE(gate.SnapshotDue(1100));
  EXPECT_EQ(gate.RejectionReason(), "");  // a failed snapshot only leaves a longer log
  EXPECT_EQ(gate.TakeWarnings().size(), 1u);
}

}  // namespace
}  // namespace mountflow::testing
