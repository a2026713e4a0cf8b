#include "storage/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace mountflow::storage {
namespace {

using namespace std::string_view_literals;

// All numbers little-endian.
constexpr std::string_view kSegmentMagic = "MFLOG\0\0\1"sv, kSnapshotMagic = "MFSNAP\0\1"sv;
constexpr std::uint32_t kFrameMagic = 0x4d46f7a1;
constexpr std::size_t kSegmentHeader = 8 + 8 + 8;    // magic, first sequence, checksum
constexpr std::size_t kFrameHeader = 4 + 4 + 8 + 4;  // magic, bytes of records, first sequence, records
constexpr std::size_t kChecksum = 8;
constexpr std::size_t kSnapshotHeader =
    8 + 8 + 8 + 8;  // magic, sequence, bytes, checksum of those and the state

template <typename T>
void PutNumber(std::string* to, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i) to->push_back(static_cast<char>(value >> (8 * i) & 255));
}

template <typename T>
T GetNumber(std::string_view from, std::size_t at) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i)
    value |= static_cast<T>(static_cast<unsigned char>(from[at + i])) << (8 * i);
  return value;
}

std::uint64_t Sum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

struct Frame {
  std::uint64_t first = 0;
  std::uint32_t count = 0;
  std::string_view records;
  std::size_t size = 0;  // of all
};

// The whole frame at `at`; false when there is none.
bool ReadFrame(std::string_view bytes, std::size_t at, Frame* frame) {
  if (bytes.size() < at + kFrameHeader + kChecksum || GetNumber<std::uint32_t>(bytes, at) != kFrameMagic)
    return false;
  const std::size_t length = GetNumber<std::uint32_t>(bytes, at + 4);
  if (bytes.size() - at - kFrameHeader - kChecksum < length) return false;
  const std::size_t end = kFrameHeader + length;
  if (GetNumber<std::uint64_t>(bytes, at + end) != Sum(bytes.substr(at, end))) return false;
  frame->first = GetNumber<std::uint64_t>(bytes, at + 8);
  frame->count = GetNumber<std::uint32_t>(bytes, at + 16);
  frame->records = bytes.substr(at + kFrameHeader, length);
  frame->size = end + kChecksum;
  return true;
}

std::string Place(const std::string& file, std::size_t offset) {
  return file + " at byte " + std::to_string(offset);
}

// The number in PREFIX-NUMBER.SUFFIX.
bool NumberIn(const std::string& file, const std::string& prefix, const std::string& suffix,
              std::uint64_t* number) {
  if (file.size() <= prefix.size() + 1 + suffix.size() ||
      file.compare(0, prefix.size() + 1, prefix + "-") != 0 ||
      file.compare(file.size() - suffix.size(), suffix.size(), suffix) != 0) {
    return false;
  }
  const std::string digits = file.substr(prefix.size() + 1, file.size() - prefix.size() - 1 - suffix.size());
  if (digits.find_first_not_of("0123456789") != std::string::npos) return false;
  *number = std::strtoull(digits.c_str(), nullptr, 10);
  return true;
}

std::string Padded(const std::string& name, std::uint64_t number, const char* suffix) {
  char text[32];
  std::snprintf(text, sizeof text, "-%020llu", static_cast<unsigned long long>(number));
  return name + text + suffix;
}

}  // namespace

std::string Log::SegmentName(std::uint64_t number) const { return Padded(options_.name, number, ".log"); }
std::string Log::SnapshotName(std::uint64_t at) const { return Padded(options_.name, at, ".snap"); }

bool Log::Open(const Replay& replay, std::vector<std::string>* told, std::string* error) {
  std::vector<std::string> names;
  if (!files_->List(&names, error)) return false;
  for (const std::string& name : names) {
    std::uint64_t number = 0;
    if (NumberIn(name, options_.name, ".log", &number)) {
      segments_.push_back({number, 0});
      next_number_ = std::max(next_number_, number + 1);
    } else if (NumberIn(name, options_.name, ".snap", &number)) {
      snapshots_.push_back(number);
    } else if (NumberIn(name, options_.name, ".snap.part", &number) && !files_->Remove(name, error)) {
      return false;  // it was not finished, and is not needed
    }
  }
  std::sort(segments_.begin(), segments_.end(),
            [](const auto& a, const auto& b) { return a.number < b.number; });
  std::sort(snapshots_.begin(), snapshots_.end());
  if (!LoadSnapshot(replay, told, error)) return false;
  const std::size_t count = segments_.size();
  for (std::size_t i = 0; i < count; ++i) {
    if (!ReplaySegment(&segments_[i], i + 1 == count, replay, told, error)) return false;
    // One whose head was torn holds nothing; the last of such is gone by now.
    if (i < segments_.size() && segments_[i].first == 0) segments_[i].first = last_ + 1;
  }
  return true;
}

