#include "pbs_server/pbs_server.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "pbs_server/pbs_connection.hpp"

namespace mountflow::pbs_server {

PbsServer::PbsServer(job_manager::JobManager* job_manager, PbsServerOptions options)
    : job_manager_(job_manager), options_(std::move(options)) {}

PbsServer::~PbsServer() = default;

void PbsServer::Open(ConnectionId id, Peer peer) {
  const SharedServerState shared{*job_manager_, options_,         request_errors_,
                                 waits_,        admission_queue_, connections_with_output_};
  connections_[id] = std::make_unique<PbsConnection>(shared, id, std::move(peer));
}

void PbsServer::Receive(Micros now, ConnectionId id, std::string_view bytes, Micros arrived_at) {
  if (PbsConnection* connection = Find(id)) connection->Receive(now, bytes, arrived_at);
}

void PbsServer::Close(Micros, ConnectionId id) {
  waits_.Remove(id);
  connections_.erase(id);
}

void PbsServer::HandleJobAnswered(Micros now, const job_manager::JobAnswered& answered) {
  FinishWaits(now, waits_.TakeAnswered(answered.job), answered.job);
}

void PbsServer::HandleJobCompleted(Micros now, const job_manager::JobCompleted& completed) {
  FinishWaits(now, waits_.TakeCompleted(completed.job), completed.job);
}

void PbsServer::FinishWaits(Micros now, const std::vector<ConnectionId>& ids, std::uint64_t job) {
  for (const ConnectionId id : ids) {
    if (PbsConnection* connection = Find(id)) connection->FinishWait(now, job);
  }
}

void PbsServer::Tick(Micros now) {
  // Waits are taken one at a time, because a request that follows in the input may start another wait that
  // expires at once.
  while (const std::optional<FinalAnswerWaits::Expired> expired = waits_.TakeExpired(now)) {
    FinishWaits(now, {expired->connection}, expired->job);
  }
}

Micros PbsServer::NextTimer() const { return std::min(request_errors_.NextTimer(), waits_.NextDeadline()); }

std::string* PbsServer::OutputOf(ConnectionId id) {
  PbsConnection* connection = Find(id);
  return connection == nullptr ? nullptr : &connection->output();
}

bool PbsServer::WantsClose(ConnectionId id) const {
  const PbsConnection* connection = Find(id);
  return connection == nullptr || connection->wants_close();
}

bool PbsServer::WantsRead(ConnectionId id) const {
  const PbsConnection* connection = Find(id);
  return connection != nullptr && connection->WantsRead();
}

bool PbsServer::IsIndependentOfJobState(ConnectionId id) const {
  const PbsConnection* connection = Find(id);
  return connection == nullptr || connection->independent_of_job_state();
}

bool PbsServer::Resume(Micros now, ConnectionId id) {
  PbsConnection* connection = Find(id);
  return connection != nullptr && connection->ProcessInput(now);
}

bool PbsServer::AdmitQueuedSubmissions(Micros now) {
  if (!admission_queue_.enabled()) return false;
  bool decided_any = false;
  std::size_t admitted = 0;
  const std::size_t max_admitted = admission_queue_.MaxAdmissionsPerIteration();
  while (admitted < max_admitted) {
    const std::optional<QueuedSubmission> submission = admission_queue_.TakeFirst();
    if (!submission) break;
    PbsConnection* connection = Find(submission->connection);
    if (connection == nullptr || !connection->IsAwaitingAdmission(submission->ordinal)) continue;
    decided_any = true;
    const admission::AdmissionDecision decision =
        admission_queue_.Decide(now, *submission, job_manager_->Count().queued);
    if (decision.admitted()) ++admitted;
    connection->HandleAdmission(now, decision);
  }
  return decided_any;
}

std::vector<PbsServer::ConnectionId> PbsServer::TakeConnectionsWithOutput() {
  std::vector<ConnectionId> ids = std::exchange(connections_with_output_, {});
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  std::erase_if(ids, [this](ConnectionId id) { return Find(id) == nullptr; });
  return ids;
}

std::vector<std::string> PbsServer::TakeWarnings(Micros now) { return request_errors_.Take(now); }

PbsConnection* PbsServer::Find(ConnectionId id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

}  // namespace mountflow::pbs_server
