// Commits records to a log on a thread of its own, in groups: what is handed over
// while a commit is at the disk goes with the next one. The loop never waits for the
// disk.
//
// Turns count from 1; a turn is durable with all before it. A commit that fails is
// tried again every `again` with all that waits; the status has the error meanwhile, and
// nothing is lost as long as the process lives. The owner bounds what waits by taking
// nothing new (storage/gate). A snapshot that fails is let go: the log is only longer.
#ifndef MOUNTFLOW_STORAGE_COMMITTER_HPP_
#define MOUNTFLOW_STORAGE_COMMITTER_HPP_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "storage/log.hpp"

namespace mountflow::storage {

struct CommitStatus {
  std::uint64_t durable = 0;               // newest durable turn
  std::string error;                       // empty: the last commit succeeded
  std::string snapshot_error;              // empty: so did the last snapshot
  std::size_t waiting_bytes = 0;           // of records not durable yet
  std::uint64_t bytes_since_snapshot = 0;  // of the log
  bool snapshot_waits = false;
};

class Committer {
 public:
  // `log` is open. `notify` is called from the thread whenever the status changed.
  Committer(std::unique_ptr<Log> log, std::function<void()> notify,
            std::chrono::milliseconds again = std::chrono::milliseconds(200));
  ~Committer();  // commits what waits, once, and ends

  // The turn that makes these durable.
  std::uint64_t Add(std::vector<std::string> records);
  // The state after all that was added so far.
  void Snapshot(std::string state);

  CommitStatus Status() const;

 private:
  void Run();
  const std::unique_ptr<Log> log_;
  const std::function<void()> notify_;
  const std::chrono::milliseconds again_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::string> waiting_;
  std::string snapshot_;
  bool has_snapshot_ = false;       // to be written
  std::size_t snapshot_after_ = 0;  // records of waiting_ that the snapshot contains
  std::uint64_t turn_ = 0;
  CommitStatus status_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_COMMITTER_HPP_