bool Log::LoadSnapshot(const Replay& replay, std::vector<std::string>* told, std::string* error) {
  while (!snapshots_.empty()) {
    const std::string name = SnapshotName(snapshots_.back());
    std::string bytes;
    if (!files_->Read(name, &bytes, error)) return false;
    const std::string_view all = bytes;
    const bool whole =
        all.size() >= kSnapshotHeader && all.substr(0, 8) == kSnapshotMagic &&
        GetNumber<std::uint64_t>(all, 8) == snapshots_.back() &&
        GetNumber<std::uint64_t>(all, 16) == all.size() - kSnapshotHeader &&
        GetNumber<std::uint64_t>(all, 24) == (Sum(all.substr(0, 24)) ^ Sum(all.substr(kSnapshotHeader)));
    if (whole) {
      last_ = snapshots_.back();
      if (replay.snapshot) replay.snapshot(last_, all.substr(kSnapshotHeader));
      return true;
    }
    told->push_back(name + ": expected a whole snapshot; the one before it serves");
    if (!files_->Rename(name, name + ".broken", error)) return false;
    snapshots_.pop_back();
  }
  return true;
}

bool Log::ReplaySegment(Segment* segment, bool final, const Replay& replay, std::vector<std::string>* told,
                        std::string* error) {
  const std::string name = SegmentName(segment->number);
  std::string bytes;
  if (!files_->Read(name, &bytes, error)) return false;
  const std::string_view all = bytes;
  std::size_t at = kSegmentHeader;
  const bool headed = all.size() >= kSegmentHeader && all.substr(0, 8) == kSegmentMagic &&
                      GetNumber<std::uint64_t>(all, 16) == Sum(all.substr(0, 16));
  if (headed) {
    const std::uint64_t first = GetNumber<std::uint64_t>(all, 8);
    segment->first = first;
    if (first > last_ + 1) {
      *error = Place(name, 0) + ": expected sequence " + std::to_string(last_ + 1) + ", found " +
               std::to_string(first);
      return false;
    }
  } else {
    at = 0;
  }
  Frame frame;
  while (headed && ReadFrame(all, at, &frame)) {
    if (frame.first > last_ + 1) {
      *error = Place(name, at) + ": expected sequence " + std::to_string(last_ + 1) + ", found " +
               std::to_string(frame.first);
      return false;
    }
    const std::uint64_t before = last_;
    std::size_t in = 0;
    for (std::uint32_t i = 0; i < frame.count; ++i) {
      if (frame.records.size() - in < 4 ||
          GetNumber<std::uint32_t>(frame.records, in) > frame.records.size() - in - 4) {
        *error = Place(name, at) + ": expected " + std::to_string(frame.count) + " records in this frame";
        return false;
      }
      const std::size_t size = GetNumber<std::uint32_t>(frame.records, in);
      // One that is here twice (a commit tried again), or in the snapshot already, counts once.
      if (frame.first + i == last_ + 1) {
        last_ = frame.first + i;
        if (replay.record) replay.record(last_, frame.records.substr(in + 4, size));
      }
      in += 4 + size;
    }
    if (last_ > before) bytes_ += frame.size;
    at += frame.size;
  }
  if (at == all.size() && headed) return true;
  // What follows is no whole frame. Only a crash's torn last frame may be here.
  for (std::size_t later = at + 1; later + kFrameHeader + kChecksum <= all.size(); ++later) {
    if (!ReadFrame(all, later, &frame)) continue;
    *error = Place(name, at) + ": expected a whole frame with sequence " + std::to_string(last_ + 1) +
             "; whole frames follow at byte " + std::to_string(later) + ", so this is damage, not a crash";
    return false;
  }
  if (final && !headed) {  // it was just begun
    segments_.pop_back();
    return files_->Remove(name, error);
  }
  if (!final) return true;  // a commit that failed; the next segment goes on with it, or shows the gap
  told->push_back(Place(name, at) + ": a torn commit of " + std::to_string(all.size() - at) +
                  " bytes after sequence " + std::to_string(last_) + " was cut off");
  return files_->Truncate(name, at, error) && files_->Sync(name, error);
}

