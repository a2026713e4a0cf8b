#include "storage/log.hpp"

#include <algorithm>
#include <optional>

namespace mountflow::storage {
namespace {

// The newest snapshot, and the previous one for the case that the newest one is broken.
constexpr std::size_t kRetainedSnapshots = 2;
constexpr const char* kBrokenSuffix = ".broken";

tl::unexpected<StorageError> Damaged(const std::string& file, std::size_t offset, std::string expected,
                                     std::string found) {
  StorageError error;
  error.code = StorageErrorCode::kDamaged;
  error.file = file;
  error.offset = offset;
  error.expected = std::move(expected);
  error.found = std::move(found);
  return tl::unexpected(std::move(error));
}

tl::unexpected<StorageError> CallerError(StorageErrorCode code, std::string expected, std::string found) {
  StorageError error;
  error.code = code;
  error.expected = std::move(expected);
  error.found = std::move(found);
  return tl::unexpected(std::move(error));
}

}  // namespace

std::string Describe(const RecoveryNotice& notice) {
  switch (notice.kind) {
    case RecoveryNotice::Kind::kTornCommitRemoved:
      return notice.file + " at byte " + std::to_string(notice.offset) + ": a torn commit of " +
             std::to_string(notice.removed_bytes) + " bytes after sequence " +
             std::to_string(notice.last_sequence) + " was cut off";
    case RecoveryNotice::Kind::kSnapshotSkipped:
      return notice.file + ": expected a whole snapshot; the one before it is used";
  }
  return notice.file;
}

std::string Log::SegmentName(std::uint64_t number) const {
  return NumberedFileName(options_.name, number, kSegmentSuffix);
}

std::string Log::SnapshotName(std::uint64_t sequence) const {
  return NumberedFileName(options_.name, sequence, kSnapshotSuffix);
}

// ---- Opening ----

StorageStatus Log::Open(const Replay& replay, std::vector<RecoveryNotice>* notices) {
  if (StorageStatus status = FindFiles(); !status) return status;
  if (StorageStatus status = LoadSnapshot(replay, notices); !status) return status;
  const std::size_t count = segments_.size();
  for (std::size_t i = 0; i < count; ++i) {
    if (StorageStatus status = ReplaySegment(i, replay, notices); !status) return status;
    // A segment with a torn header contains no records. If it was the last one, ReplaySegment has removed it.
    if (i < segments_.size() && segments_[i].first_sequence == 0)
      segments_[i].first_sequence = last_sequence_ + 1;
  }
  return {};
}

StorageStatus Log::FindFiles() {
  const StorageResult<std::vector<std::string>> files = files_->List();
  if (!files) return tl::unexpected(files.error());
  for (const std::string& file : *files) {
    if (const auto number = ParseFileNumber(file, options_.name, kSegmentSuffix)) {
      segments_.push_back({*number, 0});
      next_segment_number_ = std::max(next_segment_number_, *number + 1);
    } else if (const auto sequence = ParseFileNumber(file, options_.name, kSnapshotSuffix)) {
      snapshots_.push_back(*sequence);
    } else if (ParseFileNumber(file, options_.name, kUnfinishedSnapshotSuffix)) {
      if (StorageStatus status = files_->Remove(file); !status) return status;
    }
  }
  std::sort(segments_.begin(), segments_.end(),
            [](const Segment& a, const Segment& b) { return a.number < b.number; });
  std::sort(snapshots_.begin(), snapshots_.end());
  return {};
}

StorageStatus Log::LoadSnapshot(const Replay& replay, std::vector<RecoveryNotice>* notices) {
  while (!snapshots_.empty()) {
    const std::uint64_t sequence = snapshots_.back();
    const std::string file = SnapshotName(sequence);
    const StorageResult<std::string> bytes = files_->Read(file);
    if (!bytes) return tl::unexpected(bytes.error());
    if (const std::optional<std::string_view> state = DecodeSnapshot(*bytes, sequence)) {
      last_sequence_ = sequence;
      if (replay.snapshot) replay.snapshot(sequence, *state);
      return {};
    }
    RecoveryNotice notice;
    notice.kind = RecoveryNotice::Kind::kSnapshotSkipped;
    notice.file = file;
    notices->push_back(std::move(notice));
    if (StorageStatus status = files_->Rename(file, file + kBrokenSuffix); !status) return status;
    snapshots_.pop_back();
  }
  return {};
}

StorageStatus Log::ReplaySegment(std::size_t index, const Replay& replay,
                                 std::vector<RecoveryNotice>* notices) {
  Segment& segment = segments_[index];
  const std::string file = SegmentName(segment.number);
  const StorageResult<std::string> bytes = files_->Read(file);
  if (!bytes) return tl::unexpected(bytes.error());

  const std::optional<std::uint64_t> first_sequence = DecodeSegmentHeader(*bytes);
  std::size_t end = 0;  // end of the last whole frame
  if (first_sequence) {
    segment.first_sequence = *first_sequence;
    if (StorageStatus status = CheckSequence(file, 0, *first_sequence); !status) return status;
    const StorageResult<std::size_t> replayed = ReplayFrames(file, *bytes, replay);
    if (!replayed) return tl::unexpected(replayed.error());
    end = *replayed;
    if (end == bytes->size()) return {};
  }

  // The bytes at `end` are not a whole frame. A crash can explain this only if no whole frame follows,
  // because a frame is synced before the next one is written.
  if (const std::optional<std::size_t> later = FindFrame(*bytes, end + 1)) {
    return Damaged(
        file, end, "a whole frame with sequence " + std::to_string(last_sequence_ + 1),
        "the next whole frame at byte " + std::to_string(*later) + "; this is damage, not a crash");
  }
  const bool is_last = index + 1 == segments_.size();
  // A segment that is not the last one ends with a commit that failed. The next segment repeats that commit;
  // otherwise the first sequence of the next segment reveals the gap.
  if (!is_last) return {};
  if (!first_sequence) {  // a crash left an incomplete header in a new segment
    segments_.pop_back();
    return files_->Remove(file);
  }
  RecoveryNotice notice;
  notice.kind = RecoveryNotice::Kind::kTornCommitRemoved;
  notice.file = file;
  notice.offset = end;
  notice.removed_bytes = bytes->size() - end;
  notice.last_sequence = last_sequence_;
  notices->push_back(std::move(notice));
  return files_->Truncate(file, end).and_then([&] { return files_->Sync(file); });
}

StorageResult<std::size_t> Log::ReplayFrames(const std::string& file, std::string_view segment,
                                             const Replay& replay) {
  std::size_t offset = kSegmentHeaderSize;
  while (const std::optional<Frame> frame = DecodeFrame(segment, offset)) {
    if (StorageStatus status = ReplayFrame(file, offset, *frame, replay); !status)
      return tl::unexpected(status.error());
    offset += frame->size;
  }
  return offset;
}

StorageStatus Log::ReplayFrame(const std::string& file, std::size_t offset, const Frame& frame,
                               const Replay& replay) {
  if (StorageStatus status = CheckSequence(file, offset, frame.first_sequence); !status) return status;
  const std::optional<std::vector<std::string_view>> records = SplitRecords(frame);
  if (!records)
    return Damaged(file, offset, std::to_string(frame.record_count) + " records in this frame", "");
  const std::uint64_t last_before = last_sequence_;
  std::uint64_t sequence = frame.first_sequence;
  for (const std::string_view record : *records) {
    // Skips records that were replayed before, because their commit was retried, and records that the
    // snapshot contains.
    if (sequence == last_sequence_ + 1) {
      last_sequence_ = sequence;
      if (replay.record) replay.record(sequence, record);
    }
    ++sequence;
  }
  if (last_sequence_ > last_before) bytes_since_snapshot_ += frame.size;
  return {};
}

StorageStatus Log::CheckSequence(const std::string& file, std::size_t offset,
                                 std::uint64_t first_sequence) const {
  if (first_sequence <= last_sequence_ + 1) return {};
  return Damaged(file, offset, "sequence " + std::to_string(last_sequence_ + 1),
                 std::to_string(first_sequence));
}

// ---- Writing ----

StorageStatus Log::Commit(const std::vector<std::string>& records) {
  if (records.empty()) return {};
  if (StorageStatus status = CheckSizes(records); !status) return status;
  const std::string frame = EncodeFrame(last_sequence_ + 1, records);
  if (segment_size_ >= options_.segment_bytes) segment_open_ = false;
  if (!segment_open_) {
    if (StorageStatus status = BeginSegment(); !status) return status;
  }
  const std::string file = SegmentName(segments_.back().number);
  StorageStatus written = files_->Append(file, frame).and_then([&] { return files_->Sync(file); });
  if (!written) {
    // After a failed sync the kernel may have dropped the data and still report the pages as clean, so a
    // second sync could succeed without writing them. Therefore this segment is never appended to again.
    segment_open_ = false;
    return written;
  }
  last_segment_empty_ = false;
  last_sequence_ += records.size();
  segment_size_ += frame.size();
  bytes_since_snapshot_ += frame.size();
  return {};
}

StorageStatus Log::CheckSizes(const std::vector<std::string>& records) const {
  for (const std::string& record : records) {
    if (record.size() <= options_.max_record_bytes) continue;
    return CallerError(StorageErrorCode::kTooLarge,
                       "at most " + std::to_string(options_.max_record_bytes) + " bytes in a record",
                       std::to_string(record.size()));
  }
  const std::size_t bytes = FrameRecordBytes(records);
  if (bytes <= kMaxFrameRecordBytes) return {};
  return CallerError(StorageErrorCode::kTooLarge, "less than 4 GiB in a commit", std::to_string(bytes));
}

StorageStatus Log::BeginSegment() {
  if (last_segment_empty_) {
    // A commit to a disk that stays full is retried indefinitely. Without this removal each retry could leave
    // another file behind.
    if (StorageStatus status = files_->Remove(SegmentName(segments_.back().number)); !status) return status;
    segments_.pop_back();
    last_segment_empty_ = false;
  }
  const Segment segment{next_segment_number_++, last_sequence_ + 1};
  const std::string file = SegmentName(segment.number);
  const std::string header = EncodeSegmentHeader(segment.first_sequence);
  if (StorageStatus status = files_->Create(file); !status) return status;
  segments_.push_back(segment);
  last_segment_empty_ = true;
  return files_->Append(file, header)
      .and_then([&] { return files_->Sync(file); })
      .and_then([&] { return files_->SyncDirectory(); })
      .map([&] {
        segment_size_ = header.size();
        segment_open_ = true;
      });
}

StorageStatus Log::WriteSnapshot(std::uint64_t sequence, std::string_view state) {
  if (sequence > last_sequence_ || (!snapshots_.empty() && sequence <= snapshots_.back())) {
    return CallerError(StorageErrorCode::kInvalidArgument,
                       "a snapshot after sequence " + std::to_string(snapshot_sequence()) + " and up to " +
                           std::to_string(last_sequence_),
                       std::to_string(sequence));
  }
  const std::string file = SnapshotName(sequence);
  const std::string unfinished = NumberedFileName(options_.name, sequence, kUnfinishedSnapshotSuffix);
  // Removes the file that a failed attempt may have left behind. Usually there is none, and Remove fails.
  static_cast<void>(files_->Remove(unfinished));
  StorageStatus written =
      files_->Create(unfinished)
          .and_then([&] { return files_->Append(unfinished, EncodeSnapshotHeader(sequence, state)); })
          .and_then([&] { return files_->Append(unfinished, state); })
          .and_then([&] { return files_->Sync(unfinished); })
          .and_then([&] { return files_->Rename(unfinished, file); })
          .and_then([&] { return files_->SyncDirectory(); });
  if (!written) return written;
  snapshots_.push_back(sequence);
  segment_open_ = false;  // the next commit starts a new segment, so that older ones can be removed later
  bytes_since_snapshot_ = 0;
  return RemoveObsoleteFiles();
}

// Retains the newest snapshots, and the segments with records that are newer than the oldest of them.
StorageStatus Log::RemoveObsoleteFiles() {
  while (snapshots_.size() > kRetainedSnapshots) {
    if (StorageStatus status = files_->Remove(SnapshotName(snapshots_.front())); !status) return status;
    snapshots_.erase(snapshots_.begin());
  }
  if (snapshots_.size() < kRetainedSnapshots) return {};
  while (segments_.size() > 1 && segments_[1].first_sequence <= snapshots_.front() + 1) {
    if (StorageStatus status = files_->Remove(SegmentName(segments_.front().number)); !status) return status;
    segments_.erase(segments_.begin());
  }
  return {};
}

}  // namespace mountflow::storage
