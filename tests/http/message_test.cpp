#include "http/message.hpp"

#include <gtest/gtest.h>

namespace mountflow::http {
namespace {

constexpr std::size_t kMaxBody = 100;

TEST(HttpReader, ReadsPipelinedRequestsInOrderWhenTheyComeByteByByte) {
  Reader reader(Reader::Side::kRequests, kMaxBody);
  const std::string bytes =
      "GET /a%20b?x=1&y=%26 HTTP/1.1\r\nHost: h\r\n\r\nPOST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz";
  for (const char byte : bytes) ASSERT_TRUE(reader.Feed(std::string_view(&byte, 1)));
  ASSERT_EQ(reader.messages().size(), 2u);
  EXPECT_EQ(reader.messages()[0].method, "GET");
  EXPECT_EQ(reader.messages()[0].path, "/a b");
  EXPECT_EQ(reader.messages()[0].Query("y"), "&");
  EXPECT_EQ(reader.messages()[0].Query("z", "none"), "none");
  EXPECT_EQ(reader.messages()[0].Header("host"), "h");
  EXPECT_EQ(reader.messages()[0].Header("absent"), "");
  EXPECT_TRUE(reader.messages()[0].keep_alive);
  EXPECT_EQ(reader.messages()[1].body, "xyz");
}

std::string ManyRequests(int count) {
  std::string bytes;
  for (int i = 0; i < count; ++i) bytes += "GET / HTTP/1.1\r\n\r\n";
  return bytes;
}

struct RejectedInput {
  const char* name;
  std::string bytes;
  int status;
  std::string error;  // expected prefix of error()
};

void PrintTo(const RejectedInput& input, std::ostream* out) { *out << input.name; }

class HttpReaderRejectedInputTest : public ::testing::TestWithParam<RejectedInput> {};

TEST_P(HttpReaderRejectedInputTest, EndsTheStreamWithTheFittingStatus) {
  const RejectedInput& input = GetParam();
  Reader reader(Reader::Side::kRequests, kMaxBody);
  EXPECT_FALSE(reader.Feed(input.bytes));
  EXPECT_FALSE(reader.error().empty());
  EXPECT_EQ(reader.error().substr(0, input.error.size()), input.error);
  EXPECT_EQ(reader.status(), input.status);
  EXPECT_FALSE(reader.Feed("GET / HTTP/1.1\r\n\r\n"));
  EXPECT_EQ(reader.status(), input.status);
}

const RejectedInput kRejectedInputs[] = {
    {"HeadTooLong", "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'a') + "\r\n\r\n", 431,
     "a head of at most 32768 bytes"},
    {"BodyTooLong", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413, "a body of at most 100 bytes"},
    {"ChunkedBodyTooLong",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + std::string(128, 'x'), 413,
     "a body of at most 100 bytes"},
    {"TwoFramings", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400, ""},
    {"NotHttp", "nonsense\r\n\r\n", 400, ""},
    {"BadEscapeInPath", "GET /%zz HTTP/1.1\r\n\r\n", 400, "a path with valid escapes"},
    {"BadEscapeInQuery", "GET /?a=%z HTTP/1.1\r\n\r\n", 400, "a query with valid escapes"},
    {"Upgrade", "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 400,
     "no protocol upgrade"},
    {"TooManyPipelined", ManyRequests(70), 429, "at most 64 requests before the first is answered"},
};

INSTANTIATE_TEST_SUITE_P(HttpReader, HttpReaderRejectedInputTest, ::testing::ValuesIn(kRejectedInputs),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(HttpReader, KeepsTheRequestsBeforeOneThatIsRejected) {
  Reader reader(Reader::Side::kRequests, kMaxBody);
  EXPECT_FALSE(reader.Feed(ManyRequests(1) + "GET /%zz HTTP/1.1\r\n\r\n"));
  EXPECT_EQ(reader.messages().size(), 1u);
}

TEST(HttpReader, LowersHeaderNamesAndJoinsRepeatedHeaders) {
  Reader reader(Reader::Side::kRequests, kMaxBody);
  ASSERT_TRUE(reader.Feed("GET / HTTP/1.1\r\nX-A: 1\r\nx-a: 2\r\nConnection: close\r\n\r\n"));
  ASSERT_EQ(reader.messages().size(), 1u);
  EXPECT_EQ(reader.messages()[0].Header("x-a"), "1, 2");
  EXPECT_FALSE(reader.messages()[0].keep_alive);
}

TEST(HttpReader, ReadsQueriesWithAndWithoutValues) {
  Reader reader(Reader::Side::kRequests, kMaxBody);
  ASSERT_TRUE(reader.Feed("GET /?a&b=&=c&&d=1=2&d=%33 HTTP/1.1\r\n\r\n"));
  ASSERT_EQ(reader.messages().size(), 1u);
  const std::map<std::string, std::string> expected = {{"a", ""}, {"b", ""}, {"d", "3"}};
  EXPECT_EQ(reader.messages()[0].query, expected);
}

TEST(HttpReader, CompletesAReplyWithoutALengthWhenThePeerCloses) {
  Reader reader(Reader::Side::kReplies, kMaxBody);
  ASSERT_TRUE(reader.Feed("HTTP/1.1 200 OK\r\n\r\nabc"));
  EXPECT_TRUE(reader.messages().empty());
  reader.Finish();
  ASSERT_EQ(reader.messages().size(), 1u);
  EXPECT_EQ(reader.messages()[0].status, 200);
  EXPECT_EQ(reader.messages()[0].body, "abc");
}

TEST(HttpReader, StreamsBodiesOfTheChosenStatusWithoutABound) {
  Reader reader(Reader::Side::kReplies, kMaxBody);
  std::string streamed;
  reader.Stream(200, [&](std::string_view part) { streamed += part; });
  const std::string body(10 * kMaxBody, 'x');
  ASSERT_TRUE(
      reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + body + "\r\n0\r\n\r\n"));
  ASSERT_TRUE(reader.Feed(WriteReply(404, {}, "no", true)));
  EXPECT_EQ(streamed, body);
  ASSERT_EQ(reader.messages().size(), 2u);
  EXPECT_EQ(reader.messages()[0].body, "");
  EXPECT_EQ(reader.messages()[1].body, "no");
}

TEST(HttpMessage, WritesRepliesAndRequestsWithTheirLength) {
  EXPECT_EQ(WriteReply(404, {{"X", "1"}}, "no", true),
            "HTTP/1.1 404 Not Found\r\nX: 1\r\nContent-Length: 2\r\n\r\nno");
  EXPECT_EQ(WriteReply(200, {}, "", false),
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(WriteRequest("PUT", "/a", {{"Host", "h"}}, "x"),
            "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
}

TEST(HttpMessage, NamesStatuses) {
  EXPECT_STREQ(Phrase(200), "OK");
  EXPECT_STREQ(Phrase(503), "Service Unavailable");
  EXPECT_STREQ(Phrase(999), "Unknown");
}

TEST(HttpUrl, EncodesAllButUnreservedCharactersAndSlashes) {
  EXPECT_EQ(EncodeUrl("aZ0-._~/ %\xff"), "aZ0-._~/%20%25%FF");
  EXPECT_EQ(DecodeUrl(EncodeUrl("a b/%\xff")), "a b/%\xff");
}

TEST(HttpUrl, RejectsMalformedEscapes) {
  EXPECT_EQ(DecodeUrl("%41%6a"), "Aj");
  for (const char* text : {"%", "%4", "a%", "%g0", "%0g", "%%41"}) {
    EXPECT_EQ(DecodeUrl(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace mountflow::http
