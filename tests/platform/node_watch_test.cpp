#include "platform/node_watch.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "http/message.hpp"
#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

std::string Event(int number, const std::string& name, bool snapshot = false) {
  return R"({"seq":)" + std::to_string(number) + R"(,"fleet":{"index":1,"snapshot":)" +
         (snapshot ? "true" : "false") + R"(,"endpoints":[{"name":")" + name +
         R"(","address":"10.0.0.9:1","zone":"left","type":"big","group":3,"status":"ready")" +
         R"(,"since_ms":5,"free":[1.5,2]}]}})";
}

std::string Reply(const std::string& events, int last) {
  const std::string body = R"({"seq":)" + std::to_string(last) + R"(,"results":[)" + events + "]}";
  return http::WriteReply(200, {}, body, true);
}

// A watch that resumes after event 4.
struct NodeWatchFixture {
  // Lets the watch connect and establishes the connection.
  ConnId Connect(const std::string& address = "a:1") {
    watch.Tick(now);
    const ConnId conn = transport.ConnTo(address);
    watch.OnConnected(now, conn);
    return conn;
  }
  // Returns the request line sent on the connection, without the HTTP version.
  std::string Request(ConnId conn) {
    const std::string sent = transport.Sent(conn);
    return sent.substr(0, sent.find(' ', 5));
  }

  FakeTransport transport;
  Micros now = kSec;
  NodeWatch watch{"a:1", 4, &transport};
};

class NodeWatchTest : public ::testing::Test, protected NodeWatchFixture {};

// Guards against an event that is applied in part, or lost between two connections, when a reply is
// truncated.
TEST(NodeWatch, LosesNothingAndTakesNoPartWhereTheReplyIsCutAtAnyByte) {
  const std::string reply = Reply(Event(5, "x") + "," + Event(6, "y"), 6);
  for (std::size_t cut = 0; cut <= reply.size(); ++cut) {
    NodeWatchFixture fixture;
    ConnId conn = fixture.Connect();
    EXPECT_EQ(fixture.Request(conn), "GET /changes?since=4&timeout=1000");
    fixture.watch.OnBytes(fixture.now, conn, std::string_view(reply).substr(0, cut));
    EXPECT_EQ(fixture.watch.Take().size(), cut == reply.size() ? 2u : 0u) << cut;
    fixture.transport.outgoing.erase(conn);
    fixture.watch.OnClosed(fixture.now, conn);
    conn = fixture.Connect();  // immediate reconnect
    ASSERT_NE(conn, 0u) << cut;
    EXPECT_EQ(fixture.Request(conn), cut == reply.size() ? "GET /changes?since=6&timeout=1000"
                                                         : "GET /changes?since=4&timeout=1000");
    if (cut < reply.size()) {
      fixture.watch.OnBytes(fixture.now, conn, reply);
      EXPECT_EQ(fixture.watch.Take().size(), 2u);
    }
  }
}

TEST_F(NodeWatchTest, GivesUpAPollWithoutAReplyAfterTheLongPollAndItsGracePeriod) {
  const ConnId conn = Connect();
  watch.OnBytes(now, conn, Reply("", 4).substr(0, 30));
  now += kLongPollTimeout + kReplyGracePeriod - 1;
  watch.Tick(now);
  EXPECT_TRUE(transport.closed.empty());
  now += 1;
  watch.Tick(now);
  EXPECT_EQ(transport.closed, std::vector<ConnId>{conn});
  EXPECT_NE(Connect(), 0u);
}

TEST_F(NodeWatchTest, SkipsRepeatedNumbersAndPollsAgainAtAGap) {
  ConnId conn = Connect();
  watch.OnBytes(now, conn, Reply(Event(3, "old") + "," + Event(5, "x") + "," + Event(5, "x"), 5));
  EXPECT_EQ(watch.Take().size(), 1u);
  EXPECT_EQ(watch.last(), 5u);
  watch.OnBytes(now, conn, Reply(Event(7, "z"), 7));  // 6 is missing
  EXPECT_TRUE(watch.Take().empty());
  conn = Connect();
  EXPECT_EQ(Request(conn), "GET /changes?since=5&timeout=1000");
  watch.OnBytes(now, conn, Reply(Event(9, "all", true), 9));  // a snapshot is valid after any gap
  const auto changes = watch.Take();
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_TRUE(changes[0].whole);
  EXPECT_EQ(changes[0].nodes[0].rack, 3u);
  EXPECT_EQ(changes[0].nodes[0].started_at, 5000u);
  EXPECT_EQ(changes[0].nodes[0].free_cores, 1.5);
  EXPECT_EQ(watch.last(), 9u);
}

TEST_F(NodeWatchTest, RequestsTheCompleteListAfterThreeConsecutiveGaps) {
  for (int gap = 0; gap < kMaxGaps; ++gap) {
    const ConnId conn = Connect();
    EXPECT_EQ(Request(conn), "GET /changes?since=4&timeout=1000") << gap;
    watch.OnBytes(now, conn, Reply(Event(7, "z"), 7));
    now = watch.NextDue();
  }
  EXPECT_EQ(Request(Connect()), "GET /changes?since=0&timeout=1000");
}

