// Encoder and decoder for DIS ("data is strings"), the encoding of the PBS batch protocol.
//
// A number is its sign followed by its decimal digits. A number of two or more digits is preceded by its
// digit count; a count of two or more digits is preceded by its own digit count, and so on until a count has
// one digit. A string is its length, encoded as a number, followed by its bytes.
//
// The reader decodes a prefix of the input. It distinguishes a complete value, an incomplete value (with the
// least number of bytes it needs), and malformed input.
#ifndef MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_
#define MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::pbs_protocol {

// Appends encoded values to `out`, which must outlive the writer.
class DisWriter {
 public:
  explicit DisWriter(std::string* out) : out_(out) {}
  void Unsigned(std::uint64_t value);
  void Signed(std::int64_t value);
  void Text(std::string_view bytes);

 private:
  void Digits(char sign, std::uint64_t magnitude);

  std::string* out_;
};

enum class DisState {
  kOk,
  kMore,  // the input is incomplete: more bytes are needed
  kBad    // the input is malformed: more bytes cannot make it valid
};

// Decodes consecutive values from a byte string, which must outlive the reader. Once the state is not kOk, it
// no longer changes, and every further read returns zero or an empty string.
class DisReader {
 public:
  explicit DisReader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t Unsigned();
  std::int64_t Signed();
  // Reads a string. A stated length above `max_bytes` sets kBad even if the bytes have not arrived.
  std::string_view Text(std::size_t max_bytes);

  // Sets kBad. `expected` describes valid input at this position and must outlive the reader. Has no effect
  // if the state is kBad already.
  void Fail(const char* expected);

  [[nodiscard]] DisState state() const { return state_; }
  [[nodiscard]] bool ok() const { return state_ == DisState::kOk; }
  // Number of bytes consumed.
  [[nodiscard]] std::size_t at() const { return at_; }
  // In state kMore: the least total input length, in bytes, with which decoding can get further.
  [[nodiscard]] std::size_t needs() const { return needs_; }
  // In state kBad: a description of the input that was expected.
  [[nodiscard]] const char* expected() const { return expected_; }

 private:
  // The functions below return false, and set the state, if the input is incomplete or malformed.

  bool ReadNumber(bool* negative, std::uint64_t* magnitude);
  // Reads a sign and the digit counts in front of it. Sets `digits` to the number of digits after the sign.
  bool ReadSign(bool* negative, std::uint64_t* digits);
  // Reads a count that has `*count` digits and stores its value in `count`.
  bool ReadCount(std::uint64_t* count);
  bool ReadDigits(std::uint64_t count, const char* expected, std::uint64_t* value);
  // Checks that the input has at least `total` bytes.
  bool RequireBytes(std::size_t total);

  std::string_view bytes_;
  std::size_t at_ = 0;
  std::size_t needs_ = 0;
  DisState state_ = DisState::kOk;
  const char* expected_ = "";
};

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_
