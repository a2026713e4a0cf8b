// The file format of a log. All functions are pure and perform no I/O. All numbers are little-endian.
//
//   - Segment, file NAME-NUMBER.log: magic, first sequence, checksum; then frames.
//   - Frame: magic, size of the records, first sequence, number of records, records, checksum.
//   - Record: length, bytes.
//   - Snapshot, file NAME-SEQUENCE.snap: magic, sequence, size of the state, checksum; then the state.
#ifndef MOUNTFLOW_STORAGE_LOG_FORMAT_HPP_
#define MOUNTFLOW_STORAGE_LOG_FORMAT_HPP_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mountflow::storage {

constexpr std::size_t kSegmentHeaderSize = 8 + 8 + 8;
constexpr std::size_t kFrameHeaderSize = 4 + 4 + 8 + 4;
constexpr std::size_t kFrameChecksumSize = 8;
constexpr std::size_t kRecordHeaderSize = 4;
constexpr std::size_t kSnapshotHeaderSize = 8 + 8 + 8 + 8;
// Upper bound for FrameRecordBytes(): the frame header stores this size in 32 bits.
constexpr std::size_t kMaxFrameRecordBytes = std::numeric_limits<std::uint32_t>::max();

constexpr std::string_view kSegmentSuffix = ".log";
constexpr std::string_view kSnapshotSuffix = ".snap";
constexpr std::string_view kUnfinishedSnapshotSuffix = ".snap.part";

// Returns the file name NAME-NUMBER followed by `suffix`. NUMBER is padded with zeros so that names sort by
// number.
[[nodiscard]] std::string NumberedFileName(std::string_view name, std::uint64_t number,
                                           std::string_view suffix);
// Returns the number in such a file name; nullopt if `file` belongs to another log or has another suffix.
[[nodiscard]] std::optional<std::uint64_t> ParseFileNumber(std::string_view file, std::string_view name,
                                                           std::string_view suffix);

[[nodiscard]] std::string EncodeSegmentHeader(std::uint64_t first_sequence);
// Returns the first sequence of a segment; nullopt when its header is incomplete or damaged.
[[nodiscard]] std::optional<std::uint64_t> DecodeSegmentHeader(std::string_view segment);

// A decoded frame.
struct Frame {
  std::uint64_t first_sequence = 0;  // sequence of the first record
  std::uint32_t record_count = 0;
  std::string_view records;  // the encoded records; points into the bytes that were decoded
  std::size_t size = 0;      // size in bytes of the whole frame, with header and checksum
};

// Returns the size in bytes that `records` have in a frame, with their lengths.
[[nodiscard]] std::size_t FrameRecordBytes(const std::vector<std::string>& records);
// Returns a frame with these records. FrameRecordBytes(records) must be at most kMaxFrameRecordBytes.
[[nodiscard]] std::string EncodeFrame(std::uint64_t first_sequence, const std::vector<std::string>& records);
// Returns the frame at `offset`; nullopt when the bytes there are not a whole frame with a correct checksum.
[[nodiscard]] std::optional<Frame> DecodeFrame(std::string_view bytes, std::size_t offset);
// Returns the offset of the first whole frame at or after `offset`; nullopt when there is none.
[[nodiscard]] std::optional<std::size_t> FindFrame(std::string_view bytes, std::size_t offset);
// Returns the records of a frame; nullopt when it contains fewer records than its header states.
[[nodiscard]] std::optional<std::vector<std::string_view>> SplitRecords(const Frame& frame);

// Returns the header of a snapshot. In the file the state follows it.
[[nodiscard]] std::string EncodeSnapshotHeader(std::uint64_t sequence, std::string_view state);
// Returns the state in a snapshot; nullopt when the snapshot is incomplete, damaged or not of `sequence`.
[[nodiscard]] std::optional<std::string_view> DecodeSnapshot(std::string_view snapshot,
                                                             std::uint64_t sequence);

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_LOG_FORMAT_HPP_
