// Tests splitting received bytes into replies.
#include "node_sessions/reply_reader.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_sessions {
namespace {

pbs_protocol::Reply TextReply(const std::string& text) {
  pbs_protocol::Reply reply;
  reply.choice = pbs_protocol::Choice::kText;
  reply.text = text;
  return reply;
}

std::string BytesOf(const pbs_protocol::Reply& reply) {
  std::string bytes;
  pbs_protocol::Encode(reply, &bytes);
  return bytes;
}

TEST(ReplyReaderTest, IsIncompleteWithoutBytes) {
  ReplyReader reader;
  pbs_protocol::Reply reply;
  EXPECT_EQ(reader.Next(&reply), ReadResult::kIncomplete);
}

TEST(ReplyReaderTest, SplitsRepliesThatArriveTogether) {
  ReplyReader reader;
  reader.Append(BytesOf(TextReply("one")) + BytesOf(TextReply("two")));
  pbs_protocol::Reply reply;
  ASSERT_EQ(reader.Next(&reply), ReadResult::kReply);
  EXPECT_EQ(reply, TextReply("one"));
  ASSERT_EQ(reader.Next(&reply), ReadResult::kReply);
  EXPECT_EQ(reply, TextReply("two"));
  EXPECT_EQ(reader.Next(&reply), ReadResult::kIncomplete);
}

TEST(ReplyReaderTest, JoinsRepliesThatArriveByteByByte) {
  ReplyReader reader;
  pbs_protocol::Reply reply;
  for (int i = 0; i < 2; ++i) {
    const std::string bytes = BytesOf(TextReply(std::string(300, 'x')));
    for (std::size_t at = 0; at + 1 < bytes.size(); ++at) {
      reader.Append(bytes.substr(at, 1));
      ASSERT_EQ(reader.Next(&reply), ReadResult::kIncomplete);
    }
    reader.Append(bytes.substr(bytes.size() - 1));
    ASSERT_EQ(reader.Next(&reply), ReadResult::kReply);
    EXPECT_EQ(reply.text, std::string(300, 'x'));
  }
}

TEST(ReplyReaderTest, DistinguishesMalformedFromIncomplete) {
  ReplyReader reader;
  reader.Append("no reply");
  pbs_protocol::Reply reply;
  EXPECT_EQ(reader.Next(&reply), ReadResult::kMalformed);
}

}  // namespace
}  // namespace mountflow::node_sessions