TEST_F(NodeWatchTest, FollowsANewAddressAtOnceAndIgnoresTheOldConnection) {
  const ConnId old = Connect();
  watch.SetAddress(now, "b:2");
  const ConnId conn = transport.ConnTo("b:2");
  ASSERT_NE(conn, 0u);
  watch.OnBytes(now, old, Reply(Event(5, "x"), 5));
  EXPECT_TRUE(watch.Take().empty());
  watch.OnConnected(now, conn);
  EXPECT_EQ(Request(conn), "GET /changes?since=4&timeout=1000");  // resumes after the last number
}

TEST_F(NodeWatchTest, PollsAgainWithGrowingDelaysAfterUnusableReplies) {
  for (const std::string& unusable :
       {http::WriteReply(500, {}, "no", true), http::WriteReply(200, {}, "{\"results\":7}", true),
        std::string("\x01junk")}) {
    const ConnId conn = Connect();
    ASSERT_NE(conn, 0u);
    watch.OnBytes(now, conn, unusable);
    EXPECT_TRUE(transport.outgoing.empty());
    EXPECT_LE(watch.NextDue(), now + kMaxPollDelay);
    now = watch.NextDue();
  }
  ASSERT_EQ(transport.log.size(), 3u);
  EXPECT_EQ(
      transport.log[0],
      "event=node_list_poll_failed address=a:1 last_event=4 reason=\"reply: expected status 200, got 500\"");
  EXPECT_EQ(transport.log[1],
            "event=node_list_poll_failed address=a:1 last_event=4 "
            "reason=\"results: expected an array, got number\"");
}

// ---- ReadNodeListEvents ----

struct UnusableReply {
  const char* name;
  const char* reply;
  const char* error;
};

void PrintTo(const UnusableReply& input, std::ostream* out) { *out << input.name; }

class NodeListUnusableReplyTest : public ::testing::TestWithParam<UnusableReply> {};

TEST_P(NodeListUnusableReplyTest, NamesThePlaceAndWhatCame) {
  const auto events = ReadNodeListEvents(nlohmann::json::parse(GetParam().reply, nullptr, false), 0);
  ASSERT_FALSE(events.has_value());
  EXPECT_EQ(Describe(events.error()), GetParam().error);
}

const UnusableReply kUnusableReplies[] = {
    {"NotJson", "{", "reply: expected a JSON object, got discarded"},
    {"Array", "[]", "reply: expected a JSON object, got array"},
    {"WithoutResults", "{}", "results: expected an array, got nothing"},
    {"EventIsNoObject", R"({"results":[7]})", "results[0].seq: expected a whole number, got number"},
    {"NegativeNumber", R"({"results":[{"seq":1},{"seq":-2}]})",
     "results[1].seq: expected a whole number, got number"},
    {"FleetIsText", R"({"results":[{"seq":1,"fleet":"x"}]})",
     "results[0].fleet: expected an object, got string"},
    {"WithoutEndpoints", R"({"results":[{"seq":1,"fleet":{}}]})",
     "results[0].fleet.endpoints: expected an array, got nothing"},
};

INSTANTIATE_TEST_SUITE_P(NodeList, NodeListUnusableReplyTest, ::testing::ValuesIn(kUnusableReplies),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(NodeList, RejectsAnEventWithTooManyEntries) {
  nlohmann::json reply = nlohmann::json::parse(R"({"results":[{"seq":1,"fleet":{"endpoints":[]}}]})");
  nlohmann::json& endpoints = reply["results"][0]["fleet"]["endpoints"];
  for (std::size_t i = 0; i < kMaxNodes; ++i) endpoints.push_back({{"name", "n"}, {"status", "ready"}});
  ASSERT_TRUE(ReadNodeListEvents(reply, 0).has_value());
  endpoints.push_back({});
  const auto events = ReadNodeListEvents(reply, 0);
  ASSERT_FALSE(events.has_value());
  EXPECT_EQ(Describe(events.error()), "results[0].fleet.endpoints: expected at most 4096 entries, got 4097");
}

TEST(NodeList, SkipsEntriesWithoutNameOrStatusAndKeepsTheRest) {
  const auto events = ReadNodeListEvents(nlohmann::json::parse(R"({"results":[{"seq":1,"fleet":{"endpoints":[
      7,{"name":"a"},{"status":"ready"},{"name":"","status":"ready"},{"name":"b","status":"gone"}]}}]})"),
                                         0);
  ASSERT_TRUE(events.has_value());
  ASSERT_EQ(events->changes.size(), 1u);
  ASSERT_EQ(events->changes[0].nodes.size(), 1u);
  EXPECT_EQ(events->changes[0].nodes[0].name, "b");
  EXPECT_EQ(events->last, 1u);
  EXPECT_FALSE(events->gap);
}

TEST(NodeList, StopsAtAGapAndKeepsWhatCameBefore) {
  const auto events = ReadNodeListEvents(
      nlohmann::json::parse("{\"results\":[" + Event(5, "x") + "," + Event(7, "z") + "]}"), 4);
  ASSERT_TRUE(events.has_value());
  EXPECT_EQ(events->changes.size(), 1u);
  EXPECT_EQ(events->last, 5u);
  EXPECT_TRUE(events->gap);
}

}  // namespace
}  // namespace mountflow::testing
