// The judge must be able to fail: a small clean record, and for each rule one that breaks it.
#include "tools/chaos/invariant_checker.hpp"

#include <gtest/gtest.h>

namespace mountflow::chaos {
namespace {

constexpr Micros kSecond = 1'000'000;

class RecordBuilder {
 public:
  RecordBuilder() {
    lines.push_back({{"t", now},
                     {"k", "head"},
                     {"classes",
                      {{"keyed", Class("keyed", "cell", 0)},
                       {"safe", Class("safe", "all", 2)},
                       {"once", Class("unsafe", "all", 0)}}},
                     {"nodes",
                      {{"a", {{"rack", "r1"}, {"room", "x"}}},
                       {"b", {{"rack", "r1"}, {"room", "x"}}},
                       {"c", {{"rack", "r2"}, {"room", "x"}}}}},
                     {"allowance", 100'000},
                     {"answer_slack", 50'000},
                     {"drain_grace", 2 * kSecond},
                     {"cold_time", 10 * kSecond},
                     {"cold_from", 0.25},
                     {"fall_multiple", 2.0},
                     {"fall_window", 2 * kSecond},
                     {"cold_bears", 6.0},
                     {"starts_per_second", 1.0}});
  }
  static json Class(const char* effect, const char* scope, int most) {
    return {{"effect", effect}, {"scope", scope},        {"spread", most > 0 ? "cell" : "none"},
            {"most", most},     {"window", 5 * kSecond}, {"hard_limit", 8 * kSecond}};
  }
  void Line(const char* kind, json fields) {
    now += 1000;
    fields["t"] = now;
    fields["k"] = kind;
    lines.push_back(std::move(fields));
  }
  void Ask(const char* tap, const std::string& who, int conn, unsigned type, const std::string& id,
           json more = json::object()) {
    more["tap"] = tap, more["who"] = who, more["conn"] = conn, more["type"] = type;
    if (!id.empty()) more["id"] = id;
    Line("ask", std::move(more));
  }
  void Reply(const char* tap, const std::string& who, int conn, int code, json more = json::object()) {
    more["tap"] = tap, more["who"] = who, more["conn"] = conn, more["code"] = code;
    Line("reply", std::move(more));
  }
  // A client submits and waits on connection `conn`.
  void Submit(const std::string& job, const std::string& queue, int conn, const std::string& daemon = "d0") {
    Ask("client", daemon, conn, 1, "", {{"queue", queue}});
    Reply("client", daemon, conn, 0, {{"text", job}});
    Ask("client", daemon, conn, 5, job);
    Reply("client", daemon, conn, 0, {{"text", job}});
    Ask("client", daemon, conn, 19, job, {{"extension", "wait=answer"}});
  }
  void Answer(const std::string& job, const std::string& answer, int conn, const std::string& daemon = "d0") {
    Reply("client", daemon, conn, 0, {{"objects", {{{"name", job}, {"type", 2}, {"answer", answer}}}}});
  }
  void Offer(const std::string& attempt, const std::string& node, int conn, const std::string& queue,
             const std::string& key = "", const std::string& service = "s") {
    json attributes = {{"service", service}, {"Job_Owner", "u"}};
    if (!key.empty()) attributes["key"] = key;
    Ask("node", node, conn, 1, attempt, {{"queue", queue}, {"attributes", attributes}});
    Ask("node", node, conn, 4, attempt);
  }
  void Yes(const std::string& attempt, const std::string& node, int conn) {
    Reply("node", node, conn, 0);
    Reply("node", node, conn, 0);
    Ask("node", node, conn, 5, attempt);
    Reply("node", node, conn, 0);
  }
  void No(const std::string& node, int conn) {
    Reply("node", node, conn, 0);
    Reply("node", node, conn, 15046);
  }
  void Event(const char* event, const std::string& who = "") {
    Line("event", {{"event", event}, {"who", who}});
  }
  void List(const std::string& daemon, const json& nodes) {
    Line("list", {{"who", daemon}, {"nodes", nodes}});
  }

  std::vector<json> lines;
  Micros now = 1000 * kSecond;
};

// Exactly the named rule is broken, and the lines that show it are named.
void ExpectBroken(const RecordBuilder& r, int rule) {
  const Verdict v = Judge(r.lines);
  ASSERT_TRUE(v.error.empty()) << v.error;
  ASSERT_FALSE(v.breaches.empty()) << "rule " << rule << " was not caught";
  for (const Breach& b : v.breaches) {
    EXPECT_EQ(b.rule, rule) << b.text;
    EXPECT_FALSE(b.lines.empty());
    for (const std::size_t line : b.lines) EXPECT_TRUE(line >= 1 && line <= r.lines.size());
  }
}

RecordBuilder Clean() {
  RecordBuilder r;
  r.Submit("1.d0", "keyed", 1);
  r.Offer("1.d0/1", "a", 1, "keyed", "k");
  r.No("a", 1);
  r.Offer("1.d0/2", "c", 1, "keyed", "k");
  r.Yes("1.d0/2", "c", 1);
  r.Answer("1.d0", "placed", 1);
  return r;
}

TEST(Judge, ACleanRecordIsCleanAndWasLookedAt) {
  RecordBuilder r = Clean();
  r.Event("end");
  const Verdict v = Judge(r.lines);
  EXPECT_TRUE(v.clean()) << Report(v);
  EXPECT_EQ(v.jobs, 1u);
  EXPECT_EQ(v.attempts, 2u);
  EXPECT_EQ(v.accepted, 1u);
  EXPECT_EQ(v.refused_by_nodes, 1u);
  EXPECT_FALSE(Judge({}).error.empty());
  EXPECT_FALSE(Judge({json{{"t", 1}, {"k", "ask"}}}).error.empty());
}

TEST(Judge, Rule1NoAnswerInTime) {
  RecordBuilder r;
  r.Submit("1.d0", "safe", 1);
  r.now += 9 * kSecond;
  r.Event("end");
  ExpectBroken(r, 1);
}

TEST(Judge, Rule1ALateAnswer) {
  RecordBuilder r;
  r.Submit("1.d0", "safe", 1);
  r.now += 9 * kSecond;
  r.Answer("1.d0", "refused", 1);
  ExpectBroken(r, 1);
}

TEST(Judge, Rule1TwoAnswers) {
  RecordBuilder r = Clean();
  r.Ask("client", "d0", 2, 19, "1.d0");
  r.Answer("1.d0", "refused", 2);
  ExpectBroken(r, 1);
}

TEST(Judge, Rule1GoingOnAfterTheAnswer) {
  RecordBuilder r;
  r.Submit("1.d0", "safe", 1);
  r.Answer("1.d0", "refused", 1);
  r.now += kSecond;
  r.Offer("1.d0/1", "a", 1, "safe");
  ExpectBroken(r, 1);
}

// A daemon keeps its jobs: one that is back in time owes their answers in time, one that is back later owes
// them then.
TEST(Judge, Rule1ADaemonThatWasBackInTimeIsNotExcused) {
  for (const double down : {1.0, 20.0}) {
    RecordBuilder r;
    r.Submit("1.d0", "safe", 1);
    r.now += kSecond;
    r.Event("daemon_kill", "d0");
    r.now += static_cast<Micros>(down * 1e6);
    r.Event("daemon_start", "d0");
    RecordBuilder late = r;
    late.now += 12 * kSecond;
    late.Event("end");
    ExpectBroken(late, 1);
    r.Answer("1.d0", "refused", 1);
    r.now += 12 * kSecond;
    r.Event("end");
    EXPECT_TRUE(Judge(r.lines).clean()) << down;
  }
}

TEST(Judge, Rule1ASecondAnswerOverARestart) {
  RecordBuilder r;
  r.Submit("1.d0", "safe", 1);
  r.Answer("1.d0", "refused", 1);
  r.Event("daemon_kill", "d0");
  r.Event("daemon_start", "d0");
  r.Ask("client", "d0", 2, 19, "1.d0");
  r.Answer("1.d0", "failed", 2);
  ExpectBroken(r, 1);
}

TEST(Judge, AReplyToNothingAndAClientsLogThatDisagreesAreReported) {
  RecordBuilder nothing;
  nothing.Submit("1.d0", "safe", 1);
  nothing.Answer("1.d0", "refused", 1);
  nothing.Answer("1.d0", "refused", 1);
  ExpectBroken(nothing, 0);
  RecordBuilder other;
  other.Submit("1.d0", "safe", 1);
  other.Answer("1.d0", "refused", 1);
  other.Line("client", {{"event", "answer"}, {"job", "1.d0"}, {"answer", "failed"}});
  ExpectBroken(other, 0);
}

TEST(Judge, Rule1AnAnswerOfPlacedThatNoNodeGave) {
  RecordBuilder r;
  r.Submit("1.d0", "safe", 1);
  r.Answer("1.d0", "placed", 1);
  r.Event("end");
  ExpectBroken(r, 1);
}

TEST(Judge, Rule1AKilledOrStoppedDaemonIsExcusedAndARunningOneNot) {
  RecordBuilder killed;
  killed.Submit("1.d0", "safe", 1);
  killed.Event("daemon_kill", "d0");
  killed.now += 9 * kSecond;
  killed.Event("end");
  EXPECT_TRUE(Judge(killed.lines).clean());
  RecordBuilder other;
  other.Submit("1.d0", "safe", 1);
  other.Event("daemon_kill", "d1");
  other.now += 9 * kSecond;
  other.Event("end");
  ExpectBroken(other, 1);
  RecordBuilder stalled;
  stalled.Submit("1.d0", "safe", 1);
  stalled.now += 7 * kSecond;
  stalled.Event("daemon_stall", "d0");
  stalled.now += 3 * kSecond;
  stalled.Event("daemon_continue", "d0");
  stalled.Answer("1.d0", "refused", 1);
  EXPECT_TRUE(Judge(stalled.lines).clean());
}

TEST(Judge, Rule2TwoAttemptsOut) {
  RecordBuilder r;
  r.Offer("1.d0/1", "a", 1, "safe");
  r.now += kSecond;
  r.Offer("1.d0/2", "b", 1, "safe");
  ExpectBroken(r, 2);
}

TEST(Judge, Rule2AnAbandonedAttemptIsNotOut) {
  RecordBuilder r;
  r.Offer("1.d0/1", "a", 1, "safe");
  r.Line("close", {{"tap", "node"}, {"who", "a"}, {"conn", 1}});
  r.Offer("1.d0/2", "b", 1, "safe");
  r.Yes("1.d0/2", "b", 1);
  EXPECT_TRUE(Judge(r.lines).clean()) << Report(Judge(r.lines));
}

TEST(Judge, Rule2AnUnsafeTaskAgainThoughItMayHaveRun) {
  RecordBuilder r;
  r.Offer("1.d0/1", "a", 1, "once");
  r.Reply("node", "a", 1, 0);
  r.Reply("node", "a", 1, 0);
  r.Ask("node", "a", 1, 5, "1.d0/1");
  r.Line("close", {{"tap", "node"}, {"who", "a"}, {"conn", 1}});
  r.Ask("node", "a", 2, 6, "1.d0/1");
  r.Offer("1.d0/2", "b", 1, "once");
  ExpectBroken(r, 2);
}

TEST(Judge, Rule2AKeyedTaskOutOfItsGroupOrWindow) {
  for (const bool late : {false, true}) {
    RecordBuilder r;
    r.Offer("1.d0/1", "a", 1, "keyed", "k");
    r.Reply("node", "a", 1, 0);
    r.Reply("node", "a", 1, 0);
    r.Ask("node", "a", 1, 5, "1.d0/1");
    r.Ask("node", "a", 2, 6, "1.d0/1");
    if (late) r.now += 6 * kSecond;
    r.Offer("1.d0/2", late ? "b" : "c", 1, "keyed", "k");
    ExpectBroken(r, 2);
  }
}

TEST(Judge, Rule2OneKeyRunningTwiceUnderTwoDaemons) {
  RecordBuilder r;
  r.Offer("1.d0/1", "a", 1, "keyed", "k");
  r.Yes("1.d0/1", "a", 1);
  r.Offer("7.d1/1", "c", 1, "keyed", "k");
  r.Yes("7.d1/1", "c", 1);
  r.now += kSecond;
  r.Event("end");
  ExpectBroken(r, 2);
}

TEST(Judge, Rule2AKeyAfterItsFirstRunEndedIsFine) {
  RecordBuilder r;
  r.Offer("1.d0/1", "a", 1, "keyed", "k");
  r.Yes("1.d0/1", "a", 1);
  r.Ask("report", "d0", 1, 22, "1.d0/1");
  r.Offer("7.d1/1", "c", 1, "keyed", "k");
  r.Yes("7.d1/1", "c", 1);
  r.now += kSecond;
  r.Event("end");
  EXPECT_TRUE(Judge(r.lines).clean()) << Report(Judge(r.lines));
}

TEST(Judge, Rule3AnOfferToALeavingNodeBeyondTheGrace) {
  for (const bool gone : {false, true}) {
    RecordBuilder r;
    r.List("d0", {{"a", {"ready", 0}}});
    r.List("d0", gone ? json::object() : json{{"a", {"draining", 0}}});
    r.now += kSecond;
    r.Offer("1.d0/1", "a", 1, "safe");  // within the grace
    r.No("a", 1);
    EXPECT_TRUE(Judge(r.lines).clean());
    r.now += 2 * kSecond;
    r.Offer("2.d0/1", "a", 1, "safe");
    ExpectBroken(r, 3);
  }
}

TEST(Judge, Rule4AColdNodeOverrunByThoseWhoKnow) {
  for (const bool informed : {true, false}) {
    RecordBuilder r;
    r.Event("node_start", "a");
    if (informed) r.List("d0", {{"a", {"ready", r.now}}});
    for (int i = 0; i < 7; ++i) {
      r.Offer(std::to_string(i) + ".d0/1", "a", i, "keyed");
      r.No("a", i);
    }
    if (informed) {
      ExpectBroken(r, 4);
    } else {
      EXPECT_TRUE(Judge(r.lines).clean());
    }
  }
}

TEST(Judge, Rule4TheSameOffersSpreadOverTimeAreBorne) {
  RecordBuilder r;
  r.Event("node_start", "a");
  r.List("d0", {{"a", {"ready", r.now}}});
  for (int i = 0; i < 12; ++i) {
    r.Offer(std::to_string(i) + ".d0/1", "a", i, "keyed");
    r.No("a", i);
    r.now += kSecond / 2;
  }
  EXPECT_TRUE(Judge(r.lines).clean()) << Report(Judge(r.lines));
}

TEST(Judge, Rule5TooManyOfOneServiceInOnePlace) {
  RecordBuilder r;
  for (int i = 0; i < 3; ++i) {
    const std::string id = std::to_string(i) + ".d0/1";
    r.Offer(id, i == 1 ? "b" : "a", i, "safe");
    r.Yes(id, i == 1 ? "b" : "a", i);
  }
  ExpectBroken(r, 5);
  RecordBuilder spread;
  for (int i = 0; i < 3; ++i) {
    const std::string id = std::to_string(i) + ".d0/1";
    spread.Offer(id, i == 1 ? "c" : "a", i, "safe");
    spread.Yes(id, i == 1 ? "c" : "a", i);
  }
  EXPECT_TRUE(Judge(spread.lines).clean());
}

}  // namespace
}  // namespace mountflow::chaos
