// DIS, "data is strings": the encoding of the PBS batch protocol.
//
// Numbers are decimal digits behind their sign; a number of several digits is
// preceded by its digit count, and that by its own count, until a count is one
// digit. Strings are their length and their bytes.
//
// The Reader works on what has arrived so far and tells three things apart:
// read, more is needed (and how much at least), and never valid.
#ifndef MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_
#define MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::pbs_protocol {

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

// Reads values one after the other. After the first that is not kOk every
// further read returns a zero value and the state stays.
class DisReader {
 public:
  explicit DisReader(std::string_view bytes) : bytes_(bytes) {}

  std::uint64_t Unsigned();
  std::int64_t Signed();
  // A string of more than `most` bytes is kBad before any of them is awaited.
  std::string_view Text(std::size_t most);

  // Marks the input as invalid for a reason that the caller found.
  void Fail(const char* what);

  DisState state() const { return state_; }
  bool ok() const { return state_ == DisState::kOk; }
  std::size_t at() const { return at_; }       // bytes consumed
  std::size_t needs() const { return need_; }  // for kMore: least total length worth trying again
  const char* what() const { return what_; }   // for kBad: what was expected

 private:
  // Reads sign and digits; false when not complete or not valid.
  bool Number(bool* negative, std::uint64_t* magnitude);
  bool Need(std::size_t total);

  std::string_view bytes_;
  std::size_t at_ = 0, need_ = 0;
  DisState state_ = DisState::kOk;
  const char* what_ = "";
};

}  // namespace mountflow::pbs_protocol

#endif  // MOUNTFLOW_PBS_PROTOCOL_DIS_HPP_
