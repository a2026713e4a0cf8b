// An append-only log of records, stored in segment files, with snapshots.
//
// Each commit is one frame, which contains all records of the commit under one checksum. A frame is written
// and synced before the next one is written. Therefore a crash can tear only the last frame. If whole frames
// follow a broken one, the file was damaged in another way.
//
// Opening a log replays the newest valid snapshot and every record after it.
// - A torn last frame is removed, with a notice. Its commit had not been acknowledged.
// - kDamaged, with file and offset, is returned when whole frames follow a broken frame, when there is a gap
//   between segments, or when a segment is missing that the snapshot needs.
// - A broken newest snapshot is skipped, with a notice, and the previous snapshot is used. The files that the
//   previous snapshot needs are retained until there are two newer snapshots.
//
// A commit that failed (disk full, error on sync) is retried with the same records in a new segment, because
// the contents of the disk are unknown after a failed sync. If both copies turn out to be whole, each record
// is replayed once, because it is identified by its sequence. An empty segment that such a retry leaves
// behind is removed by the next retry, so there is at most one.
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
  std::size_t segment_bytes = 64u << 20;  // a segment that has reached this size is not appended to
  std::size_t max_record_bytes = 16u << 20;
};

// Functions that Log::Open calls with the stored state and records. Either may be empty. The views are valid
// only during the call.
struct Replay {
  std::function<void(std::uint64_t sequence, std::string_view state)> snapshot;
  std::function<void(std::uint64_t sequence, std::string_view record)> record;
};

// Something that Log::Open removed or skipped.
struct RecoveryNotice {
  enum class Kind {
    kTornCommitRemoved,  // an incomplete last commit was removed from the end of the file
    kSnapshotSkipped,    // a broken snapshot was renamed to FILE.broken
  };
  Kind kind = Kind::kTornCommitRemoved;
  std::string file;
  std::size_t offset = 0;           // kTornCommitRemoved: byte offset at which the commit began
  std::size_t removed_bytes = 0;    // kTornCommitRemoved: size of the removed part
  std::uint64_t last_sequence = 0;  // kTornCommitRemoved: sequence of the newest record before the commit
};

// Returns one line of text for operators.
[[nodiscard]] std::string Describe(const RecoveryNotice& notice);

// Log is an append-only log of records with snapshots. Not thread-safe. Errors of file operations are
// returned as Files reports them.
class Log {
 public:
  // `files` is not owned and must outlive the log. Logs with different names may share it if they are used on
  // the same thread, because Files is not thread-safe.
  Log(Files* files, LogOptions options) : files_(files), options_(std::move(options)) {}

  // Opens the log and replays it. Must be called once, before any other method. Appends to `notices`, which
  // are valid even after an error.
  [[nodiscard]] StorageStatus Open(const Replay& replay, std::vector<RecoveryNotice>* notices);

  // Makes these records durable with the sequences last_sequence() + 1 and up. Returns kTooLarge, before
  // anything is written, when a record or the whole commit exceeds its limit. After any other error the next
  // call must begin with the same records; more records may follow them.
  [[nodiscard]] StorageStatus Commit(const std::vector<std::string>& records);

  // Writes a snapshot of the state after the record `sequence`, and removes the files that only older
  // snapshots need. Returns kInvalidArgument unless `sequence` is newer than the last snapshot and at most
  // last_sequence().
  [[nodiscard]] StorageStatus WriteSnapshot(std::uint64_t sequence, std::string_view state);

  // Returns the newest durable sequence; 0 when there is none.
  std::uint64_t last_sequence() const { return last_sequence_; }
  // Returns the sequence of the newest snapshot; 0 when there is none.
  std::uint64_t snapshot_sequence() const { return snapshots_.empty() ? 0 : snapshots_.back(); }
  // Returns the size in bytes of the frames that were replayed or committed after the newest snapshot.
  std::uint64_t bytes_since_snapshot() const { return bytes_since_snapshot_; }

 private:
  struct Segment {
    std::uint64_t number = 0;
    std::uint64_t first_sequence = 0;  // 0 until the header has been read
  };

  std::string SegmentName(std::uint64_t number) const;
  std::string SnapshotName(std::uint64_t sequence) const;

  // Lists the segments and snapshots of this log, and removes unfinished snapshots.
  StorageStatus FindFiles();
  // Replays the newest valid snapshot, and renames the broken ones that are newer.
  StorageStatus LoadSnapshot(const Replay& replay, std::vector<RecoveryNotice>* notices);
  // Replays one segment. Removes a torn frame or a torn header at the end of the last segment.
  StorageStatus ReplaySegment(std::size_t index, const Replay& replay, std::vector<RecoveryNotice>* notices);
  // Replays the frames of a segment with a valid header. Returns the offset after the last whole frame.
  StorageResult<std::size_t> ReplayFrames(const std::string& file, std::string_view segment,
                                          const Replay& replay);
  StorageStatus ReplayFrame(const std::string& file, std::size_t offset, const Frame& frame,
                            const Replay& replay);
  // Returns kDamaged when `first_sequence` leaves a gap after last_sequence_.
  StorageStatus CheckSequence(const std::string& file, std::size_t offset,
                              std::uint64_t first_sequence) const;

  // Returns kTooLarge when a record or the whole commit exceeds its limit.
  StorageStatus CheckSizes(const std::vector<std::string>& records) const;
  // Creates the next segment, to which commits are appended from then on.
  StorageStatus BeginSegment();
  // Removes snapshots except for the newest ones, and the segments that no remaining snapshot needs.
  StorageStatus RemoveObsoleteFiles();

  Files* const files_;
  const LogOptions options_;
  std::vector<Segment> segments_;         // in ascending order
  std::vector<std::uint64_t> snapshots_;  // sequences of the snapshots, in ascending order
  std::uint64_t last_sequence_ = 0;
  std::uint64_t next_segment_number_ = 1;
  std::uint64_t bytes_since_snapshot_ = 0;
  std::size_t segment_size_ = 0;     // size in bytes of the last segment; valid while `segment_open_`
  bool segment_open_ = false;        // the next commit may be appended to the last segment
  bool last_segment_empty_ = false;  // this object created the last segment, which contains no commit yet
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_LOG_HPP_
