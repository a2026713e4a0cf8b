#include "pbs_server/pbs_connection.hpp"

#include <utility>

#include "pbs_server/attribute_comparison.hpp"
#include "pbs_server/status_handlers.hpp"
#include "pbs_server/submission_handlers.hpp"

namespace mountflow::pbs_server {

using pbs_protocol::Code;
using pbs_protocol::RequestType;

PbsConnection::PbsConnection(const SharedServerState& shared, std::uint64_t id, Peer peer)
    : shared_(shared), id_(id), peer_(std::move(peer)) {}

void PbsConnection::Receive(Micros now, std::string_view bytes, Micros arrived_at) {
  if (closing_) return;
  input_.Append(bytes, arrived_at);
  ProcessInput(now);
}

bool PbsConnection::ProcessInput(Micros now) {
  bool handled_any = false;
  while (!closing_ && !IsBlocked()) {
    pbs_protocol::Request request;
    const pbs_protocol::DecodeResult decoded = input_.Next(&request);
    if (decoded.state == pbs_protocol::DisState::kMore) break;
    if (decoded.state == pbs_protocol::DisState::kBad) {
      HandleMalformedInput(now, decoded.error);
      break;
    }
    handled_any = true;
    Handle(now, std::move(request));
  }
  input_.Compact();
  return handled_any;
}

void PbsConnection::FinishWait(Micros now, std::uint64_t job) {
  Send(StatusOfJob(shared_.job_manager, job, shared_.options.vocabulary));
  ProcessInput(now);
}

bool PbsConnection::IsAwaitingAdmission(std::uint64_t ordinal) const {
  return awaiting_admission_ && queued_submissions_ == ordinal;
}

void PbsConnection::HandleAdmission(Micros now, const admission::AdmissionDecision& decision) {
  const pbs_protocol::Request request = *std::exchange(awaiting_admission_, std::nullopt);
  Send(decision.admitted() ? QueueJob(ContextOf(now, request), request) : AdmissionRejection(decision));
  ProcessInput(now);
}

bool PbsConnection::WantsRead() const {
  if (closing_ || HasTooMuchOutput()) return false;
  return !IsBlocked() || input_.unread_bytes() < kMaxInputWhileBlocked;
}

bool PbsConnection::IsBlocked() const {
  return shared_.waits.IsWaiting(id_) || awaiting_admission_ || HasTooMuchOutput();
}

bool PbsConnection::HasTooMuchOutput() const {
  return output_.size() > shared_.options.max_unread_reply_bytes;
}

bool PbsConnection::MayActFor(const std::string& user) const {
  if (peer_.user.empty() || peer_.user == user) return true;
  return shared_.options.managers.count(peer_.user) > 0;
}

void PbsConnection::Handle(Micros now, pbs_protocol::Request request) {
  const RequestContext context = ContextOf(now, request);
  if (request.type != RequestType::kJobObit && !MayActFor(context.user)) {
    shared_.request_errors.Add(now, "a user asked as another", peer_.address,
                               "user " + peer_.user + " asked as " + context.user);
    return Send(
        {MakeReply(Code::kPermission, "connection belongs to " + peer_.user + ", not to " + context.user)});
  }
  if (request.type == RequestType::kDisconnect) {
    closing_ = true;
    return;
  }
  if (request.type == RequestType::kQueueJob && shared_.admission_queue.enabled() && !submission_) {
    return AwaitAdmission(now, std::move(request));
  }
  if (const auto wait = RequestedWait(context, request)) return shared_.waits.Add(id_, *wait);
  Send(HandleRequest(context, request));
}

void PbsConnection::AwaitAdmission(Micros now, pbs_protocol::Request request) {
  QueuedSubmission submission;
  submission.connection = id_;
  submission.ordinal = queued_submissions_ + 1;
  submission.arrived_at = input_.ArrivalOfLastRequest(now);
  submission.deadline = ClientDeadline(request, submission.arrived_at, shared_.job_manager, shared_.options);
  const admission::AdmissionDecision decision =
      shared_.admission_queue.Enqueue(now, submission, shared_.job_manager.Count().queued);
  if (!decision.admitted()) return Send(AdmissionRejection(decision));
  queued_submissions_ = submission.ordinal;
  awaiting_admission_ = std::move(request);
}

void PbsConnection::HandleMalformedInput(Micros now, const pbs_protocol::DecodeError& error) {
  const std::string text = "expected " + pbs_protocol::Describe(error);
  const bool unknown_type = error.code == pbs_protocol::DecodeErrorCode::kUnknownRequestType;
  shared_.request_errors.Add(now, text, peer_.address, text);
  Send({MakeReply(unknown_type ? Code::kUnknownRequest : Code::kProtocol, text)});
  closing_ = true;
}

RequestContext PbsConnection::ContextOf(Micros now, const pbs_protocol::Request& request) {
  return {now,         shared_.job_manager,    shared_.options,     peer_,
          submission_, shared_.request_errors, UserOf(request.user)};
}

void PbsConnection::Send(const OutgoingReply& outgoing) {
  independent_of_job_state_ =
      outgoing.independent_of_job_state && (output_.empty() || independent_of_job_state_);
  pbs_protocol::Encode(outgoing.reply, &output_);
  std::vector<std::uint64_t>& with_output = shared_.connections_with_output;
  if (with_output.empty() || with_output.back() != id_) with_output.push_back(id_);
}

}  // namespace mountflow::pbs_server
