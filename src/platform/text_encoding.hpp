// Text helpers shared by both protocols and the configuration: hexadecimal numbers, UTF-8 validation and
// quoted text for log and error messages.
#ifndef MOUNTFLOW_PLATFORM_TEXT_ENCODING_HPP_
#define MOUNTFLOW_PLATFORM_TEXT_ENCODING_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::platform {

// Number of digits that WriteHex() writes for a 64-bit number.
inline constexpr std::size_t kHexDigits = 16;

// Reads a number of exactly `digits` lower-case hexadecimal digits, at most kHexDigits. If `text` has another
// form, returns false and leaves `*value` unchanged.
[[nodiscard]] bool ReadHex(std::string_view text, std::size_t digits, std::uint64_t* value);

// Returns `value` as kHexDigits lower-case hexadecimal digits.
std::string WriteHex(std::uint64_t value);

// Reports whether `text` is well-formed UTF-8, without overlong forms, surrogates or code points beyond
// U+10FFFF.
[[nodiscard]] bool IsUtf8(std::string_view text);

// Returns `text` in single quotes for a log line: at most the first 40 bytes, with '?' in place of each byte
// that is not printable ASCII. Text from a peer may contain line feeds and must not be able to forge log
// lines.
std::string Quote(std::string_view text);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_TEXT_ENCODING_HPP_
