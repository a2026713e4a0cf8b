// Group commit: commits records to a log on a thread of its own. Records that are added while a commit is
// being written go with the next one, so the caller never waits for the disk.
//
// Each call of Add with records forms a batch; batches count from 1 and become durable in order. A commit
// that fails is retried every `retry_interval` with everything that waits; meanwhile the status has the
// error, and nothing is lost as long as the process lives. The caller bounds what waits by accepting nothing
// new (storage/commit_gate). A snapshot that fails is dropped, which only leaves a longer log.
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

struct CommitStatus {
  std::uint64_t durable_batch = 0;             // the newest durable batch
  std::optional<StorageError> error;           // of the last commit
  std::optional<StorageError> snapshot_error;  // of the last snapshot
  std::size_t waiting_bytes = 0;               // of records that are not durable yet
  std::uint64_t bytes_since_snapshot = 0;      // of the log
  bool snapshot_pending = false;
};

// All public methods may be called from any thread.
class Committer {
 public:
  static constexpr std::chrono::milliseconds kDefaultRetryInterval{200};

  // `log` is open. `notify` is called on the committer's thread, without locks, whenever the status has
  // changed.
  Committer(std::unique_ptr<Log> log, std::function<void()> notify,
            std::chrono::milliseconds retry_interval = kDefaultRetryInterval);
  // Commits what waits, without retries, and joins the thread.
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  // Returns the batch that makes these records, and all before them, durable.
  std::uint64_t Add(std::vector<std::string> records);
  // Requests a snapshot. `state` is the state after everything that was added so far. Replaces a pending one.
  void Snapshot(std::string state);

  [[nodiscard]] CommitStatus Status() const;

 private:
  // What one turn of the thread writes.
  struct Group {
    std::vector<std::string> records;
    std::size_t bytes = 0;
    std::uint64_t last_batch = 0;
    bool complete = false;  // holds all records up to `last_batch`
    std::optional<std::string> snapshot;
  };
  struct GroupResult {
    std::optional<StorageError> commit_error;
    std::optional<StorageError> snapshot_error;
  };

  void Run();
  // Adds what waits to the group, up to a pending snapshot. Needs mutex_.
  void CollectGroup(Group* group);
  // Runs without mutex_.
  GroupResult WriteGroup(const Group& group);
  // Empties the group if it was committed. Needs mutex_.
  void UpdateStatus(const GroupResult& result, Group* group);

  const std::unique_ptr<Log> log_;  // used only by the thread
  const std::function<void()> notify_;
  const std::chrono::milliseconds retry_interval_;
  mutable std::mutex mutex_;  // guards all below, except thread_
  std::condition_variable wake_;
  std::vector<std::string> waiting_;
  std::optional<std::string> snapshot_;
  std::size_t records_before_snapshot_ = 0;  // of waiting_; those are contained in snapshot_
  std::uint64_t last_batch_ = 0;
  CommitStatus status_;
  bool stopping_ = false;
  std::thread thread_;  // last, so that it starts when all else is there
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_COMMITTER_HPP_
