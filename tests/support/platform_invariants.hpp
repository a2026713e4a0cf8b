// A log of the messages on the sockets of the platform's program, and a checker of five rules that uses only
// this log:
//   1. Each request gets one final answer in time, and its client is notified once of the end of its task.
//   2. A request has at most one attempt in flight. One that may have run is not rejected, and it is retried
//      only on nodes that recognise its deduplication key.
//   3. A draining node gets no attempts after the grace period.
//   4. A node that is warming up gets at most its slow-start budget.
//   5. Tasks of one service are spread over the racks.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_INVARIANTS_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_INVARIANTS_HPP_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/client_codec.hpp"
#include "platform/transport.hpp"

namespace mountflow::testing {

using namespace platform;

// One message on a socket of the program, or one event at a peer that the rules depend on.
struct LoggedMessage {
  enum class Kind {
    kRequested,     // a client sent a launch request
    kCancelled,     // the client cancelled its request
    kClientLeft,    // the client closed its connection or cancelled its request
    kAnswered,      // the client received the final answer
    kAttempt,       // a node received an attempt
    kAttemptEnded,  // the node accepted the attempt, or the attempt ended otherwise
    kNodeListed,    // a node was added to the node list, or its entry changed
    kTaskEnded,     // a running task ended
    kNotified       // the client was notified of the task's end
  };
  Micros at = 0;
  Kind kind = Kind::kRequested;
  RequestUid uid = 0;
  std::string node{};  // set for kAttempt, kAttemptEnded, kNodeListed and kTaskEnded
  // kAnswered: 0 if the task was started, otherwise the cause of the protocol. kAttemptEnded: 0 if the task
  // is running, 41 if the attempt may have run, otherwise the cause. kNodeListed: 0 ready, 1 draining, 2
  // gone.
  int cause = -1;
  Micros time_left = 0;      // set for kRequested: time until the final answer is due
  std::string task_class{};  // set for kRequested and kAttempt
  std::string service{};     // set for kRequested
  unsigned rack = 0;         // set for kNodeListed
  Micros started_at = 0;     // set for kNodeListed: start of a node that is warming up, otherwise 0
};
using MessageLog = std::vector<LoggedMessage>;

// Limits that the rules allow; times are in microseconds.
struct InvariantLimits {
  Micros answer_slack = 55'000;
  Micros drain_grace_period = 2'050'000;
  Micros deduplication_window = 5'000'000;
  Micros slow_start_duration = 17'000'000;
  Micros slow_start_window = 3'000'000;
  std::size_t slow_start_budget = 12;
  Micros client_left_slack = 100'000;
  Micros notification_limit = 8'000'000;
  std::size_t max_per_rack = 3;
  std::string class_with_key = "service";
  std::string spread_class = "batch";
};

// InvariantChecker checks the messages of a log one after the other and collects the violations.
class InvariantChecker {
 public:
  explicit InvariantChecker(const InvariantLimits& limits) : limits_(limits) {}

  void Check(const LoggedMessage& message) {
    switch (message.kind) {
      case LoggedMessage::Kind::kRequested:
        requests_[message.uid] = {message.at, message.time_left, message.service, message.task_class};
        break;
      case LoggedMessage::Kind::kCancelled:
        requests_[message.uid].closed = true;
        break;
      case LoggedMessage::Kind::kClientLeft:
        if (Request& request = requests_[message.uid]; request.client_left_at == 0) {
          request.client_left_at = message.at;
        }
        break;
      case LoggedMessage::Kind::kNotified:
        if (not_notified_.erase(message.uid) == 0) {
          AddViolation(1, message.uid, "notified twice, or while the task runs");
        }
        break;
      case LoggedMessage::Kind::kAnswered:
        CheckAnswer(message);
        break;
      case LoggedMessage::Kind::kNodeListed:
        RecordListing(message);
        break;
      case LoggedMessage::Kind::kAttempt:
        CheckAttempt(message);
        break;
      case LoggedMessage::Kind::kAttemptEnded:
        RecordAttemptEnd(message);
        break;
      case LoggedMessage::Kind::kTaskEnded:
        spread_tasks_.erase(message.uid);
        if (message.cause != 31) not_notified_[message.uid] = message.at;
        break;
    }
  }

