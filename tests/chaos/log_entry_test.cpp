// Tests the decoding of message log entries, and the checker's reports on entries that it cannot decode.
#include "tools/chaos/log_entry.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "tools/chaos/invariant_checker.hpp"

namespace mountflow::chaos {
namespace {

using nlohmann::json;

json Request(const char* point) {
  return {{"t", 7},
          {"k", "ask"},
          {"tap", point},
          {"who", "d0"},
          {"conn", 3},
          {"type", 19u},
          {"id", "1.d0"},
          {"extension", "wait=answer"},
          {"x", 1},
          {"queue", "safe"},
          {"attributes", {{"key", "k"}, {"number", 5}}}};
}

json Head() {
  return {{"t", 1},
          {"k", "head"},
          {"classes",
           {{"safe",
             {{"effect", "safe"},
              {"scope", "all"},
              {"spread", "cell"},
              {"most", 1},
              {"window", 0},
              {"hard_limit", 5}}}}},
          {"nodes", {{"a", {{"rack", "r1"}, {"room", "x"}}}}},
          {"allowance", 0},
          {"answer_slack", 0},
          {"drain_grace", 0},
          {"cold_time", 1},
          {"cold_from", 1.0},
          {"fall_multiple", 1.0},
          {"fall_window", 1},
          {"cold_bears", 0.0},
          {"starts_per_second", 1.0}};
}

TEST(LogEntry, ARequestHasItsConnectionTypeAndTextAttributes) {
  const auto entry = DecodeLogEntry(Request("client"));
  ASSERT_TRUE(entry) << Describe(entry.error());
  EXPECT_EQ(entry->time, 7u);
  const auto& request = std::get<RequestEntry>(entry->content);
  EXPECT_EQ(Describe(request.connection), "client/d0/3");
  EXPECT_EQ(request.type, pbs_protocol::RequestType::kStatusJob);
  EXPECT_EQ(request.queue, "safe");
  EXPECT_TRUE(request.WaitsForAnswer());
  EXPECT_EQ(request.Attribute("key"), "k");
  EXPECT_EQ(request.Attribute("number"), "");
  EXPECT_FALSE(request.client_deadline);
}

TEST(LogEntry, EachKindOfEntryIsDecodedToItsType) {
  const auto list = DecodeLogEntry(
      {{"t", 1}, {"k", "list"}, {"who", "d0"}, {"nodes", {{"a", {"ready", 5}}, {"b", {"draining", 6}}}}});
  ASSERT_TRUE(list);
  const auto& nodes = std::get<NodeListEntry>(list->content).nodes;
  EXPECT_TRUE(nodes.at("a").ready);
  EXPECT_FALSE(nodes.at("b").ready);
  EXPECT_EQ(nodes.at("b").started, 6u);
  const auto event = DecodeLogEntry({{"t", 1}, {"k", "event"}, {"event", "daemon_kill"}, {"who", "d1"}});
  ASSERT_TRUE(event);
  EXPECT_EQ(std::get<EventEntry>(event->content).kind, EventKind::kDaemonKill);
  EXPECT_EQ(std::get<EventEntry>(event->content).name, "d1");
  const auto client = DecodeLogEntry({{"t", 1}, {"k", "client"}, {"event", "gave_up"}, {"job", "1.d0"}});
  ASSERT_TRUE(client);
  EXPECT_EQ(std::get<ClientEntry>(client->content).kind, ClientEventKind::kGaveUp);
  const auto reply = DecodeLogEntry({{"t", 1},
                                     {"k", "reply"},
                                     {"tap", "node"},
                                     {"who", "a"},
                                     {"conn", 1},
                                     {"code", 15046},
                                     {"objects", {{{"type", 0}, {"name", "a"}, {"started", "12"}}}}});
  ASSERT_TRUE(reply);
  const auto& content = std::get<ReplyEntry>(reply->content);
  EXPECT_EQ(content.code, pbs_protocol::Code::kNoRoom);
  EXPECT_EQ(content.objects.at(0).started, std::optional<Micros>(12));
  const auto unknown = DecodeLogEntry({{"t", 1}, {"k", "future"}});
  ASSERT_TRUE(unknown);
  EXPECT_TRUE(std::holds_alternative<std::monostate>(unknown->content));
}

TEST(LogEntry, AMissingFieldAnUnknownProxyPointAndABadDeadlineAreErrors) {
  const auto missing = DecodeLogEntry({{"t", 1}, {"k", "ask"}, {"tap", "client"}});
  ASSERT_FALSE(missing);
  EXPECT_EQ(missing.error().code, LogEntryError::Code::kMalformed);
  const auto point = DecodeLogEntry(Request("printer"));
  ASSERT_FALSE(point);
  EXPECT_EQ(point.error().code, LogEntryError::Code::kUnknownProxyPoint);
  EXPECT_NE(Describe(point.error()).find("printer"), std::string::npos);
  json request = Request("client");
  request["attributes"]["owner_deadline"] = "soon";
  const auto deadline = DecodeLogEntry(request);
  ASSERT_FALSE(deadline);
  EXPECT_EQ(deadline.error().code, LogEntryError::Code::kNotANumber);
}

TEST(InvariantChecker, AnEntryThatCannotBeReadEndsTheCheckWithItsLine) {
  for (const json& bad : {json{{"t", 2}, {"k", "ask"}, {"tap", "client"}, {"who", "d0"}, {"conn", 1}},
                          json{{"t", 2}, {"k", "list"}, {"who", "d0"}, {"nodes", {{"a", {"ready"}}}}}}) {
    const Verdict verdict = CheckInvariants({Head(), bad});
    EXPECT_EQ(verdict.error.rfind("line 2: ", 0), 0u) << verdict.error;
    EXPECT_FALSE(verdict.clean());
    EXPECT_EQ(Report(verdict).rfind("the record cannot be judged: line 2: ", 0), 0u);
  }
}

// Violations of several invariants by one message are reported in the order of the invariants' numbers.
TEST(InvariantChecker, ViolationsOfOneTimeAreInTheOrderOfTheInvariants) {
  json head = Head();
  head["classes"]["safe"]["effect"] = "unsafe";
  const auto request = [](Micros time, unsigned type, const char* id, json more) {
    more.update(
        {{"t", time}, {"k", "ask"}, {"tap", "node"}, {"who", "a"}, {"conn", 1}, {"type", type}, {"id", id}});
    return more;
  };
  const json attributes = {{"queue", "safe"}, {"attributes", {{"service", "s"}}}};
  const Verdict verdict =
      CheckInvariants({head,
                       {{"t", 2}, {"k", "list"}, {"who", "d0"}, {"nodes", {{"a", {"draining", 0}}}}},
                       request(2, 1, "1.d0/1", attributes),
                       request(2, 5, "1.d0/1", json::object()),
                       {{"t", 10}, {"k", "event"}, {"event", "node_start"}, {"who", "a"}},
                       {{"t", 10}, {"k", "list"}, {"who", "d0"}, {"nodes", {{"a", {"draining", 10}}}}},
                       request(10, 1, "1.d0/2", attributes)});
  ASSERT_TRUE(verdict.error.empty()) << verdict.error;
  std::vector<Invariant> found;
  for (const Violation& violation : verdict.violations) {
    if (violation.time == 10) found.push_back(violation.invariant);
  }
  ASSERT_GE(found.size(), 4u) << Report(verdict);
  EXPECT_TRUE(std::is_sorted(found.begin(), found.begin() + 4));
  EXPECT_EQ(found[0], Invariant::kDuplicateEffect);
  EXPECT_EQ(found[3], Invariant::kTopologySpread);
}

// A node that the head does not name is a failure domain of its own.
TEST(InvariantChecker, AnAttemptAtAnUnknownNodeIsChecked) {
  json attempt = Request("node");
  attempt["type"] = 1;
  attempt["who"] = "z";
  attempt["id"] = "1.d0/1";
  const Verdict verdict = CheckInvariants({Head(), attempt});
  EXPECT_TRUE(verdict.clean()) << Report(verdict);
  EXPECT_EQ(verdict.spread_checks, 1u);
}

}  // namespace
}  // namespace mountflow::chaos
