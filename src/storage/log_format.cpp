#include "storage/log_format.hpp"

#include <xxhash.h>

#include <cstdio>
#include <cstdlib>

namespace mountflow::storage {
namespace {

using namespace std::string_view_literals;

constexpr std::string_view kSegmentMagic = "MFLOG\0\0\1"sv;
constexpr std::string_view kSnapshotMagic = "MFSNAP\0\1"sv;
constexpr std::uint32_t kFrameMagic = 0x4d46f7a1;

template <typename T>
void AppendNumber(std::string* to, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i) to->push_back(static_cast<char>(value >> (8 * i) & 255));
}

template <typename T>
T NumberAt(std::string_view bytes, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i)
    value |= static_cast<T>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
  return value;
}

std::uint64_t Checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

}  // namespace

std::string NumberedFileName(std::string_view name, std::uint64_t number, std::string_view suffix) {
  constexpr std::size_t kMaxNumberText = 32;
  char text[kMaxNumberText];
  std::snprintf(text, sizeof text, "-%020llu", static_cast<unsigned long long>(number));
  return std::string(name) + text + std::string(suffix);
}

std::optional<std::uint64_t> ParseFileNumber(std::string_view file, std::string_view name,
                                             std::string_view suffix) {
  if (file.size() <= name.size() + 1 + suffix.size()) return std::nullopt;
  if (file.substr(0, name.size()) != name || file[name.size()] != '-') return std::nullopt;
  if (file.substr(file.size() - suffix.size()) != suffix) return std::nullopt;
  file.remove_prefix(name.size() + 1);
  file.remove_suffix(suffix.size());
  if (file.find_first_not_of("0123456789") != std::string_view::npos) return std::nullopt;
  return std::strtoull(std::string(file).c_str(), nullptr, 10);
}

std::string EncodeSegmentHeader(std::uint64_t first_sequence) {
  std::string header(kSegmentMagic);
  AppendNumber(&header, first_sequence);
  AppendNumber(&header, Checksum(header));
  return header;
}

std::optional<std::uint64_t> DecodeSegmentHeader(std::string_view segment) {
  if (segment.size() < kSegmentHeaderSize) return std::nullopt;
  if (segment.substr(0, 8) != kSegmentMagic) return std::nullopt;
  if (NumberAt<std::uint64_t>(segment, 16) != Checksum(segment.substr(0, 16))) return std::nullopt;
  return NumberAt<std::uint64_t>(segment, 8);
}

std::size_t FrameRecordBytes(const std::vector<std::string>& records) {
  std::size_t size = 0;
  for (const std::string& record : records) size += kRecordHeaderSize + record.size();
  return size;
}

std::string EncodeFrame(std::uint64_t first_sequence, const std::vector<std::string>& records) {
  const std::size_t record_bytes = FrameRecordBytes(records);
  std::string frame;
  frame.reserve(kFrameHeaderSize + record_bytes + kFrameChecksumSize);
  AppendNumber(&frame, kFrameMagic);
  AppendNumber(&frame, static_cast<std::uint32_t>(record_bytes));
  AppendNumber(&frame, first_sequence);
  AppendNumber(&frame, static_cast<std::uint32_t>(records.size()));
  for (const std::string& record : records) {
    AppendNumber(&frame, static_cast<std::uint32_t>(record.size()));
    frame += record;
  }
  AppendNumber(&frame, Checksum(frame));
  return frame;
}

std::optional<Frame> DecodeFrame(std::string_view bytes, std::size_t offset) {
  if (bytes.size() < offset + kFrameHeaderSize + kFrameChecksumSize) return std::nullopt;
  const std::string_view rest = bytes.substr(offset);
  if (NumberAt<std::uint32_t>(rest, 0) != kFrameMagic) return std::nullopt;
  const std::size_t record_bytes = NumberAt<std::uint32_t>(rest, 4);
  if (rest.size() - kFrameHeaderSize - kFrameChecksumSize < record_bytes) return std::nullopt;
  const std::size_t checksum_at = kFrameHeaderSize + record_bytes;
  if (NumberAt<std::uint64_t>(rest, checksum_at) != Checksum(rest.substr(0, checksum_at)))
    return std::nullopt;
  Frame frame;
  frame.first_sequence = NumberAt<std::uint64_t>(rest, 8);
  frame.record_count = NumberAt<std::uint32_t>(rest, 16);
  frame.records = rest.substr(kFrameHeaderSize, record_bytes);
  frame.size = checksum_at + kFrameChecksumSize;
  return frame;
}

std::optional<std::size_t> FindFrame(std::string_view bytes, std::size_t offset) {
  for (std::size_t at = offset; at + kFrameHeaderSize + kFrameChecksumSize <= bytes.size(); ++at) {
    if (DecodeFrame(bytes, at)) return at;
  }
  return std::nullopt;
}

std::optional<std::vector<std::string_view>> SplitRecords(const Frame& frame) {
  std::vector<std::string_view> records;
  std::string_view rest = frame.records;
  for (std::uint32_t i = 0; i < frame.record_count; ++i) {
    if (rest.size() < kRecordHeaderSize) return std::nullopt;
    const std::size_t size = NumberAt<std::uint32_t>(rest, 0);
    rest.remove_prefix(kRecordHeaderSize);
    if (rest.size() < size) return std::nullopt;
    records.push_back(rest.substr(0, size));
    rest.remove_prefix(size);
  }
  return records;
}

std::string EncodeSnapshotHeader(std::uint64_t sequence, std::string_view state) {
  std::string header(kSnapshotMagic);
  AppendNumber(&header, sequence);
  AppendNumber(&header, static_cast<std::uint64_t>(state.size()));
  AppendNumber(&header, Checksum(header) ^ Checksum(state));
  return header;
}

std::optional<std::string_view> DecodeSnapshot(std::string_view snapshot, std::uint64_t sequence) {
  if (snapshot.size() < kSnapshotHeaderSize) return std::nullopt;
  const std::string_view state = snapshot.substr(kSnapshotHeaderSize);
  if (snapshot.substr(0, 8) != kSnapshotMagic) return std::nullopt;
  if (NumberAt<std::uint64_t>(snapshot, 8) != sequence) return std::nullopt;
  if (NumberAt<std::uint64_t>(snapshot, 16) != state.size()) return std::nullopt;
  const std::uint64_t checksum = Checksum(snapshot.substr(0, 24)) ^ Checksum(state);
  if (NumberAt<std::uint64_t>(snapshot, 24) != checksum) return std::nullopt;
  return state;
}

}  // namespace mountflow::storage