bool Log::Begin(std::string* error) {
  if (stub_) {
    // Danger: a disk that stays full is tried again and again, and each try could leave a file.
    if (!files_->Remove(SegmentName(segments_.back().number), error)) return false;
    segments_.pop_back();
    stub_ = false;
  }
  const Segment segment{next_number_++, last_ + 1};
  const std::string name = SegmentName(segment.number);
  std::string head(kSegmentMagic);
  PutNumber(&head, segment.first);
  PutNumber(&head, Sum(head));
  if (!files_->Create(name, error)) return false;
  segments_.push_back(segment);
  stub_ = true;
  if (!files_->Append(name, head, error) || !files_->Sync(name, error) || !files_->SyncFolder(error))
    return false;
  size_ = head.size();
  writing_ = true;
  return true;
}

bool Log::Commit(const std::vector<std::string>& records, std::string* error) {
  if (records.empty()) return true;
  std::string frame;
  std::size_t length = 0;
  for (const std::string& r : records) {
    if (r.size() > options_.most_record) {
      *error = "a record of " + std::to_string(r.size()) + " bytes: expected at most " +
               std::to_string(options_.most_record);
      return false;
    }
    length += 4 + r.size();
  }
  if (length > 0xffffffffu) {
    *error = "a commit of " + std::to_string(length) + " bytes: expected less than 4 GiB";
    return false;
  }
  frame.reserve(kFrameHeader + length + kChecksum);
  PutNumber(&frame, kFrameMagic);
  PutNumber(&frame, static_cast<std::uint32_t>(length));
  PutNumber(&frame, last_ + 1);
  PutNumber(&frame, static_cast<std::uint32_t>(records.size()));
  for (const std::string& r : records) {
    PutNumber(&frame, static_cast<std::uint32_t>(r.size()));
    frame += r;
  }
  PutNumber(&frame, Sum(frame));
  if (writing_ && size_ >= options_.segment_bytes) writing_ = false;
  if (!writing_ && !Begin(error)) return false;
  const std::string name = SegmentName(segments_.back().number);
  if (!files_->Append(name, frame, error) || !files_->Sync(name, error)) {
    // Danger: after a failed sync the system may have dropped the data and still call it clean. This segment
    // is not written to again.
    writing_ = false;
    return false;
  }
  stub_ = false;
  last_ += records.size();
  size_ += frame.size();
  bytes_ += frame.size();
  return true;
}

bool Log::Snapshot(std::uint64_t at, std::string_view state, std::string* error) {
  if (at > last_ || (!snapshots_.empty() && at <= snapshots_.back())) {
    *error = "a snapshot at " + std::to_string(at) + ": expected more than " + std::to_string(snapshot_at()) +
             " and at most " + std::to_string(last_);
    return false;
  }
  std::string head(kSnapshotMagic);
  PutNumber(&head, at);
  PutNumber(&head, static_cast<std::uint64_t>(state.size()));
  PutNumber(&head, Sum(head) ^ Sum(state));
  const std::string name = SnapshotName(at), part = name + ".part";
  std::string ignored;
  files_->Remove(part, &ignored);  // of a try that failed
  if (!files_->Create(part, error) || !files_->Append(part, head, error) ||
      !files_->Append(part, state, error) || !files_->Sync(part, error) ||
      !files_->Rename(part, name, error) || !files_->SyncFolder(error)) {
    return false;
  }
  snapshots_.push_back(at);
  writing_ = false;  // a new segment, so that older ones can go
  bytes_ = 0;
  return RemoveOld(error);
}

// Two snapshots are kept, and the segments with what came after the older one.
bool Log::RemoveOld(std::string* error) {
  while (snapshots_.size() > 2) {
    if (!files_->Remove(SnapshotName(snapshots_.front()), error)) return false;
    snapshots_.erase(snapshots_.begin());
  }
  if (snapshots_.size() < 2) return true;
  while (segments_.size() > 1 && segments_[1].first <= snapshots_.front() + 1) {
    if (!files_->Remove(SegmentName(segments_.front().number), error)) return false;
    segments_.erase(segments_.begin());
  }
  return true;
}

}  // namespace mountflow::storage
