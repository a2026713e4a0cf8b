// Helpers for the tests of the client and node codecs: reading a stream in pieces, and generating text.
#ifndef MOUNTFLOW_TESTS_SUPPORT_CODEC_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_CODEC_FIXTURE_HPP_

#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mountflow::testing {

// The messages that a reader found in a stream, and whether it reported the stream as broken.
template <typename Message>
struct ReadStream {
  std::vector<Message> messages;
  bool broken = false;
};

// Feeds `bytes` to a new reader in pieces of `piece_size` bytes.
template <typename Reader, typename Message>
ReadStream<Message> ReadInPieces(const std::string& bytes, std::size_t piece_size) {
  Reader reader;
  ReadStream<Message> stream;
  for (std::size_t at = 0; at < bytes.size() && !stream.broken; at += piece_size) {
    reader.Feed(std::string_view(bytes).substr(at, piece_size));
    Message message;
    for (;;) {
      const auto state = reader.Next(&message);
      if (state == Reader::State::kBroken) stream.broken = true;
      if (state != Reader::State::kMessage) break;
      stream.messages.push_back(message);
    }
  }
  return stream;
}

// Generates valid UTF-8 text of at most `max_bytes` bytes, with sequences of one, two and three bytes.
inline std::string GenerateText(std::size_t max_bytes) {
  const auto code_points =
      *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 0x2fff));
  std::string text;
  for (const std::uint32_t point : code_points) {
    if (text.size() + 3 > max_bytes) break;
    if (point < 0x80) {
      text += static_cast<char>(point);
    } else if (point < 0x800) {
      text += {static_cast<char>(0xc0 | point >> 6), static_cast<char>(0x80 | (point & 63))};
    } else {
      text += {static_cast<char>(0xe0 | point >> 12), static_cast<char>(0x80 | (point >> 6 & 63)),
               static_cast<char>(0x80 | (point & 63))};
    }
  }
  return text;
}

// Generates a piece size for ReadInPieces(), from one byte to the size of `bytes`.
inline std::size_t GeneratePieceSize(const std::string& bytes) {
  return *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_CODEC_FIXTURE_HPP_
