#include "platform/node_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/support/codec_fixture.hpp"
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

using State = NodeMessageReader::State;

NodeMessage GenerateNodeMessage() {
  static const std::vector<NodeMessageKind> kinds = {
      NodeMessageKind::kLaunch, NodeMessageKind::kAnswer,      NodeMessageKind::kStop,
      NodeMessageKind::kNote,   NodeMessageKind::kHealthCheck, NodeMessageKind::kHealthCheckReply};
  NodeMessage message;
  message.kind = *rc::gen::elementOf(kinds);
  message.uid = *rc::gen::arbitrary<std::uint64_t>();
  if (*rc::gen::arbitrary<bool>()) message.cause = *rc::gen::arbitrary<std::uint8_t>();
  for (const std::uint8_t code : {kClass, kWait, kReport, kDescription}) {
    if (*rc::gen::arbitrary<bool>()) message.params[code] = *rc::gen::arbitrary<std::string>();
  }
  return message;
}

TEST(NodeCodec, ReadsWhatItWroteInAnySplitWithAnyBytes) {
  EXPECT_TRUE(rc::check([] {
    std::vector<NodeMessage> written;
    std::string bytes;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
      written.push_back(GenerateNodeMessage());
      bytes += EncodeNodeMessage(written.back());
    }
    const auto stream = ReadInPieces<NodeMessageReader, NodeMessage>(bytes, GeneratePieceSize(bytes));
    RC_ASSERT(stream.messages == written);
    RC_ASSERT(!stream.broken);
  }));
}

TEST(NodeCodec, WritesTheDocumentedBytes) {
  const std::string bytes =
      NodeMessageBytes(NodeMessageKind::kStop, 0x9b1f03aa5c7e2d41u, 16, {{kClass, "batch"}});
  EXPECT_EQ(bytes, std::string("\x00\x15\x0c\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\x81\x00\x05"
                               "batch\xab\x00\x01\x10",
                               23));
}

std::string GoodMessage() {
  return NodeMessageBytes(NodeMessageKind::kAnswer, 7, -1, {{kDescription, "yes"}});
}

std::string GoodMessageWith(std::size_t at, char changed) {
  std::string bytes = GoodMessage();
  bytes[at] = changed;
  return bytes;
}

// Returns a message with this length and type, a fixed uid, and `parameters`.
std::string Message(const char* length_and_type, const std::string& parameters) {
  return std::string(length_and_type, 3) + std::string(8, 'i') + parameters;
}

struct BrokenCase {
  const char* name;
  std::string bytes;
  const char* error;
};

void PrintTo(const BrokenCase& input, std::ostream* out) { *out << input.name; }

class NodeCodecBrokenInputTest : public ::testing::TestWithParam<BrokenCase> {};

TEST_P(NodeCodecBrokenInputTest, IsBrokenAtOnceAndStaysSo) {
  NodeMessageReader reader;
  NodeMessage message;
  reader.Feed(GetParam().bytes);
  EXPECT_EQ(reader.Next(&message), State::kBroken);
  EXPECT_EQ(reader.error(), GetParam().error);
  reader.Feed(GoodMessage());
  EXPECT_EQ(reader.Next(&message), State::kBroken);
}

std::vector<BrokenCase> BrokenCases() {
  return {
      {"NoRoomForAUid", std::string("\x00\x08\x09", 3), "message: expected 11 to 16384 bytes, got 10"},
      {"TooLong", std::string("\x7f\xff", 2), "message: expected 11 to 16384 bytes, got 32769"},
      {"UnknownType", GoodMessageWith(2, '\x63'), "message type: expected one of the protocol, got 99"},
      {"LineOfText", "HTTP/1.1 200 OK\r\n\r\n", "message: expected 11 to 16384 bytes, got 18518"},
      {"ParameterLongerThanItsMessage", GoodMessageWith(13, '\x7f'),
       "parameter 174: expected 127 bytes, got 3"},
      {"ParameterCutOff", Message("\x00\x0a\x09", "\xae"), "parameter: expected a header of 3 bytes, got 1"},
      {"CauseOfTwoBytes", Message("\x00\x0e\x0c", std::string("\xab\x00\x02zz", 5)),
       "parameter 171: expected one byte, got 2"},
      {"CauseTwice", Message("\x00\x11\x0c", std::string("\xab\x00\x01z\xab\x00\x01z", 8)),
       "parameter 171: expected once, got again"},
      {"ParameterTwice", Message("\x00\x0f\x09", std::string("\xae\x00\x00\xae\x00\x00", 6)),
       "parameter 174: expected once, got again"},
  };
}

INSTANTIATE_TEST_SUITE_P(NodeCodec, NodeCodecBrokenInputTest, ::testing::ValuesIn(BrokenCases()),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(NodeCodec, WritesNothingForAMessageThatIsTooLong) {
  EXPECT_EQ(NodeMessageBytes(NodeMessageKind::kLaunch, 1, -1, {{kDescription, std::string(16 << 10, 'x')}}),
            "");
  // The longest description that fits: it follows a message header of 11 bytes and a parameter header of 3
  // bytes.
  const std::string longest((16 << 10) - 14, 'x');
  EXPECT_EQ(NodeMessageBytes(NodeMessageKind::kLaunch, 1, -1, {{kDescription, longest}}).size(),
            kMaxMessageBytes);
  EXPECT_EQ(NodeMessageBytes(NodeMessageKind::kLaunch, 1, -1, {{kDescription, longest + "x"}}), "");
}

TEST(NodeCodec, GivesAnEmptyTextForAnAbsentParameter) {
  NodeMessage message;
  message.params[kStatusText] = "runs";
  EXPECT_EQ(message.Text(kStatusText), "runs");
  EXPECT_EQ(message.Text(kProgressValue), "");
}

}  // namespace
}  // namespace mountflow::testing
