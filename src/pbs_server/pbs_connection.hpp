// One connection of the PBS server, with its input, its output and its submission in progress.
#ifndef MOUNTFLOW_PBS_SERVER_PBS_CONNECTION_HPP_
#define MOUNTFLOW_PBS_SERVER_PBS_CONNECTION_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pbs_server/admission_queue.hpp"
#include "pbs_server/final_answer_waits.hpp"
#include "pbs_server/input_buffer.hpp"
#include "pbs_server/request_handler.hpp"

namespace mountflow::pbs_server {

// State that all connections of one server share. It must outlive them.
struct SharedServerState {
  job_manager::JobManager& job_manager;
  const PbsServerOptions& options;
  RequestErrorLog& request_errors;
  FinalAnswerWaits& waits;
  AdmissionQueue& admission_queue;
  // Connections with new output. May contain duplicates and connections that have been closed.
  std::vector<std::uint64_t>& connections_with_output;
};

// Handles the requests of one connection in order. A request is handled after the reply to the previous one
// has been appended to `output()`. No request is handled while a status request waits for its job, a
// submission waits for admission, or more than `max_unread_reply_bytes` of output are unsent.
class PbsConnection {
 public:
  PbsConnection(const SharedServerState& shared, std::uint64_t id, Peer peer);

  // Buffers received bytes and handles the requests that are complete. Ignores bytes once the connection is
  // closing.
  void Receive(Micros now, std::string_view bytes, Micros arrived_at);
  // Handles buffered requests until none is complete or the connection is blocked. Returns true if it handled
  // any.
  bool ProcessInput(Micros now);
  // Replies with the current status of the job and handles the requests that follow. The caller must have
  // removed the connection's wait.
  void FinishWait(Micros now, std::uint64_t job);
  // Reports whether the queued submission with this ordinal still waits for admission.
  [[nodiscard]] bool IsAwaitingAdmission(std::uint64_t ordinal) const;
  // Handles the decision on the submission that waits for admission, then the requests that follow it.
  void HandleAdmission(Micros now, const admission::AdmissionDecision& decision);

  // Encoded replies that are not sent yet. The caller removes bytes from the front as it sends them.
  [[nodiscard]] std::string& output() { return output_; }
  [[nodiscard]] bool wants_close() const { return closing_; }
  [[nodiscard]] bool WantsRead() const;
  [[nodiscard]] bool independent_of_job_state() const { return independent_of_job_state_; }

 private:
  // Limit of buffered input, in bytes, while the connection is blocked by a wait or an admission. Some input
  // is still read, because only reading detects that the peer has closed the connection.
  static constexpr std::size_t kMaxInputWhileBlocked = 64 << 10;

  [[nodiscard]] bool IsBlocked() const;
  [[nodiscard]] bool HasTooMuchOutput() const;
  [[nodiscard]] bool MayActFor(const std::string& user) const;
  void Handle(Micros now, pbs_protocol::Request request);
  void AwaitAdmission(Micros now, pbs_protocol::Request request);
  void HandleMalformedInput(Micros now, const pbs_protocol::DecodeError& error);
  [[nodiscard]] RequestContext ContextOf(Micros now, const pbs_protocol::Request& request);
  void Send(const OutgoingReply& outgoing);

  SharedServerState shared_;
  std::uint64_t id_;
  Peer peer_;
  InputBuffer input_;
  std::string output_;
  bool independent_of_job_state_ = true;  // whether all unsent output is independent of stored job state
  bool closing_ = false;
  std::optional<PendingSubmission> submission_;
  std::optional<pbs_protocol::Request> awaiting_admission_;
  std::uint64_t queued_submissions_ = 0;  // number of submissions queued for admission so far
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_PBS_CONNECTION_HPP_
