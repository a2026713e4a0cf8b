#include "simulator_adapter/record_reader.hpp"

#include <bit>
#include <cstring>
#include <utility>

namespace mountflow::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

constexpr std::size_t kLengthFieldBytes = 4;  // in front of the bytes that a reader gets

}  // namespace

std::string Describe(const WireError& error) {
  return "offset " + std::to_string(error.offset) + ": expected " + error.expected + ", got " + error.got;
}

template <typename T>
T RecordReader::Field(const char* what) {
  T value{};
  const std::span<const std::uint8_t> bytes = Bytes(sizeof value, what);
  if (bytes.size() == sizeof value) std::memcpy(&value, bytes.data(), sizeof value);
  return value;
}

std::uint8_t RecordReader::U8(const char* what) { return Field<std::uint8_t>(what); }
std::uint16_t RecordReader::U16(const char* what) { return Field<std::uint16_t>(what); }
std::uint32_t RecordReader::U32(const char* what) { return Field<std::uint32_t>(what); }
std::uint64_t RecordReader::U64(const char* what) { return Field<std::uint64_t>(what); }
double RecordReader::F32(const char* what) { return static_cast<double>(Field<float>(what)); }

std::span<const std::uint8_t> RecordReader::Bytes(std::size_t count, const char* what) {
  if (count > remaining()) {
    Fail(WireErrorCode::kTruncated, std::string(what) + " (" + std::to_string(count) + " bytes)",
         std::to_string(remaining()) + " bytes");
    return {};
  }
  const std::span<const std::uint8_t> result = bytes_.subspan(position_, count);
  position_ += count;
  return result;
}

void RecordReader::Fail(WireErrorCode code, std::string expected, std::string got) {
  if (error_) return;
  error_ = WireError{code, position_ + kLengthFieldBytes, std::move(expected), std::move(got)};
  position_ = bytes_.size();
}

}  // namespace mountflow::simulator_adapter
