// The exchange of requests and replies that starts one attempt at a node.
#ifndef MOUNTFLOW_NODE_SESSIONS_ATTEMPT_EXCHANGE_HPP_
#define MOUNTFLOW_NODE_SESSIONS_ATTEMPT_EXCHANGE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "job_manager/messages.hpp"
#include "node_sessions/session_context.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_sessions {

// The requests of an attempt up to and including ReadyToCommit.
struct Submission {
  std::string bytes;
  unsigned requests = 0;  // each gets one reply
};

// Nothing when the job manager does not know the attempt (any more).
[[nodiscard]] std::optional<Submission> EncodeSubmission(const SessionContext& context,
                                                         const job_manager::AttemptId& attempt);
[[nodiscard]] std::string EncodeCommit(const SessionContext& context, const job_manager::AttemptId& attempt);

enum class AttemptStep : std::uint8_t { kIdle, kSubmitting, kReady, kCommitting };

// The state of one attempt connection, which serves one attempt after the other. What a reply means:
//
//   step          reply                                  next step     message
//   kIdle         any                                    (not awaited)
//   kSubmitting   any but the last                       kSubmitting   none
//   kSubmitting   the last, all without error            kReady        Ready
//   kSubmitting   the last, some with an error           kIdle         Refused, with the first error
//   kReady        any                                    (not awaited)
//   kCommitting   without error                          kIdle         Committed
//   kCommitting   an error                               kIdle         Refused
class AttemptExchange {
 public:
  // Only in kIdle: the submission was sent, and `replies` are awaited.
  void Begin(const job_manager::AttemptId& attempt, unsigned replies);
  // The commit was sent.
  void BeginCommit() { step_ = AttemptStep::kCommitting; }

  [[nodiscard]] bool AwaitsReply() const;
  // Only when a reply is awaited. Nothing when further ones are needed.
  [[nodiscard]] std::optional<job_manager::NodeMessage> OnReply(pbs_protocol::Reply reply);

  [[nodiscard]] AttemptStep step() const { return step_; }
  [[nodiscard]] const job_manager::AttemptId& attempt() const { return attempt_; }

 private:
  AttemptStep step_ = AttemptStep::kIdle;
  job_manager::AttemptId attempt_;
  unsigned awaited_replies_ = 0;                    // of the submission
  std::optional<pbs_protocol::Reply> first_error_;  // of the submission
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_ATTEMPT_EXCHANGE_HPP_