  // Checks for messages that were due by `end`. Returns one line for each violation in the log.
  std::vector<std::string> Finish(Micros end) {
    for (const auto& [uid, request] : requests_) {
      if (!request.closed && request.client_left_at == 0) AddViolation(1, uid, "no answer");
    }
    for (const auto& [uid, at] : not_notified_) {
      const bool due = end > at + limits_.notification_limit;
      if (due && requests_[uid].client_left_at == 0 && started_.count(uid) > 0) {
        AddViolation(1, uid, "the task ended, and its client was not notified");
      }
    }
    return violations_;
  }

 private:
  struct Request {
    Micros at = 0;
    Micros time_left = 0;
    std::string service;
    std::string task_class;
    bool closed = false;
    Micros client_left_at = 0;
  };
  struct EndedAttempt {
    std::string node;
    Micros at;
    bool may_have_run;
  };

  void AddViolation(int rule, RequestUid uid, const std::string& what) {
    violations_.push_back("rule " + std::to_string(rule) + ": " + WriteHex(uid) + ": " + what);
  }

  // Records a node's entry in the list. A restarted node is a new process, so the attempts sent to the
  // previous incarnation do not count against its budget.
  void RecordListing(const LoggedMessage& message) {
    LoggedMessage& node = nodes_[message.node];
    const bool is_new_incarnation = message.started_at != 0 && message.started_at != node.started_at;
    if (is_new_incarnation) sent_while_warming_up_.erase(message.node);
    node = message;
  }

  // Rule 1: there is one final answer, in time. Rule 2: a request that may have run is not rejected.
  void CheckAnswer(const LoggedMessage& message) {
    const auto found = requests_.find(message.uid);
    if (found == requests_.end() || found->second.closed) {
      AddViolation(1, message.uid, "a second answer, or an answer without a request");
      return;
    }
    Request& request = found->second;
    request.closed = true;
    if (message.cause == 0) started_.insert(message.uid);
    if (message.at > request.at + request.time_left + limits_.answer_slack) {
      AddViolation(1, message.uid, "answered late");
    }
    bool may_have_run = false;
    for (const EndedAttempt& attempt : ended_attempts_[message.uid]) may_have_run |= attempt.may_have_run;
    const bool rejected = message.cause == 34 || message.cause == 42 || message.cause == 102;
    if (rejected && may_have_run && request.task_class == limits_.class_with_key) {
      AddViolation(2, message.uid, "rejected, and may have run");
    }
  }

  void CheckAttempt(const LoggedMessage& message) {
    if (in_flight_.count(message.uid) > 0) AddViolation(2, message.uid, "two attempts in flight");
    const auto found = requests_.find(message.uid);
    const Request* request = found == requests_.end() ? nullptr : &found->second;
    if (request == nullptr || request->closed) AddViolation(1, message.uid, "sent after its end");
    if (request != nullptr && request->client_left_at != 0 &&
        message.at > request->client_left_at + limits_.client_left_slack) {
      AddViolation(1, message.uid, "begun after its client left");
    }
    const LoggedMessage& node = nodes_[message.node];
    CheckRepeat(message, node);
    if (node.cause > 0 && message.at > node.at + limits_.drain_grace_period) {
      AddViolation(3, message.uid, "sent to " + message.node);
    }
    CheckSlowStart(message, node);
    if (message.task_class == limits_.spread_class && request != nullptr) {
      CheckSpread(message, request->service, node);
    }
    in_flight_[message.uid] = message.node;
  }

  // Rule 2: a request that may have run is sent only to nodes that recognise its deduplication key.
  void CheckRepeat(const LoggedMessage& message, const LoggedMessage& node) {
    for (const EndedAttempt& earlier : ended_attempts_[message.uid]) {
      if (!earlier.may_have_run || message.task_class != limits_.class_with_key) continue;
      if (nodes_[earlier.node].rack != node.rack || message.at > earlier.at + limits_.deduplication_window) {
        AddViolation(2, message.uid, "sent to nodes that do not recognise its key");
      }
    }
  }

