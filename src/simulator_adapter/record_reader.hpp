// Reads the fields of records from the bytes of one frame.
#ifndef MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_READER_HPP_
#define MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_READER_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mountflow::simulator_adapter {

// The kinds of errors in a frame.
enum class WireErrorCode {
  kTruncated,     // the frame or the input ends within a field
  kUnknownValue,  // a field has a value that the protocol does not define
  kNoInstance,    // an event precedes the record that selects its instance
  kFrameTooShort  // the frame is too short for its clock
};

// The reason why a frame cannot be decoded. The input after the error cannot be interpreted.
struct WireError {
  WireErrorCode code = WireErrorCode::kTruncated;
  std::size_t offset = 0;  // position in the frame, counted from the start of its length field
  std::string expected;
  std::string got;
};

// Returns one sentence with the offset, the expected input and the actual input.
[[nodiscard]] std::string Describe(const WireError& error);

// Reads the bytes of a frame after its length field from front to back. After the first error the reader is
// at the end and returns 0 for each field, so that a decoder needs to check for errors only once for each
// record. Does not own the bytes, which must outlive it.
class RecordReader {
 public:
  explicit RecordReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  // Read one little-endian field; `field_name` names it in an error.
  std::uint8_t U8(const char* field_name);
  std::uint16_t U16(const char* field_name);
  std::uint32_t U32(const char* field_name);
  std::uint64_t U64(const char* field_name);
  double F32(const char* field_name);
  // Returns the next `count` bytes; an empty span after an error.
  std::span<const std::uint8_t> Bytes(std::size_t count, const char* field_name);

  // Stores an error at the current offset, unless there is one already, and moves to the end.
  void Fail(WireErrorCode code, std::string expected, std::string got);

  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - position_; }
  [[nodiscard]] const std::optional<WireError>& error() const { return error_; }

 private:
  // Reads one field of type T.
  template <typename T>
  T Field(const char* field_name);

  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
  std::optional<WireError> error_;
};

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_READER_HPP_
