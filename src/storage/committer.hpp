// Group commit: commits records to a log on a thread of its own. Records that are added while a commit is
// being written become part of the next commit, so the caller never waits for the disk.
//
// Each call of Add with at least one record forms a batch. Batches are numbered from 1 and become durable in
// order. A commit that fails is retried every `retry_interval` together with all records that were added
// meanwhile. Until it succeeds, the status contains the error, and no record is lost as long as the process
// runs. The number of pending records is not bounded here: the caller bounds it by rejecting new jobs (see
// storage/commit_gate.hpp). A snapshot that fails is dropped; the only consequence is a longer log.
#ifndef MOUNTFLOW_STORAGE_COMMITTER_HPP_
#define MOUNTFLOW_STORAGE_COMMITTER_HPP_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "storage/log.hpp"
#include "storage/storage_error.hpp"

namespace mountflow::storage {

// Progress of a committer.
struct CommitStatus {
  std::uint64_t durable_batch = 0;             // number of the newest durable batch; 0: none
  std::optional<StorageError> error;           // error of the last commit, if it failed
  std::optional<StorageError> snapshot_error;  // error of the last snapshot, if it failed
  std::size_t waiting_bytes = 0;               // size of the records that are not durable yet
  std::uint64_t bytes_since_snapshot = 0;      // growth of the log since its last snapshot
  bool snapshot_pending = false;               // a requested snapshot is not finished yet
};

// Committer writes records and snapshots to a log in the background. All public methods may be called from
// any thread.
class Committer {
 public:
  static constexpr std::chrono::milliseconds kDefaultRetryInterval{200};

  // Starts the thread. `log` must be open. `notify` is called on the committer's thread, with no lock held,
  // whenever the status has changed.
  Committer(std::unique_ptr<Log> log, std::function<void()> notify,
            std::chrono::milliseconds retry_interval = kDefaultRetryInterval);
  // Commits the pending records, without a retry if that fails, and joins the thread. Also writes a pending
  // snapshot unless the commit fails.
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  // Queues these records for a commit and returns the number of their batch. Once the batch is durable, so
  // are these records and all records before them. With no records, returns the number of the previous batch.
  std::uint64_t Add(std::vector<std::string> records);
  // Requests a snapshot. `state` must be the state after all records that were added so far. Replaces a
  // snapshot that was requested before and is not being written yet.
  void Snapshot(std::string state);

  [[nodiscard]] CommitStatus Status() const;

 private:
  // The records and the snapshot that the thread writes in one iteration.
  struct Group {
    std::vector<std::string> records;
    std::size_t bytes = 0;  // size of `records`
    std::uint64_t last_batch = 0;
    bool complete = false;  // contains all records up to `last_batch` that are not durable yet
    std::optional<std::string> snapshot;
  };
  struct GroupResult {
    std::optional<StorageError> commit_error;
    std::optional<StorageError> snapshot_error;
  };

  // Main function of the thread.
  void Run();
  // Moves the waiting records to the group. If a snapshot is pending, moves only the records that it
  // contains, and the snapshot. mutex_ must be held.
  void CollectGroup(Group* group);
  // Writes the group to the log. mutex_ must not be held.
  GroupResult WriteGroup(const Group& group);
  // Updates the status with the result, and empties the group if it was committed. mutex_ must be held.
  void UpdateStatus(const GroupResult& result, Group* group);

  const std::unique_ptr<Log> log_;  // used only by the thread
  const std::function<void()> notify_;
  const std::chrono::milliseconds retry_interval_;
  mutable std::mutex mutex_;  // guards all members below except thread_
  std::condition_variable wake_;
  std::vector<std::string> waiting_;  // records that were added and are not in a group yet
  std::optional<std::string> snapshot_;
  std::size_t records_before_snapshot_ = 0;  // number of records in waiting_ that snapshot_ contains
  std::uint64_t last_batch_ = 0;
  CommitStatus status_;
  bool stopping_ = false;
  std::thread thread_;  // declared last, so that it starts after all other members are initialised
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_COMMITTER_HPP_