  // Rule 4: a node that is warming up gets no more attempts than its slow-start budget.
  void CheckSlowStart(const LoggedMessage& message, const LoggedMessage& node) {
    if (node.started_at == 0 || message.at >= node.started_at + limits_.slow_start_duration) return;
    std::vector<Micros>& sent = sent_while_warming_up_[message.node];
    sent.push_back(message.at);
    std::size_t in_window = 0;
    for (const Micros at : sent) in_window += at + limits_.slow_start_window > message.at;
    if (in_window > limits_.slow_start_budget) AddViolation(4, message.uid, "overloads " + message.node);
  }

  // Rule 5: tasks of one service stay spread over the racks.
  void CheckSpread(const LoggedMessage& message, const std::string& service, const LoggedMessage& node) {
    std::size_t together = 1;
    for (const auto& [uid, where] : spread_tasks_) {
      together += requests_[uid].service == service && nodes_[where].rack == node.rack;
    }
    if (together > limits_.max_per_rack) AddViolation(5, message.uid, "too many of its service in one rack");
    spread_tasks_[message.uid] = message.node;
  }

  void RecordAttemptEnd(const LoggedMessage& message) {
    const auto attempt = in_flight_.find(message.uid);
    if (attempt != in_flight_.end() && attempt->second == message.node) {
      const bool may_have_run = message.cause != 34 && message.cause != 102;
      if (message.cause != 0) {
        ended_attempts_[message.uid].push_back({message.node, message.at, may_have_run});
      }
      in_flight_.erase(attempt);
    }
    if (message.cause != 0) spread_tasks_.erase(message.uid);
  }

  InvariantLimits limits_;
  std::vector<std::string> violations_;
  std::map<RequestUid, Request> requests_;
  std::map<RequestUid, std::string> in_flight_;  // node of the attempt in flight
  std::map<RequestUid, std::vector<EndedAttempt>> ended_attempts_;
  std::map<RequestUid, std::string> spread_tasks_;  // nodes of attempts and running tasks of the spread class
  std::map<std::string, LoggedMessage> nodes_;
  std::map<std::string, std::vector<Micros>> sent_while_warming_up_;
  std::map<RequestUid, Micros> not_notified_;  // end times of tasks whose clients were not notified yet
  std::set<RequestUid> started_;               // requests whose final answer was that the task is running
};

// Returns one line for each message about a request, with times in microseconds since the first message.
inline std::string DescribeRequest(const MessageLog& log, RequestUid uid) {
  static constexpr const char* kNames[] = {"requested",   "cancelled",  "client left",
                                           "answered",    "attempt",    "attempt ended",
                                           "node listed", "task ended", "notified"};
  std::string text;
  Micros first = 0;
  for (const LoggedMessage& message : log) {
    if (message.uid != uid) continue;
    if (first == 0) first = message.at;
    text += "    " + std::to_string(message.at - first) +
            " us: " + kNames[static_cast<std::size_t>(message.kind)];
    if (!message.node.empty()) text += " at " + message.node;
    if (message.cause >= 0) text += ", cause " + std::to_string(message.cause);
    if (!message.task_class.empty()) text += ", " + message.task_class;
    if (message.time_left != 0) text += ", " + std::to_string(message.time_left / 1000) + " ms left";
    text += "\n";
  }
  return text;
}

// Returns the times at which a node was listed and received attempts, in milliseconds since its last start.
inline std::string DescribeNode(const MessageLog& log, const std::string& node) {
  std::string text;
  Micros started_at = 0;
  for (const LoggedMessage& message : log) {
    if (message.node != node) continue;
    if (message.kind == LoggedMessage::Kind::kNodeListed) {
      if (message.started_at != 0) started_at = message.started_at;
      text += "\n    " + node + " listed, state " + std::to_string(message.cause) + ", attempts after ms:";
    } else if (message.kind == LoggedMessage::Kind::kAttempt && started_at != 0) {
      text += " " + std::to_string((message.at - started_at) / 1000);
    }
  }
  return text + "\n";
}

// Checks a log. Returns one line for each violation.
inline std::vector<std::string> CheckInvariants(const MessageLog& log, const InvariantLimits& limits = {}) {
  InvariantChecker checker(limits);
  for (const LoggedMessage& message : log) checker.Check(message);
  return checker.Finish(log.empty() ? 0 : log.back().at);
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_INVARIANTS_HPP_
