// DIS, "data is strings": the encoding of the PBS batch protocol.
//
// Numbers are decimal digits behind their sign; a number of several digits is
// preceded by its digit count, and that by its own count, until a count is one
// digit. Strings are their length and their bytes.
//
// The reader works on what has arrived so far and distinguishes three results: a value, more bytes needed
// (and how many at least), and input that no further byte can make valid.
#ifndef MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_
#define MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::pbs_protocol {

// Appends values to `out`, which must outlive it.
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
  kMore,  // the value is not complete yet
  kBad    // no further byte can make it valid
};

// Reads values one after the other from bytes that must outlive it. After the first that is not kOk every
// further read returns a zero value and the state stays.
class DisReader {
 public:
  explicit DisReader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t Unsigned();
  std::int64_t Signed();
  // A string of more than `max_bytes` is kBad before any of them is awaited.
  std::string_view Text(std::size_t max_bytes);

  // Marks the input as invalid for a reason that the caller found; the first one stays.
  void Fail(const char* expected);

  [[nodiscard]] DisState state() const { return state_; }
  [[nodiscard]] bool ok() const { return state_ == DisState::kOk; }
  [[nodiscard]] std::size_t at() const { return at_; }        // bytes consumed
  [[nodiscard]] std::size_t needs() const { return needs_; }  // kMore: least total length worth trying again
  [[nodiscard]] const char* expected() const { return expected_; }  // kBad: what was expected

 private:
  // These are false when the input is not complete or not valid.
  bool ReadNumber(bool* negative, std::uint64_t* magnitude);
  bool ReadSign(bool* negative, std::uint64_t* digits);  // and the digit count before it
  bool ReadCount(std::uint64_t* count);                  // of so many digits, which it replaces
  bool ReadDigits(std::uint64_t count, const char* expected, std::uint64_t* value);
  bool Need(std::size_t total);

  std::string_view bytes_;
  std::size_t at_ = 0;
  std::size_t needs_ = 0;
  DisState state_ = DisState::kOk;
  const char* expected_ = "";
};

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_
