// Flow control between the job manager and the disk: decides when an output may be released and when new jobs
// must be rejected. It performs no I/O, reads no clock and starts no thread.
//
// - An output that depends on a batch of records is released after the batch is durable. Outputs are released
//   in the order in which they were added.
// - New jobs are rejected while commits fail, while more than `max_waiting_bytes` of records of one log are
//   not durable yet, and while more than `max_held_bytes` of replies are held.
// - Once more than `max_held_bytes` of replies are held, Full() returns true. The caller then rejects further
//   requests at once and does not hold their replies.
// - A snapshot is due when the log has grown by more than `snapshot_after_bytes` since the last snapshot, but
//   not before the second log contains everything that the snapshot would discard from the first. A failed
//   snapshot is retried after `snapshot_retry_interval`.
#ifndef MOUNTFLOW_STORAGE_COMMIT_GATE_HPP_
#define MOUNTFLOW_STORAGE_COMMIT_GATE_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "storage/committer.hpp"

namespace mountflow::storage {

struct CommitGateOptions {
  std::size_t max_waiting_bytes = 64u << 20;       // records of one log that are not durable yet
  std::size_t max_held_bytes = 64u << 20;          // replies that are held
  std::uint64_t snapshot_after_bytes = 64u << 20;  // growth of the log after which a snapshot is due
  Micros snapshot_retry_interval = 10'000'000;     // shortest time between two due snapshots
};

// CommitGate holds outputs until the records that they depend on are durable. Not thread-safe.
class CommitGate {
 public:
  explicit CommitGate(CommitGateOptions options) : options_(options) {}

  // Holds an output with `bytes` of replies until `batch` is durable. Returns the number of the output;
  // outputs are numbered from 1.
  std::uint64_t Hold(std::uint64_t batch, std::size_t bytes);
  // Releases the oldest held output if its batch is durable, and returns its number; nullopt otherwise.
  std::optional<std::uint64_t> ReleaseNext();
  // Reports whether no output is held.
  bool Empty() const { return held_.empty(); }
  // Reports whether more than `max_held_bytes` of replies are held.
  bool Full() const { return held_bytes_ > options_.max_held_bytes; }

  // Updates the gate with the status of the first log, on which outputs depend, and of an optional second
  // log, which is null if there is none. No snapshot of the first log is due before the second log has made
  // `second_batch` durable.
  void UpdateStatus(const CommitStatus& first, const CommitStatus* second, std::uint64_t second_batch);
  // Returns the reason for which new jobs are rejected, as text for clients; empty while they are accepted.
  std::string RejectionReason() const;
  // Reports whether a snapshot is due at `now`. Returns true once for each due snapshot; the caller must then
  // request it from the committer.
  bool SnapshotDue(Micros now);
  // Returns and clears the changes of status since the last call, as texts for operators. Their number is
  // bounded; further ones are dropped.
  std::vector<std::string> TakeWarnings();

 private:
  struct HeldOutput {
    std::uint64_t batch = 0;  // the batch that must be durable before the output is released
    std::uint64_t number = 0;
    std::size_t bytes = 0;  // size of the replies
  };
  void AddWarning(const std::string& text);

  const CommitGateOptions options_;
  std::deque<HeldOutput> held_;  // oldest first
  std::size_t held_bytes_ = 0;
  std::uint64_t last_number_ = 0;
  CommitStatus first_;             // status of the first log
  std::string error_;              // commit error of the first or the second log; empty: none
  std::size_t waiting_bytes_ = 0;  // bytes that are not durable yet, of the log that has more of them
  bool second_durable_ = true;     // the second log has made its required batch durable, or there is none
  Micros snapshot_due_at_ = 0;     // time at which the last snapshot was due; 0: none yet
  std::vector<std::string> warnings_;
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_COMMIT_GATE_HPP_
