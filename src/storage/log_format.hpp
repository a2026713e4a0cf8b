// The bytes of a log on disk. Pure functions, free of I/O. All numbers are little-endian.
//
//   segment  NAME-NUMBER.log    magic, first sequence, checksum; then frames
//   frame                       magic, bytes of records, first sequence, number of records, records, checksum
//   record                      length, bytes
//   snapshot NAME-SEQUENCE.snap magic, sequence, bytes of state, checksum; then the state
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
// Of all records of a frame with their lengths: what fits the frame's 32-bit length.
constexpr std::size_t kMaxFrameRecordBytes = std::numeric_limits<std::uint32_t>::max();

constexpr std::string_view kSegmentSuffix = ".log";
constexpr std::string_view kSnapshotSuffix = ".snap";
constexpr std::string_view kUnfinishedSnapshotSuffix = ".snap.part";

// File name "NAME-NUMBER.SUFFIX", with NUMBER padded so that names sort by number.
[[nodiscard]] std::string NumberedFileName(std::string_view name, std::uint64_t number,
                                           std::string_view suffix);
// The number in such a name; nullopt for the files of other logs and other suffixes.
[[nodiscard]] std::optional<std::uint64_t> ParseFileNumber(std::string_view file, std::string_view name,
                                                           std::string_view suffix);

[[nodiscard]] std::string EncodeSegmentHeader(std::uint64_t first_sequence);
// The first sequence of a segment; nullopt when its header is incomplete or damaged.
[[nodiscard]] std::optional<std::uint64_t> DecodeSegmentHeader(std::string_view segment);

struct Frame {
  std::uint64_t first_sequence = 0;
  std::uint32_t record_count = 0;
  std::string_view records;  // within the decoded bytes
  std::size_t size = 0;      // of the whole frame
};

// The size of `records` in a frame, with their lengths.
[[nodiscard]] std::size_t FrameRecordBytes(const std::vector<std::string>& records);
// FrameRecordBytes(records) must be at most kMaxFrameRecordBytes.
[[nodiscard]] std::string EncodeFrame(std::uint64_t first_sequence, const std::vector<std::string>& records);
// The frame at `offset`; nullopt when there is no whole one with a correct checksum.
[[nodiscard]] std::optional<Frame> DecodeFrame(std::string_view bytes, std::size_t offset);
// The offset of the first whole frame at or after `offset`.
[[nodiscard]] std::optional<std::size_t> FindFrame(std::string_view bytes, std::size_t offset);
// The records of a frame; nullopt when it does not hold as many as it says.
[[nodiscard]] std::optional<std::vector<std::string_view>> SplitRecords(const Frame& frame);

// The header of a snapshot; the state follows it.
[[nodiscard]] std::string EncodeSnapshotHeader(std::uint64_t sequence, std::string_view state);
// The state of the snapshot of this sequence; nullopt when it is incomplete, damaged or of another sequence.
[[nodiscard]] std::optional<std::string_view> DecodeSnapshot(std::string_view snapshot,
                                                             std::uint64_t sequence);

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_LOG_FORMAT_HPP_
