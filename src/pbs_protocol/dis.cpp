#include "pbs_protocol/dis.hpp"

#include <charconv>
#include <limits>

namespace mountflow::pbs_protocol {
namespace {

constexpr std::uint64_t kMostDigits = 20;  // of a 64-bit number

}  // namespace

void DisWriter::Digits(char sign, std::uint64_t magnitude) {
  char digits[24];
  const auto end = std::to_chars(digits, digits + sizeof digits, magnitude).ptr;
  const std::string_view number(digits, static_cast<std::size_t>(end - digits));
  // Counts in front of the number, the outermost first: 123 has 3 digits, 1234567890 has 10, which has 2.
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
  // Negated as unsigned: the least number has no positive counterpart.
  const auto bits = static_cast<std::uint64_t>(value);
  Digits(negative ? '-' : '+', negative ? ~bits + 1 : bits);
}

void DisWriter::Text(std::string_view bytes) {
  Unsigned(bytes.size());
  out_->append(bytes);
}

void DisReader::Fail(const char* what) {
  if (state_ == DisState::kBad) return;
  state_ = DisState::kBad;
  what_ = what;
}

bool DisReader::Need(std::size_t total) {
  if (bytes_.size() >= total) return true;
  state_ = DisState::kMore;
  need_ = total;
  return false;
}

bool DisReader::Number(bool* negative, std::uint64_t* magnitude) {
  if (!ok()) return false;
  std::uint64_t count = 1;  // digits of what comes next
  // Danger: counts of counts could go on for ever; a 64-bit number needs two levels, a third is refused.
  for (int level = 0;; ++level) {
    if (!Need(at_ + 1)) return false;
    const char c = bytes_[at_];
    if (c == '+' || c == '-') {
      *negative = c == '-';
      ++at_;
      break;
    }
    if (level == 2) return Fail("a sign after two counts"), false;
    if (c < '0' || c > '9') return Fail("a digit or a sign"), false;
    if (c == '0') return Fail("a count without a leading zero"), false;
    if (!Need(at_ + count)) return false;
    std::uint64_t next = 0;
    for (std::uint64_t i = 0; i < count; ++i, ++at_) {
      const char d = bytes_[at_];
      if (d < '0' || d > '9') return Fail("a digit of a count"), false;
      next = next * 10 + static_cast<std::uint64_t>(d - '0');
    }
    if (next < 2) return Fail("a count of two or more"), false;
    if (next > kMostDigits) return Fail("a count of at most 20 digits"), false;
    count = next;
  }
  if (!Need(at_ + count)) return false;
  if (count > 1 && bytes_[at_] == '0') return Fail("a number without a leading zero"), false;
  std::uint64_t value = 0;
  for (std::uint64_t i = 0; i < count; ++i, ++at_) {
    const char d = bytes_[at_];
    if (d < '0' || d > '9') return Fail("a digit"), false;
    const auto digit = static_cast<std::uint64_t>(d - '0');
    if (value > (std::numeric_limits<std::uint64_t>::max() - digit) / 10) {
      return Fail("a number of at most 64 bits"), false;
    }
    value = value * 10 + digit;
  }
  *magnitude = value;
  return true;
}

std::uint64_t DisReader::Unsigned() {
  bool negative = false;
  std::uint64_t value = 0;
  if (!Number(&negative, &value)) return 0;
  if (negative) return Fail("an unsigned number"), 0;
  return value;
}

std::int64_t DisReader::Signed() {
  bool negative = false;
  std::uint64_t value = 0;
  if (!Number(&negative, &value)) return 0;
  constexpr auto kMost = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (value > kMost + (negative ? 1 : 0)) return Fail("a signed number of at most 64 bits"), 0;
  return static_cast<std::int64_t>(negative ? ~value + 1 : value);
}

std::string_view DisReader::Text(std::size_t most) {
  const std::uint64_t length = Unsigned();
  if (!ok()) return {};
  if (length > most) return Fail("a string within its stated length"), std::string_view{};
  if (!Need(at_ + length)) return {};
  const std::string_view text = bytes_.substr(at_, length);
  at_ += length;
  return text;
}

}  // namespace mountflow::pbs_protocol
