#include "pbs_protocol/dis.hpp"

#include <charconv>
#include <limits>

namespace mountflow::pbs_protocol {
namespace {

constexpr std::uint64_t kMaxDigits = 20;  // digits of the largest 64-bit number
constexpr int kMaxCountLevels = 2;        // digit counts in front of a number with kMaxDigits digits

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

}  // namespace

void DisWriter::Digits(char sign, std::uint64_t magnitude) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof digits, magnitude).ptr;
  const std::string_view number(digits, static_cast<std::size_t>(end - digits));
  // Writes the digit counts: 123 has 3 digits, so it becomes "3+123". 1234567890 has 10 digits, and 10 has 2
  // digits, so it becomes "210+1234567890".
  if (number.size() > 1) {
    char count[4];
    const auto count_end = std::to_chars(count, count + sizeof count, number.size()).ptr;
    const std::string_view inner(count, static_cast<std::size_t>(count_end - count));
    if (inner.size() > 1) out_->push_back(static_cast<char>('0' + inner.size()));
    out_->append(inner);
  }
  out_->push_back(sign);
  out_->append(number);
}

void DisWriter::Unsigned(std::uint64_t value) { Digits('+', value); }

void DisWriter::Signed(std::int64_t value) {
  const bool negative = value < 0;
  // Negates in unsigned arithmetic, because the smallest signed value has no positive counterpart.
  const auto bits = static_cast<std::uint64_t>(value);
  Digits(negative ? '-' : '+', negative ? ~bits + 1 : bits);
}

void DisWriter::Text(std::string_view bytes) {
  Unsigned(bytes.size());
  out_->append(bytes);
}

void DisReader::Fail(const char* expected) {
  if (state_ == DisState::kBad) return;
  state_ = DisState::kBad;
  expected_ = expected;
}

bool DisReader::RequireBytes(std::size_t total) {
  if (bytes_.size() >= total) return true;
  state_ = DisState::kMore;
  needs_ = total;
  return false;
}

bool DisReader::ReadDigits(std::uint64_t count, const char* expected, std::uint64_t* value) {
  *value = 0;
  for (std::uint64_t i = 0; i < count; ++i, ++at_) {
    const char next = bytes_[at_];
    if (!IsDigit(next)) return Fail(expected), false;
    const auto digit = static_cast<std::uint64_t>(next - '0');
    if (*value > (std::numeric_limits<std::uint64_t>::max() - digit) / 10) {
      return Fail("a number of at most 64 bits"), false;
    }
    *value = *value * 10 + digit;
  }
  return true;
}

bool DisReader::ReadCount(std::uint64_t* count) {
  const char first = bytes_[at_];
  if (!IsDigit(first)) return Fail("a digit or a sign"), false;
  if (first == '0') return Fail("a count without a leading zero"), false;
  if (!RequireBytes(at_ + *count)) return false;
  if (!ReadDigits(*count, "a digit of a count", count)) return false;
  if (*count < 2) return Fail("a count of two or more"), false;
  if (*count > kMaxDigits) return Fail("a count of at most 20 digits"), false;
  return true;
}

// The encoding allows any depth of counts. A 64-bit number needs at most two levels, so a third is rejected.
bool DisReader::ReadSign(bool* negative, std::uint64_t* digits) {
  *digits = 1;
  for (int level = 0;; ++level) {
    if (!RequireBytes(at_ + 1)) return false;
    const char next = bytes_[at_];
    if (next == '+' || next == '-') {
      *negative = next == '-';
      ++at_;
      return true;
    }
    if (level == kMaxCountLevels) return Fail("a sign after two counts"), false;
    if (!ReadCount(digits)) return false;
  }
}

bool DisReader::ReadNumber(bool* negative, std::uint64_t* magnitude) {
  if (!ok()) return false;
  std::uint64_t digits = 0;
  if (!ReadSign(negative, &digits) || !RequireBytes(at_ + digits)) return false;
  if (digits > 1 && bytes_[at_] == '0') return Fail("a number without a leading zero"), false;
  return ReadDigits(digits, "a digit", magnitude);
}

std::uint64_t DisReader::Unsigned() {
  bool negative = false;
  std::uint64_t value = 0;
  if (!ReadNumber(&negative, &value)) return 0;
  if (negative) return Fail("an unsigned number"), 0;
  return value;
}

std::int64_t DisReader::Signed() {
  bool negative = false;
  std::uint64_t value = 0;
  if (!ReadNumber(&negative, &value)) return 0;
  constexpr auto kMaxSigned = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (value > kMaxSigned + (negative ? 1 : 0)) return Fail("a signed number of at most 64 bits"), 0;
  return static_cast<std::int64_t>(negative ? ~value + 1 : value);
}

std::string_view DisReader::Text(std::size_t max_bytes) {
  const std::uint64_t length = Unsigned();
  if (!ok()) return {};
  if (length > max_bytes) return Fail("a string within its stated length"), std::string_view{};
  if (!RequireBytes(at_ + length)) return {};
  const std::string_view text = bytes_.substr(at_, length);
  at_ += length;
  return text;
}

}  // namespace mountflow::pbs_protocol
