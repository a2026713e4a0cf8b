// Tests that the invariant checker accepts logs without violations and reports logs that violate each of the
// invariants.
#include "tools/chaos/invariant_checker.hpp"

#include <gtest/gtest.h>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::chaos {
namespace {

using nlohmann::json;
using pbs_protocol::Code;
using pbs_protocol::RequestType;

constexpr Micros kSecond = 1'000'000;

class MessageLogBuilder {
 public:
  MessageLogBuilder() {
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
  void Request(const char* tap, const std::string& who, int conn, RequestType type, const std::string& id,
               json more = json::object()) {
    more["tap"] = tap, more["who"] = who, more["conn"] = conn, more["type"] = static_cast<unsigned>(type);
    if (!id.empty()) more["id"] = id;
    Line("ask", std::move(more));
  }
  void Reply(const char* tap, const std::string& who, int conn, Code code, json more = json::object()) {
    more["tap"] = tap, more["who"] = who, more["conn"] = conn, more["code"] = static_cast<int>(code);
    Line("reply", std::move(more));
  }
  // Logs a client that submits a job and waits for its answer on connection `conn`.
  void Submit(const std::string& job, const std::string& queue, int conn, const std::string& daemon = "d0") {
    Request("client", daemon, conn, RequestType::kQueueJob, "", {{"queue", queue}});
    Reply("client", daemon, conn, Code::kNone, {{"text", job}});
    Request("client", daemon, conn, RequestType::kCommit, job);
    Reply("client", daemon, conn, Code::kNone, {{"text", job}});
    Request("client", daemon, conn, RequestType::kStatusJob, job, {{"extension", "wait=answer"}});
  }
  void Answer(const std::string& job, const std::string& answer, int conn, const std::string& daemon = "d0") {
    Reply("client", daemon, conn, Code::kNone,
          {{"objects", {{{"name", job}, {"type", 2}, {"answer", answer}}}}});
  }
  void Attempt(const std::string& attempt, const std::string& node, int conn, const std::string& queue,
               const std::string& key = "", const std::string& service = "s") {
    json attributes = {{"service", service}, {"Job_Owner", "u"}};
    if (!key.empty()) attributes["key"] = key;
    Request("node", node, conn, RequestType::kQueueJob, attempt,
            {{"queue", queue}, {"attributes", attributes}});
    Request("node", node, conn, RequestType::kReadyToCommit, attempt);
  }
  void Accept(const std::string& attempt, const std::string& node, int conn) {
    Reply("node", node, conn, Code::kNone);
    Reply("node", node, conn, Code::kNone);
    Request("node", node, conn, RequestType::kCommit, attempt);
    Reply("node", node, conn, Code::kNone);
  }
  void Reject(const std::string& node, int conn) {
    Reply("node", node, conn, Code::kNone);
    Reply("node", node, conn, Code::kNoRoom);
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

// Expects violations of the given invariant only, each with the log lines that show it.
void ExpectViolated(const MessageLogBuilder& log, Invariant invariant) {
  const Verdict verdict = CheckInvariants(log.lines);
  ASSERT_TRUE(verdict.error.empty()) << verdict.error;
  ASSERT_FALSE(verdict.violations.empty())
      << "invariant " << static_cast<int>(invariant) << ": violation not found";
  for (const Violation& violation : verdict.violations) {
    EXPECT_EQ(violation.invariant, invariant) << violation.text;
    EXPECT_FALSE(violation.lines.empty());
    for (const std::size_t line : violation.lines) EXPECT_TRUE(line >= 1 && line <= log.lines.size());
  }
}

MessageLogBuilder Clean() {
  MessageLogBuilder log;
  log.Submit("1.d0", "keyed", 1);
  log.Attempt("1.d0/1", "a", 1, "keyed", "k");
  log.Reject("a", 1);
  log.Attempt("1.d0/2", "c", 1, "keyed", "k");
  log.Accept("1.d0/2", "c", 1);
  log.Answer("1.d0", "placed", 1);
  return log;
}

TEST(InvariantChecker, ALogWithoutViolationsIsCleanAndItsItemsAreCounted) {
  MessageLogBuilder log = Clean();
  log.Event("end");
  const Verdict verdict = CheckInvariants(log.lines);
  EXPECT_TRUE(verdict.clean()) << Report(verdict);
  EXPECT_EQ(verdict.jobs, 1u);
  EXPECT_EQ(verdict.attempts, 2u);
  EXPECT_EQ(verdict.accepted, 1u);
  EXPECT_EQ(verdict.rejected_by_nodes, 1u);
  EXPECT_FALSE(CheckInvariants({}).error.empty());
  EXPECT_FALSE(CheckInvariants({json{{"t", 1}, {"k", "ask"}}}).error.empty());
}

TEST(InvariantChecker, AMissingAnswerViolatesFinalAnswer) {
  MessageLogBuilder log;
  log.Submit("1.d0", "safe", 1);
  log.now += 9 * kSecond;
  log.Event("end");
  ExpectViolated(log, Invariant::kFinalAnswer);
}

TEST(InvariantChecker, ALateAnswerViolatesFinalAnswer) {
  MessageLogBuilder log;
  log.Submit("1.d0", "safe", 1);
  log.now += 9 * kSecond;
  log.Answer("1.d0", "refused", 1);
  ExpectViolated(log, Invariant::kFinalAnswer);
}

TEST(InvariantChecker, TwoDifferentAnswersViolateFinalAnswer) {
  MessageLogBuilder log = Clean();
  log.Request("client", "d0", 2, RequestType::kStatusJob, "1.d0");
  log.Answer("1.d0", "refused", 2);
  ExpectViolated(log, Invariant::kFinalAnswer);
}

TEST(InvariantChecker, AnAttemptAfterARejectionViolatesFinalAnswer) {
  MessageLogBuilder log;
  log.Submit("1.d0", "safe", 1);
  log.Answer("1.d0", "refused", 1);
  log.now += kSecond;
  log.Attempt("1.d0/1", "a", 1, "safe");
  ExpectViolated(log, Invariant::kFinalAnswer);
}

// Committed jobs survive a restart. A daemon that restarts before a job's deadline must answer by the
// deadline; one that restarts later must answer after its restart.
TEST(InvariantChecker, AKilledDaemonThatIsBackIsNotExcusedFromAnswering) {
  for (const double down : {1.0, 20.0}) {
    MessageLogBuilder log;
    log.Submit("1.d0", "safe", 1);
    log.now += kSecond;
    log.Event("daemon_kill", "d0");
    log.now += static_cast<Micros>(down * 1e6);
    log.Event("daemon_start", "d0");
    MessageLogBuilder late = log;
    late.now += 12 * kSecond;
    late.Event("end");
    ExpectViolated(late, Invariant::kFinalAnswer);
    log.Answer("1.d0", "refused", 1);
    log.now += 12 * kSecond;
    log.Event("end");
    EXPECT_TRUE(CheckInvariants(log.lines).clean()) << down;
  }
}

TEST(InvariantChecker, ASecondAnswerAfterARestartViolatesFinalAnswer) {
  MessageLogBuilder log;
  log.Submit("1.d0", "safe", 1);
  log.Answer("1.d0", "refused", 1);
  log.Event("daemon_kill", "d0");
  log.Event("daemon_start", "d0");
  log.Request("client", "d0", 2, RequestType::kStatusJob, "1.d0");
  log.Answer("1.d0", "failed", 2);
  ExpectViolated(log, Invariant::kFinalAnswer);
}

TEST(InvariantChecker, AReplyWithoutRequestAndAClientsEntryThatDisagreesAreReported) {
  MessageLogBuilder nothing;
  nothing.Submit("1.d0", "safe", 1);
  nothing.Answer("1.d0", "refused", 1);
  nothing.Answer("1.d0", "refused", 1);
  ExpectViolated(nothing, Invariant::kLogConsistency);
  MessageLogBuilder other;
  other.Submit("1.d0", "safe", 1);
  other.Answer("1.d0", "refused", 1);
  other.Line("client", {{"event", "answer"}, {"job", "1.d0"}, {"answer", "failed"}});
  ExpectViolated(other, Invariant::kLogConsistency);
}

TEST(InvariantChecker, AnAnswerOfPlacedThatNoNodeAcceptedViolatesFinalAnswer) {
  MessageLogBuilder log;
  log.Submit("1.d0", "safe", 1);
  log.Answer("1.d0", "placed", 1);
  log.Event("end");
  ExpectViolated(log, Invariant::kFinalAnswer);
}

TEST(InvariantChecker, AKilledOrStalledDaemonIsExcusedAndARunningOneIsNot) {
  MessageLogBuilder killed;
  killed.Submit("1.d0", "safe", 1);
  killed.Event("daemon_kill", "d0");
  killed.now += 9 * kSecond;
  killed.Event("end");
  EXPECT_TRUE(CheckInvariants(killed.lines).clean());
  MessageLogBuilder other;
  other.Submit("1.d0", "safe", 1);
  other.Event("daemon_kill", "d1");
  other.now += 9 * kSecond;
  other.Event("end");
  ExpectViolated(other, Invariant::kFinalAnswer);
  MessageLogBuilder stalled;
  stalled.Submit("1.d0", "safe", 1);
  stalled.now += 7 * kSecond;
  stalled.Event("daemon_stall", "d0");
  stalled.now += 3 * kSecond;
  stalled.Event("daemon_continue", "d0");
  stalled.Answer("1.d0", "refused", 1);
  EXPECT_TRUE(CheckInvariants(stalled.lines).clean());
}

TEST(InvariantChecker, TwoAttemptsInFlightViolateDuplicateEffect) {
  MessageLogBuilder log;
  log.Attempt("1.d0/1", "a", 1, "safe");
  log.now += kSecond;
  log.Attempt("1.d0/2", "b", 1, "safe");
  ExpectViolated(log, Invariant::kDuplicateEffect);
}

TEST(InvariantChecker, AnAbandonedAttemptIsNotInFlight) {
  MessageLogBuilder log;
  log.Attempt("1.d0/1", "a", 1, "safe");
  log.Line("close", {{"tap", "node"}, {"who", "a"}, {"conn", 1}});
  log.Attempt("1.d0/2", "b", 1, "safe");
  log.Accept("1.d0/2", "b", 1);
  EXPECT_TRUE(CheckInvariants(log.lines).clean()) << Report(CheckInvariants(log.lines));
}

TEST(InvariantChecker, RetryingATaskThatIsNotIdempotentViolatesDuplicateEffect) {
  MessageLogBuilder log;
  log.Attempt("1.d0/1", "a", 1, "once");
  log.Reply("node", "a", 1, Code::kNone);
  log.Reply("node", "a", 1, Code::kNone);
  log.Request("node", "a", 1, RequestType::kCommit, "1.d0/1");
  log.Line("close", {{"tap", "node"}, {"who", "a"}, {"conn", 1}});
  log.Request("node", "a", 2, RequestType::kDeleteJob, "1.d0/1");
  log.Attempt("1.d0/2", "b", 1, "once");
  ExpectViolated(log, Invariant::kDuplicateEffect);
}

TEST(InvariantChecker, RetryingOutsideTheDeduplicationScopeOrWindowViolatesDuplicateEffect) {
  for (const bool late : {false, true}) {
    MessageLogBuilder log;
    log.Attempt("1.d0/1", "a", 1, "keyed", "k");
    log.Reply("node", "a", 1, Code::kNone);
    log.Reply("node", "a", 1, Code::kNone);
    log.Request("node", "a", 1, RequestType::kCommit, "1.d0/1");
    log.Request("node", "a", 2, RequestType::kDeleteJob, "1.d0/1");
    if (late) log.now += 6 * kSecond;
    log.Attempt("1.d0/2", late ? "b" : "c", 1, "keyed", "k");
    ExpectViolated(log, Invariant::kDuplicateEffect);
  }
}

TEST(InvariantChecker, OneKeyRunningTwiceUnderTwoDaemonsViolatesDuplicateEffect) {
  MessageLogBuilder log;
  log.Attempt("1.d0/1", "a", 1, "keyed", "k");
  log.Accept("1.d0/1", "a", 1);
  log.Attempt("7.d1/1", "c", 1, "keyed", "k");
  log.Accept("7.d1/1", "c", 1);
  log.now += kSecond;
  log.Event("end");
  ExpectViolated(log, Invariant::kDuplicateEffect);
}

TEST(InvariantChecker, AKeyMayRunAgainAfterItsFirstRunEnded) {
  MessageLogBuilder log;
  log.Attempt("1.d0/1", "a", 1, "keyed", "k");
  log.Accept("1.d0/1", "a", 1);
  log.Request("report", "d0", 1, RequestType::kJobObit, "1.d0/1");
  log.Attempt("7.d1/1", "c", 1, "keyed", "k");
  log.Accept("7.d1/1", "c", 1);
  log.now += kSecond;
  log.Event("end");
  EXPECT_TRUE(CheckInvariants(log.lines).clean()) << Report(CheckInvariants(log.lines));
}

TEST(InvariantChecker, AnAttemptAtADrainingNodeBeyondTheGraceTimeViolatesDraining) {
  for (const bool gone : {false, true}) {
    MessageLogBuilder log;
    log.List("d0", {{"a", {"ready", 0}}});
    log.List("d0", gone ? json::object() : json{{"a", {"draining", 0}}});
    log.now += kSecond;
    log.Attempt("1.d0/1", "a", 1, "safe");  // within the grace time
    log.Reject("a", 1);
    EXPECT_TRUE(CheckInvariants(log.lines).clean());
    log.now += 2 * kSecond;
    log.Attempt("2.d0/1", "a", 1, "safe");
    ExpectViolated(log, Invariant::kDraining);
  }
}

TEST(InvariantChecker, OverrunningAWarmingUpNodeViolatesSlowStartWhenItsDaemonsKnow) {
  for (const bool informed : {true, false}) {
    MessageLogBuilder log;
    log.Event("node_start", "a");
    if (informed) log.List("d0", {{"a", {"ready", log.now}}});
    for (int i = 0; i < 7; ++i) {
      log.Attempt(std::to_string(i) + ".d0/1", "a", i, "keyed");
      log.Reject("a", i);
    }
    if (informed) {
      ExpectViolated(log, Invariant::kSlowStart);
    } else {
      EXPECT_TRUE(CheckInvariants(log.lines).clean());
    }
  }
}

TEST(InvariantChecker, TheSameAttemptsSpreadOverTimeStayWithinTheSlowStartBudget) {
  MessageLogBuilder log;
  log.Event("node_start", "a");
  log.List("d0", {{"a", {"ready", log.now}}});
  for (int i = 0; i < 12; ++i) {
    log.Attempt(std::to_string(i) + ".d0/1", "a", i, "keyed");
    log.Reject("a", i);
    log.now += kSecond / 2;
  }
  EXPECT_TRUE(CheckInvariants(log.lines).clean()) << Report(CheckInvariants(log.lines));
}

TEST(InvariantChecker, TooManyTasksOfAServiceInOneRackViolateTopologySpread) {
  MessageLogBuilder log;
  for (int i = 0; i < 3; ++i) {
    const std::string id = std::to_string(i) + ".d0/1";
    log.Attempt(id, i == 1 ? "b" : "a", i, "safe");
    log.Accept(id, i == 1 ? "b" : "a", i);
  }
  ExpectViolated(log, Invariant::kTopologySpread);
  MessageLogBuilder spread;
  for (int i = 0; i < 3; ++i) {
    const std::string id = std::to_string(i) + ".d0/1";
    spread.Attempt(id, i == 1 ? "c" : "a", i, "safe");
    spread.Accept(id, i == 1 ? "c" : "a", i);
  }
  EXPECT_TRUE(CheckInvariants(spread.lines).clean());
}

}  // namespace
}  // namespace mountflow::chaos
