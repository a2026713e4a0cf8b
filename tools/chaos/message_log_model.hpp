// The state of jobs, attempts, node incarnations, daemons and connections that follows from the message log
// read so far. The model only applies the messages; the invariants read it and report violations.
#ifndef MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_MODEL_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_MODEL_HPP_

#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tools/chaos/log_entry.hpp"
#include "tools/chaos/verdict.hpp"

namespace mountflow::chaos {

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

// One attempt to start a job on a node.
struct Attempt {
  std::string id;
  std::string job;
  std::string daemon;
  std::string node;
  std::string key;  // user and idempotency key; empty: no key
  std::string queue;
  std::string service;
  ConnectionId connection;
  LogPosition sent;
  LogPosition committed;  // line 0: no commit sent so far
  LogPosition accepted;   // line 0: no acceptance seen so far
  Micros ended = kNever;
  Micros in_flight_until = kNever;  // time at which it was answered or abandoned
  bool never_ran = false;           // the node's reply showed it, or no commit was sent
  bool known_to_daemon = true;      // false from the end of its daemon until a node status names it

  [[nodiscard]] bool is_committed() const { return committed.line != 0; }
  [[nodiscard]] bool is_accepted() const { return accepted.line != 0; }
  [[nodiscard]] bool has_ended() const { return ended != kNever; }
  [[nodiscard]] bool in_flight() const { return in_flight_until == kNever && !is_accepted(); }
};

struct Job {
  std::string daemon;
  std::string queue;
  LogPosition committed;
  LogPosition answered;
  Micros deadline = 0;
  std::string answer;              // empty: not answered yet
  std::set<ConnectionId> waiting;  // connections on which a client waits for the answer
  bool has_key = false;            // the job itself was submitted with an idempotency key
  bool forgotten = false;          // its daemon replied that it does not know the job
};

// One run of a node, from its start to its end.
struct NodeIncarnation {
  LogPosition started;
  std::set<std::string> known_to;  // daemons that have read of this start
};

// The position at which a daemon first read that a node is draining or has left.
using DrainNotices = std::map<std::pair<std::string, std::string>, LogPosition>;  // by (daemon, node)

// An interval during which a daemon was down or stalled, in microseconds.
struct Outage {
  Micros from = 0;
  Micros to = kNever;
};

// Applies the entries of a message log in order.
class MessageLogModel {
 public:
  MessageLogModel(HeadEntry head, Verdict* verdict) : head_(std::move(head)), verdict_(verdict) {}

  // Each of these functions applies one log entry.
  void AddPendingRequest(const RequestEntry& request);
  // Removes and returns the oldest pending request of the connection: replies arrive in the order of their
  // requests. Returns nullopt if no request is pending, which the caller reports as a violation.
  [[nodiscard]] std::optional<RequestEntry> TakePendingRequest(const ConnectionId& connection);
  void OnClientRequest(const RequestEntry& request);
  void OnJobCommitted(const ReplyEntry& reply, LogPosition position);
  void OnFinalAnswer(Job* job, const std::string& answer, LogPosition position);
  void OnNodeReply(const RequestEntry& request, const ReplyEntry& reply, LogPosition position);
  void OnTaskReport(const std::string& attempt_id, LogPosition position);
  void OnConnectionClosed(const ConnectionId& connection, Micros now);
  void OnNodeList(const NodeListEntry& list, LogPosition position);
  void OnEvent(const EventEntry& event, LogPosition position);
  void OnClientGaveUp(const std::string& job, LogPosition position);

  // The caller checks an attempt after MakeAttempt() and before AddAttempt(), so that the checks see the
  // state before the attempt.
  [[nodiscard]] Attempt MakeAttempt(const RequestEntry& request, LogPosition position);
  void AddAttempt(Attempt attempt);
  // Marks the attempt as no longer in flight because it was answered, abandoned or its connection closed.
  static void EndAttempt(Attempt* attempt, Micros now);

  [[nodiscard]] const HeadEntry& head() const { return head_; }
  [[nodiscard]] const TaskClass& ClassOf(const std::string& queue) const;
  // Returns the name of the failure domain of a node. An unknown node is a domain of its own.
  [[nodiscard]] std::string DomainOf(const std::string& node, SpreadDomain domain) const;
  [[nodiscard]] Job* FindJob(const std::string& id);
  [[nodiscard]] Attempt* FindAttempt(const std::string& id);
  [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_; }
  // Return attempts in the order in which they were sent.
  [[nodiscard]] std::vector<const Attempt*> AttemptsOfJob(const std::string& job) const;
  [[nodiscard]] std::vector<const Attempt*> AttemptsOfService(const std::string& daemon,
                                                              const std::string& service) const;
  // Returns the ids of accepted attempts that have a key and are not idempotent without it, by key, in the
  // order of acceptance.
  [[nodiscard]] const std::map<std::string, std::vector<std::string>>& accepted_by_key() const {
    return accepted_by_key_;
  }
  [[nodiscard]] const Attempt& attempt(const std::string& id) const { return attempts_.at(id); }
  [[nodiscard]] const NodeIncarnation* FindIncarnation(const std::string& node) const;
  [[nodiscard]] const DrainNotices& drain_notices() const { return drain_notices_; }
  [[nodiscard]] std::vector<Outage> OutagesOf(const std::string& daemon) const;
  [[nodiscard]] bool WasDeleted(const std::string& job) const { return deleted_.contains(job); }
  // Returns the line in which the client of the job logged that it received no answer, if there is one.
  [[nodiscard]] std::optional<std::size_t> ClientGaveUp(const std::string& job) const;
  // Returns the time of the event that ends the scenario, or 0 if there is none.
  [[nodiscard]] Micros end_time() const { return end_time_; }

 private:
  using AttemptIds = std::vector<std::string>;

  [[nodiscard]] std::vector<const Attempt*> AttemptsIn(const std::map<std::string, AttemptIds>& index,
                                                       const std::string& name) const;
  void Accept(Attempt* attempt, LogPosition position);
  void OnNodeStatus(const RequestEntry& request, const ReplyEntry& reply);
  void OnAttemptReply(Attempt* attempt, pbs_protocol::RequestType type, pbs_protocol::Code code,
                      LogPosition position);
  void AddDrainNotice(const std::string& daemon, const std::string& node, LogPosition position);
  void NoteIncarnationKnown(const std::string& daemon, const std::string& node, Micros started);
  void OnNodeKilled(const std::string& node, Micros now);
  void OnDaemonKilled(const std::string& daemon, Micros now);

  HeadEntry head_;
  Verdict* verdict_;
  std::map<ConnectionId, std::deque<RequestEntry>> pending_requests_;
  std::map<ConnectionId, RequestEntry> submissions_;  // the last submission on each connection
  std::map<std::string, Job> jobs_;
  std::set<std::string> deleted_;
  std::map<std::string, std::size_t> client_gave_up_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, AttemptIds> by_job_;
  std::map<std::string, AttemptIds> by_service_;
  std::map<std::string, AttemptIds> by_node_;
  std::map<std::string, AttemptIds> accepted_by_key_;
  std::map<ConnectionId, std::string> attempt_by_connection_;
  DrainNotices drain_notices_;
  std::map<std::string, std::set<std::string>> nodes_known_to_;  // by daemon
  std::map<std::string, NodeIncarnation> incarnations_;
  std::map<std::string, std::vector<Outage>> outages_;
  Micros end_time_ = 0;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_MESSAGE_LOG_MODEL_HPP_
