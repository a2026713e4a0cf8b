// Tests of node entries and of the base64 encoding that Consul applies to them.
#include "discovery/entry.hpp"

#include <gtest/gtest.h>

#include <string>

namespace mountflow {
namespace {

TEST(NodeEntry, RoundTripsWithAPresentDayStartTime) {
  job_manager::ListedNode n;
  n.name = "n1", n.address = "127.0.0.1:7", n.rack = "r", n.room = "x", n.kind = "small";
  // Microseconds since the epoch, in 2026. Guards against a limit of 1e15, which rejected such entries.
  n.started = 1'796'129'091'196'621;
  n.state = NodeState::kDraining;
  n.free_cores = -0.5;
  const auto read = discovery::DecodeNodeEntry(discovery::EncodeNodeEntry(n));
  ASSERT_TRUE(read) << Describe(read.error());
  EXPECT_EQ(read->started, n.started);
  EXPECT_EQ(read->state, n.state);
  EXPECT_EQ(read->free_cores, -0.5);
}

TEST(NodeEntry, AMalformedEntryIsRejectedWithWhatWasExpected) {
  for (const char* bad :
       {"", "[]", "{}", R"({"name":1,"address":"a"})", R"({"name":"n","address":""})",
        R"({"name":"n","address":"a","state":"asleep"})", R"({"name":"n","address":"a","started":-1})",
        R"({"name":"n","address":"a","free_cores":"many"})",
        R"({"name":"n","address":"a","free_cores":1e400})"}) {
    const auto read = discovery::DecodeNodeEntry(bad);
    ASSERT_FALSE(read) << bad;
    EXPECT_FALSE(Describe(read.error()).empty());
  }
  EXPECT_FALSE(discovery::DecodeNodeEntry(std::string(discovery::kMaxEntryBytes + 1, ' ')));
}

TEST(Base64, DecodesWhatItEncodedAndRejectsOtherText) {
  std::string bytes;
  for (const std::string& text : {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
                                  std::string("\0\xff\x7f", 3)}) {
    ASSERT_TRUE(discovery::FromBase64(discovery::Base64(text), &bytes));
    EXPECT_EQ(bytes, text);
  }
  EXPECT_EQ(discovery::Base64("hello"), "aGVsbG8=");
  for (const char* bad : {"a", "ab=c", "====", "a\nbc"})
    EXPECT_FALSE(discovery::FromBase64(bad, &bytes)) << bad;
}

}  // namespace
}  // namespace mountflow
