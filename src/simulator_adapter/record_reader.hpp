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

enum class WireErrorCode {
  kTruncated,     // the frame or the input ends within a field
  kUnknownValue,  // a field has a value that the protocol does not define
  kNoInstance,    // an event comes before the record that selects its instance
  kFrameTooShort  // a frame without its clock
};

// Why a frame cannot be read. The input cannot be trusted any more after it.
struct WireError {
  WireErrorCode code = WireErrorCode::kTruncated;
  std::size_t offset = 0;  // in the frame, its length field included
  std::string expected;
  std::string got;
};

// One sentence that names the offset, what was expected, and what came.
[[nodiscard]] std::string Describe(const WireError& error);

// A cursor over the bytes of a frame behind its length field. After the first error it stands at the end and
// every field reads as 0, so that a decoder checks for an error once a record. Does not own the bytes.
class RecordReader {
 public:
  explicit RecordReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  // Reads one little-endian field; `what` names it in an error.
  std::uint8_t U8(const char* what);
  std::uint16_t U16(const char* what);
  std::uint32_t U32(const char* what);
  std::uint64_t U64(const char* what);
  double F32(const char* what);
  // The next `count` bytes; none after an error.
  std::span<const std::uint8_t> Bytes(std::size_t count, const char* what);

  // Records an error at the current offset, unless there is one already.
  void Fail(WireErrorCode code, std::string expected, std::string got);

  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - position_; }
  [[nodiscard]] const std::optional<WireError>& error() const { return error_; }

 private:
  template <typename T>
  T Field(const char* what);

  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
  std::optional<WireError> error_;
};

}  // namespace mountflow::simulator_adapter

#endif  // MOUNTFLOW_SIMULATOR_ADAPTER_RECORD_READER_HPP_
