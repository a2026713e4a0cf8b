// The requests that start an attempt on a node, and the interpretation of their replies.
#ifndef MOUNTFLOW_NODE_SESSIONS_ATTEMPT_EXCHANGE_HPP_
#define MOUNTFLOW_NODE_SESSIONS_ATTEMPT_EXCHANGE_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "job_manager/messages.hpp"
#include "node_sessions/session_context.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_sessions {

// The encoded requests of an attempt up to and including ReadyToCommit.
struct Submission {
  std::string bytes;
  unsigned requests = 0;  // number of requests in `bytes`; each gets one reply
};

// Returns the encoded submission of an attempt, or nothing if the job manager does not know the attempt.
[[nodiscard]] std::optional<Submission> EncodeSubmission(const SessionContext& context,
                                                         const job_manager::AttemptId& attempt);
// Returns the encoded Commit request of an attempt.
[[nodiscard]] std::string EncodeCommit(const SessionContext& context, const job_manager::AttemptId& attempt);

// The progress of the attempt on an attempt connection.
enum class AttemptStep : std::uint8_t { kIdle, kSubmitting, kReady, kCommitting };

// The state of one attempt connection, which serves one attempt at a time. A reply has these effects:
//
//   step          reply                          next step     message
//   kIdle         any                            (no reply is awaited)
//   kSubmitting   any but the last               kSubmitting   none
//   kSubmitting   last, no reply was an error    kReady        AttemptPrepared
//   kSubmitting   last, some reply was an error  kIdle         AttemptRejected, with the first error
//   kReady        any                            (no reply is awaited)
//   kCommitting   success                        kIdle         AttemptCommitted
//   kCommitting   error                          kIdle         AttemptRejected
class AttemptExchange {
 public:
  // Records that the submission of `attempt` was sent and that `replies` replies are awaited. The step must
  // be kIdle.
  void Begin(const job_manager::AttemptId& attempt, unsigned replies);
  // Records that the commit was sent. The step must be kReady.
  void BeginCommit() { step_ = AttemptStep::kCommitting; }

  // Reports whether the node still has to reply to a request.
  [[nodiscard]] bool AwaitsReply() const;
  // Handles a reply and returns the message for the job manager; nothing if further replies are awaited. Must
  // be called only if AwaitsReply().
  [[nodiscard]] std::optional<job_manager::NodeMessage> OnReply(pbs_protocol::Reply reply);

  [[nodiscard]] AttemptStep step() const { return step_; }
  [[nodiscard]] const job_manager::AttemptId& attempt() const { return attempt_; }

 private:
  AttemptStep step_ = AttemptStep::kIdle;
  job_manager::AttemptId attempt_;
  unsigned awaited_replies_ = 0;                    // remaining replies to the submission
  std::optional<pbs_protocol::Reply> first_error_;  // first error reply to the submission
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_ATTEMPT_EXCHANGE_HPP_
