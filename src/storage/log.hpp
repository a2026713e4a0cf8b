// An append-only log of records in segments, with snapshots: the durable state
// of whoever replays it.
//
// One commit is one frame: all its records under one checksum, written and then
// synced. The next is not written before, so a crash can tear only the last frame,
// and whole frames after a broken one mean damage, not a crash.
//
// Opening replays the newest whole snapshot and each record after it.
// - A torn last frame is cut off and told. (Nobody was told that it is durable.)
// - A broken frame with whole ones after it, a gap between segments, or segments
//   that a snapshot needs and that lack: refused, with file and offset.
// - A broken newest snapshot: told, and the one before serves; what it needs is kept
//   until there are two newer ones.
//
// A commit that failed (disk full, an error on sync) is tried again, with the same
// records, in a new segment: after a failed sync nothing is known of what is on disk.
// If both copies are whole, the records count once, by their sequence. A segment that such a try began and
// that holds nothing is removed by the next try: there is at most one.
#ifndef MOUNTFLOW_STORAGE_LOG_HPP_
#define MOUNTFLOW_STORAGE_LOG_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/files.hpp"

namespace mountflow::storage {

struct LogOptions {
  std::string name = "log";               // files are NAME-NUMBER.log and NAME-SEQUENCE.snap
  std::size_t segment_bytes = 64u << 20;  // a new segment begins beyond
  std::size_t most_record = 16u << 20;    // larger ones are refused
};

struct Replay {
  std::function<void(std::uint64_t sequence, std::string_view state)> snapshot;
  std::function<void(std::uint64_t sequence, std::string_view record)> record;
};

class Log {
 public:
  Log(Files* files, LogOptions options) : files_(files), options_(std::move(options)) {}

  // False with the place and what was expected there. `told`: what was cut or skipped, for the operator.
  bool Open(const Replay& replay, std::vector<std::string>* told, std::string* error);

  // Makes these records durable as sequences last() + 1 and on. After a failure it must be called again with
  // the same first records (more may follow).
  bool Commit(const std::vector<std::string>& records, std::string* error);

  // The state after the record `at` (at most last()). What only older snapshots need is removed.
  bool Snapshot(std::uint64_t at, std::string_view state, std::string* error);

  std::uint64_t last() const { return last_; }  // the newest durable sequence; 0: none
  std::uint64_t snapshot_at() const { return snapshots_.empty() ? 0 : snapshots_.back(); }
  std::uint64_t bytes_since_snapshot() const { return bytes_; }

 private:
  struct Segment {
    std::uint64_t number = 0, first = 0;
  };
  std::string SegmentName(std::uint64_t number) const;
  std::string SnapshotName(std::uint64_t at) const;
  bool Begin(std::string* error);
  bool LoadSnapshot(const Replay& replay, std::vector<std::string>* told, std::string* error);
  bool ReplaySegment(Segment* segment, bool final, const Replay& replay, std::vector<std::string>* told,
                     std::string* error);
  bool RemoveOld(std::string* error);

  Files* files_;
  LogOptions options_;
  std::vector<Segment> segments_;         // in order; the last is written to when `writing_`
  std::vector<std::uint64_t> snapshots_;  // in order
  std::uint64_t last_ = 0, next_number_ = 1, bytes_ = 0;
  std::size_t size_ = 0;  // of the segment that is written to
  bool writing_ = false;
  bool stub_ = false;  // the last segment was begun in this life and holds no commit yet
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_LOG_HPP_
