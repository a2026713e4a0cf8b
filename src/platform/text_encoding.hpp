// Small text forms that both protocols and the configuration share: hexadecimal numbers, UTF-8 and quoted
// text for messages to people.
#ifndef MOUNTFLOW_PLATFORM_TEXT_ENCODING_HPP_
#define MOUNTFLOW_PLATFORM_TEXT_ENCODING_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mountflow::platform {

// Digits of a 64-bit number, as WriteHex() writes it.
inline constexpr std::size_t kHexDigits = 16;

// Reads exactly `digits` lower-case hexadecimal digits, at most kHexDigits. Returns false, and leaves
// `*value` as it is, where `text` has another form.
[[nodiscard]] bool ReadHex(std::string_view text, std::size_t digits, std::uint64_t* value);

// kHexDigits lower-case digits.
std::string WriteHex(std::uint64_t value);

// Whether `text` is well-formed UTF-8: no overlong forms, no surrogates, nothing beyond U+10FFFF.
[[nodiscard]] bool IsUtf8(std::string_view text);

// `text` in single quotes for a log line: at most 40 bytes of it, with '?' in place of what is not printable
// ASCII. A peer's text may hold line feeds and must not be able to forge log lines.
std::string Quote(std::string_view text);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_TEXT_ENCODING_HPP_
