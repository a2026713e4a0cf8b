#include "platform/client_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/support/codec_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace platform;
using State = ClientMessageReader::State;

constexpr RequestUid kUid = 0x9b1f03aa5c7e2d41u;

ClientMessage GenerateClientMessage() {
  ClientMessage message;
  message.kind = static_cast<ClientMessageKind>(*rc::gen::inRange(0, 9));
  message.uid = *rc::gen::arbitrary<std::uint64_t>();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
    message.fields["f" + std::to_string(i)] = GenerateText(40);
  if (*rc::gen::arbitrary<bool>()) message.cause = *rc::gen::inRange(0, 256);
  message.description = GenerateText(200);
  return message;
}

TEST(ClientCodec, ReadsWhatItWroteInAnySplit) {
  EXPECT_TRUE(rc::check([] {
    std::vector<ClientMessage> written;
    std::string bytes;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
      written.push_back(GenerateClientMessage());
      bytes += EncodeClientMessage(written.back());
    }
    const auto stream = ReadInPieces<ClientMessageReader, ClientMessage>(bytes, GeneratePieceSize(bytes));
    RC_ASSERT(stream.messages == written);
    RC_ASSERT(!stream.broken);
  }));
}

struct InputCase {
  const char* name;
  std::string bytes;
  State expected;
  const char* error;  // expected beginning of error()
};

void PrintTo(const InputCase& input, std::ostream* out) { *out << input.name; }

class ClientCodecInputTest : public ::testing::TestWithParam<InputCase> {};

TEST_P(ClientCodecInputTest, ReportsStateAndError) {
  const InputCase& input = GetParam();
  ClientMessageReader reader;
  ClientMessage message;
  reader.Feed(input.bytes);
  EXPECT_EQ(reader.Next(&message), input.expected);
  EXPECT_EQ(reader.error().substr(0, std::string_view(input.error).size()), input.error);
  if (input.expected == State::kUnusable) {
    EXPECT_EQ(message.uid, kUid);
  }
  if (input.expected == State::kBroken) {
    reader.Feed(EncodeClientMessage({}));
    EXPECT_EQ(reader.Next(&message), State::kBroken) << "a broken stream stays broken";
    EXPECT_FALSE(reader.within_message());
  }
}

const InputCase kInputCases[] = {
    {"Text", "hello\n", State::kBroken, "line: expected a JSON object, got 'hello'"},
    {"EmptyLine", "\n", State::kBroken, "line: expected a JSON object, got ''"},
    {"Array", "[1]\n", State::kBroken, "line: expected a JSON object"},
    {"WithoutUid", "{\"kind\":\"launch\"}\n", State::kBroken, "uid: expected 16 hex digits, got nothing"},
    {"UidIsANumber", "{\"kind\":\"launch\",\"uid\":7}\n", State::kBroken,
     "uid: expected 16 hex digits, got '7'"},
    {"UidInCapitals", "{\"kind\":\"launch\",\"uid\":\"9B1F03AA5C7E2D41\"}\n", State::kBroken,
     "uid: expected 16 hex digits"},
    {"UidTooShort", "{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d4\"}\n", State::kBroken,
     "uid: expected 16 hex digits"},
    {"BodyIsNotUtf8", "{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"body\":\"\xff\"}\n",
     State::kBroken, "line: expected a JSON object"},
    {"ZeroBytes", std::string(20, '\0') + "\n", State::kBroken, "line: expected a JSON object, got '?"},
    {"LongestLineWithoutItsEnd", std::string(16 << 10, '['), State::kMore, ""},
    {"LineTooLong", std::string((16 << 10) + 1, '['), State::kBroken,
     "line: expected at most 16384 bytes, got 16385"},
    {"WithoutKind", "{\"uid\":\"9b1f03aa5c7e2d41\"}\n", State::kUnusable,
     "kind: expected a string, got nothing"},
    {"UnknownKind", "{\"kind\":\"dance\",\"uid\":\"9b1f03aa5c7e2d41\"}\n", State::kUnusable,
     "kind: expected a message of the protocol, got 'dance'"},
    {"NegativeReason", "{\"kind\":\"stop\",\"uid\":\"9b1f03aa5c7e2d41\",\"reason\":-1}\n", State::kUnusable,
     "reason: expected 0 to 255, got -1"},
    {"ReasonWithExponent", "{\"kind\":\"stop\",\"uid\":\"9b1f03aa5c7e2d41\",\"reason\":1e99}\n",
     State::kUnusable, "reason: expected a whole number, got number"},
    {"MetaWithAnArray", "{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"meta\":{\"left\":[1]}}\n",
     State::kUnusable, "meta: 'left': expected a string or a finite number, got array"},
    {"MetaIsANumber", "{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"meta\":7}\n", State::kUnusable,
     "meta: expected an object, got number"},
    {"BodyIsANumber", "{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"body\":7}\n", State::kUnusable,
     "body: expected a string, got number"},
    {"MetaWithANumber", "{\"kind\":\"launch\",\"uid\":\"9b1f03aa5c7e2d41\",\"meta\":{\"left\":1500}}\n",
     State::kMessage, ""},
};

INSTANTIATE_TEST_SUITE_P(ClientCodec, ClientCodecInputTest, ::testing::ValuesIn(kInputCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(ClientCodec, AcceptsFieldsUpToTheLimit) {
  ClientMessage written;
  written.uid = kUid;
  for (std::size_t i = 0; i < kMaxFields; ++i) written.fields["f" + std::to_string(i)] = "v";
  ClientMessageReader reader;
  ClientMessage message;
  reader.Feed(EncodeClientMessage(written));
  ASSERT_EQ(reader.Next(&message), State::kMessage);
  EXPECT_EQ(message, written);
  written.fields["one more"] = "v";
  reader.Feed(EncodeClientMessage(written));
  ASSERT_EQ(reader.Next(&message), State::kUnusable);
  EXPECT_EQ(reader.error(), "meta: expected at most 32 fields, got 33");
}

TEST(ClientCodec, ReadsTheMessageAfterAnUnusableOne) {
  ClientMessage written;
  written.uid = 7;
  ClientMessageReader reader;
  ClientMessage message;
  reader.Feed("{\"uid\":\"9b1f03aa5c7e2d41\"}\n" + EncodeClientMessage(written));
  ASSERT_EQ(reader.Next(&message), State::kUnusable);
  EXPECT_TRUE(reader.within_message());
  ASSERT_EQ(reader.Next(&message), State::kMessage);
  EXPECT_EQ(message, written);
  EXPECT_FALSE(reader.within_message());
}

}  // namespace
}  // namespace mountflow::testing
