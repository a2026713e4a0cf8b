// Tests of the invariant checker that the tests of the platform's program use.
#include "tests/support/platform_invariants.hpp"

#include <gtest/gtest.h>

namespace mountflow::testing {
namespace {

// Checks message logs that contain a violation of each rule. Without this test, a checker that never finds
// anything would go unnoticed.
TEST(PlatformInvariants, FindsAViolationOfEachRule) {
  using Kind = LoggedMessage::Kind;
  const auto entry = [](Micros at, Kind kind, RequestUid uid, const std::string& node = "", int cause = -1) {
    LoggedMessage message{at, kind, uid, node, cause};
    message.task_class = "service";
    message.time_left = 1'000'000;
    return message;
  };
  const LoggedMessage ready_node = entry(0, Kind::kNodeListed, 0, "a", 0);
  LoggedMessage other_rack = entry(0, Kind::kNodeListed, 0, "b", 0);
  other_rack.rack = 1;
  const MessageLog good = {ready_node,
                           other_rack,
                           entry(1, Kind::kRequested, 7),
                           entry(2, Kind::kAttempt, 7, "a"),
                           entry(3, Kind::kAttemptEnded, 7, "a", 34),
                           entry(4, Kind::kAttempt, 7, "b"),
                           entry(5, Kind::kAttemptEnded, 7, "b", 0),
                           entry(6, Kind::kAnswered, 7, "", 0)};
  EXPECT_TRUE(CheckInvariants(good).empty());
  const auto violates = [&](int rule, const MessageLog& candidate) {
    const auto violations = CheckInvariants(candidate);
    for (const std::string& violation : violations) {
      if (violation.rfind("rule " + std::to_string(rule), 0) == 0) return true;
    }
    return false;
  };
  MessageLog log = good;
  log.pop_back();
  EXPECT_TRUE(violates(1, log));  // no answer
  log = good;
  log.push_back(good.back());
  EXPECT_TRUE(violates(1, log));  // two answers
  log = good;
  log.back().at = 9'000'000;
  EXPECT_TRUE(violates(1, log));  // late answer
  log = good;
  log[4].cause = 41;
  EXPECT_TRUE(violates(2, log));  // the attempt may have run, and the retry goes to another rack
  log = good;
  log[4].cause = 41;
  log.erase(log.begin() + 5, log.begin() + 7);
  log.back().cause = 34;
  EXPECT_TRUE(violates(2, log));  // the attempt may have run, and the request is rejected
  log = good;
  log.erase(log.begin() + 4);
  EXPECT_TRUE(violates(2, log));  // two attempts in flight
  log = good;
  LoggedMessage drained = other_rack;
  drained.cause = 1;
  log[1] = drained;
  log[5].at = log[6].at = log[7].at = 3'000'000;
  log[2].time_left = 9'000'000;
  EXPECT_TRUE(violates(3, log));
  // After a client has closed its connection, an attempt 90 ms later is allowed because the scheduler may not
  // have read the close yet. An attempt 110 ms later is a violation.
  const MessageLog client_left = {ready_node, entry(1, Kind::kRequested, 7), entry(2, Kind::kClientLeft, 7),
                                  entry(90'000, Kind::kAttempt, 7, "a")};
  EXPECT_TRUE(CheckInvariants(client_left).empty());
  log = client_left;
  log.back().at = 110'000;
  EXPECT_TRUE(violates(1, log));
  // A client must be notified of the end of a task exactly once.
  const MessageLog task_ended = {entry(1, Kind::kRequested, 7), entry(5, Kind::kAnswered, 7, "", 0),
                                 entry(6, Kind::kTaskEnded, 7, "a", 16), entry(7, Kind::kNotified, 7),
                                 entry(9'000'000, Kind::kNodeListed, 0, "a", 0)};
  EXPECT_TRUE(CheckInvariants(task_ended).empty());
  log = task_ended;
  log.erase(log.begin() + 3);
  EXPECT_TRUE(violates(1, log));
  log = task_ended;
  log.insert(log.begin() + 3, log[3]);
  EXPECT_TRUE(violates(1, log));
  LoggedMessage warming_up = ready_node;
  warming_up.started_at = 1;
  log = {warming_up};
  MessageLog spread = {ready_node};
  for (RequestUid uid = 1; uid <= 13; ++uid) {
    for (MessageLog* to : {&log, &spread}) {
      to->push_back(entry(2, Kind::kRequested, uid));
      to->push_back(entry(3, Kind::kAttempt, uid, "a"));
      to->back().task_class = to == &spread ? "batch" : "service";
      to->push_back(entry(4, Kind::kAttemptEnded, uid, "a", 0));
      to->push_back(entry(5, Kind::kAnswered, uid, "", 0));
    }
  }
  EXPECT_TRUE(violates(4, log));
  EXPECT_TRUE(violates(5, spread));
  // The slow-start budget belongs to one incarnation of a node: it is not renewed if the node is listed
  // again, but starts again after a restart of the node.
  MessageLog listed_again = log;
  listed_again.insert(listed_again.begin() + 25, warming_up);
  EXPECT_TRUE(violates(4, listed_again));
  MessageLog started_anew = log;
  started_anew.insert(started_anew.begin() + 25, warming_up);
  started_anew[25].started_at = 2;
  EXPECT_FALSE(violates(4, started_anew));
}

}  // namespace
}  // namespace mountflow::testing
