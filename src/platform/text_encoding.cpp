#include "platform/text_encoding.hpp"

#include <algorithm>
#include <array>

namespace mountflow::platform {
namespace {

constexpr int kBitsPerHexDigit = 4;
constexpr std::size_t kMaxQuotedBytes = 40;

// Returns the value of a lower-case hexadecimal digit, or -1 if `digit` is none.
int HexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  return -1;
}

// One row of the table of well-formed UTF-8 byte sequences (Unicode 15, table 3-7). Bytes after the second
// are 0x80 to 0xbf.
struct Utf8Sequence {
  unsigned char first_min, first_max;
  unsigned char second_min, second_max;
  std::size_t size;
};
constexpr std::array<Utf8Sequence, 9> kUtf8Sequences = {{{0x00, 0x7f, 0x00, 0x00, 1},
                                                         {0xc2, 0xdf, 0x80, 0xbf, 2},
                                                         {0xe0, 0xe0, 0xa0, 0xbf, 3},
                                                         {0xe1, 0xec, 0x80, 0xbf, 3},
                                                         {0xed, 0xed, 0x80, 0x9f, 3},
                                                         {0xee, 0xef, 0x80, 0xbf, 3},
                                                         {0xf0, 0xf0, 0x90, 0xbf, 4},
                                                         {0xf1, 0xf3, 0x80, 0xbf, 4},
                                                         {0xf4, 0xf4, 0x80, 0x8f, 4}}};

bool IsBetween(char byte, unsigned char min, unsigned char max) {
  const auto value = static_cast<unsigned char>(byte);
  return value >= min && value <= max;
}

// Reports whether `text` begins with a sequence of this form.
bool BeginsWith(std::string_view text, const Utf8Sequence& form) {
  if (text.size() < form.size || !IsBetween(text[0], form.first_min, form.first_max)) return false;
  if (form.size > 1 && !IsBetween(text[1], form.second_min, form.second_max)) return false;
  for (std::size_t i = 2; i < form.size; ++i) {
    if (!IsBetween(text[i], 0x80, 0xbf)) return false;
  }
  return true;
}

}  // namespace

bool ReadHex(std::string_view text, std::size_t digits, std::uint64_t* value) {
  if (text.size() != digits || digits > kHexDigits) return false;
  std::uint64_t result = 0;
  for (const char character : text) {
    const int digit = HexDigitValue(character);
    if (digit < 0) return false;
    result = result << kBitsPerHexDigit | static_cast<std::uint64_t>(digit);
  }
  *value = result;
  return true;
}

std::string WriteHex(std::uint64_t value) {
  std::string text(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i-- > 0; value >>= kBitsPerHexDigit) {
    text[i] = "0123456789abcdef"[value & 0xf];
  }
  return text;
}

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const auto* const form =
        std::find_if(kUtf8Sequences.begin(), kUtf8Sequences.end(),
                     [&](const Utf8Sequence& candidate) { return BeginsWith(text, candidate); });
    if (form == kUtf8Sequences.end()) return false;
    text.remove_prefix(form->size);
  }
  return true;
}

std::string Quote(std::string_view text) {
  std::string quoted = "'";
  for (const char character : text.substr(0, kMaxQuotedBytes)) {
    quoted += IsBetween(character, 0x20, 0x7e) ? character : '?';
  }
  return quoted + (text.size() > kMaxQuotedBytes ? "...'" : "'");
}

}  // namespace mountflow::platform
