#include "simulator_adapter/record_reader.hpp"

#include <bit>
#include <cstring>
#include <utility>

namespace mountflow::simulator_adapter {
namespace {

static_assert(std::endian::native == std::endian::little, "the protocol is little-endian");

// The length field precedes the bytes that a reader gets.
constexpr std::size_t kLengthFieldBytes = 4;

}  // namespace

std::string Describe(const WireError& error) {
  return "offset " + std::to_string(error.offset) + ": expected " + error.expected + ", got " + error.got;
}

template <typename T>
T RecordReader::Field(const char* field_name) {
  T value{};
  const std::span<const std::uint8_t> bytes = Bytes(sizeof value, field_name);
  if (bytes.size() == sizeof value) std::memcpy(&value, bytes.data(), sizeof value);
  return value;
}

std::uint8_t RecordReader::U8(const char* field_name) { return Field<std::uint8_t>(field_name); }
std::uint16_t RecordReader::U16(const char* field_name) { return Field<std::uint16_t>(field_name); }
std::uint32_t RecordReader::U32(const char* field_name) { return Field<std::uint32_t>(field_name); }
std::uint64_t RecordReader::U64(const char* field_name) { return Field<std::uint64_t>(field_name); }
double RecordReader::F32(const char* field_name) { return static_cast<double>(Field<float>(field_name)); }

std::span<const std::uint8_t> RecordReader::Bytes(std::size_t count, const char* field_name) {
  if (count > remaining()) {
    Fail(WireErrorCode::kTruncated, std::string(field_name) + " (" + std::to_string(count) + " bytes)",
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
