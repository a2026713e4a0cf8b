// An append-only log of records in segments, with snapshots.
//
// One commit is one frame: all its records under one checksum, written and then synced. The next frame is not
// written before that, so a crash can tear only the last frame, and whole frames after a broken one mean
// damage, not a crash.
//
// Opening replays the newest whole snapshot and every record after it.
// - A torn last frame is removed, with a notice. Its commit had not been acknowledged.
// - A broken frame with whole ones after it, a gap between segments, or a missing segment that a snapshot
//   needs: kDamaged, with file and offset.
// - A broken newest snapshot is skipped, with a notice, and the one before it is used. What that one needs is
//   kept until there are two newer ones.
//
// A commit that failed (disk full, error on sync) is retried with the same records in a new segment, because
// after a failed sync the contents of the disk are unknown. If both copies are whole, the records count once,
// by their sequence. An empty segment left by such a retry is removed by the next one, so there is at most
// one.
#ifndef MOUNTFLOW_STORAGE_LOG_HPP_
#define MOUNTFLOW_STORAGE_LOG_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/files.hpp"
#include "storage/log_format.hpp"
#include "storage/storage_error.hpp"

namespace mountflow::storage {

struct LogOptions {
  std::string name = "log";               // files are NAME-NUMBER.log and NAME-SEQUENCE.snap
  std::size_t segment_bytes = 64u << 20;  // a segment of this size or more is followed by a new one
  std::size_t max_record_bytes = 16u << 20;
};

// Called while a log is opened; either may be empty. The views are valid during the call.
struct Replay {
  std::function<void(std::uint64_t sequence, std::string_view state)> snapshot;
  std::function<void(std::uint64_t sequence, std::string_view record)> record;
};

// What Open removed or skipped.
struct RecoveryNotice {
  enum class Kind {
    kTornCommitRemoved,  // an incomplete last commit was cut off
    kSnapshotSkipped,    // a broken snapshot was renamed to FILE.broken
  };
  Kind kind = Kind::kTornCommitRemoved;
  std::string file;
  std::size_t offset = 0;           // kTornCommitRemoved: where the commit began
  std::size_t removed_bytes = 0;    // kTornCommitRemoved
  std::uint64_t last_sequence = 0;  // kTornCommitRemoved: the newest record before it
};

// One line for operators.
[[nodiscard]] std::string Describe(const RecoveryNotice& notice);

// Not thread-safe. Every error of a file operation is returned as Files reports it.
class Log {
 public:
  // `files` is not owned and must outlive the log. Logs of different names may share it, on one thread: Files
  // is not synchronized.
  Log(Files* files, LogOptions options) : files_(files), options_(std::move(options)) {}

  // Must be called once, before any other method. `notices` are valid after an error too.
  [[nodiscard]] StorageStatus Open(const Replay& replay, std::vector<RecoveryNotice>* notices);

  // Makes these records durable as sequences last_sequence() + 1 and up. kTooLarge before anything is written
  // when a record or the commit exceeds its limit. After any other error it must be called again with the
  // same first records (more may follow them).
  [[nodiscard]] StorageStatus Commit(const std::vector<std::string>& records);

  // Writes the state after the record `sequence`, which must be newer than the last snapshot and at most
  // last_sequence() (else kInvalidArgument). Removes the files that only older snapshots need.
  [[nodiscard]] StorageStatus WriteSnapshot(std::uint64_t sequence, std::string_view state);

  // The newest durable sequence; 0 when there is none.
  std::uint64_t last_sequence() const { return last_sequence_; }
  // The sequence of the newest snapshot; 0 when there is none.
  std::uint64_t snapshot_sequence() const { return snapshots_.empty() ? 0 : snapshots_.back(); }
  std::uint64_t bytes_since_snapshot() const { return bytes_since_snapshot_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::uint64_t first_sequence = 0;  // 0 while not known
  };

  std::string SegmentName(std::uint64_t number) const;
  std::string SnapshotName(std::uint64_t sequence) const;

  StorageStatus FindFiles();
  StorageStatus LoadSnapshot(const Replay& replay, std::vector<RecoveryNotice>* notices);
  StorageStatus ReplaySegment(std::size_t index, const Replay& replay, std::vector<RecoveryNotice>* notices);
  // Replays the frames of a segment with a valid header. Returns the offset after the last whole frame.
  StorageResult<std::size_t> ReplayFrames(const std::string& file, std::string_view segment,
                                          const Replay& replay);
  StorageStatus ReplayFrame(const std::string& file, std::size_t offset, const Frame& frame,
                            const Replay& replay);
  StorageStatus CheckSequence(const std::string& file, std::size_t offset,
                              std::uint64_t first_sequence) const;

  StorageStatus CheckSizes(const std::vector<std::string>& records) const;
  StorageStatus BeginSegment();
  StorageStatus RemoveObsoleteFiles();

  Files* const files_;
  const LogOptions options_;
  std::vector<Segment> segments_;         // ascending; the last is appended to when `segment_open_`
  std::vector<std::uint64_t> snapshots_;  // sequences, ascending
  std::uint64_t last_sequence_ = 0;
  std::uint64_t next_segment_number_ = 1;
  std::uint64_t bytes_since_snapshot_ = 0;
  std::size_t segment_size_ = 0;  // of the segment that is appended to
  bool segment_open_ = false;
  bool last_segment_empty_ = false;  // this object created the last segment, and it holds no commit yet
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_LOG_HPP_
