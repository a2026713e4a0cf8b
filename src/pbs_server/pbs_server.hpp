// PBS batch server on top of the job manager. It performs no I/O: the caller passes in received bytes, sends
// the output of each connection, and closes connections on request. A daemon has one PbsServer, which has one
// PbsConnection for each connection.
//
// Extension of the protocol: a StatusJob request may carry the extension "wait=answer" or "wait=end",
// optionally followed by ",seconds=N". The server replies when the job has its final answer ("answer") or is
// complete ("end"), or after N seconds, at most `max_wait`. Until then it handles no other request of that
// connection.
//
// With an admission controller, a new submission is queued when it is read, at most one for each connection.
// It starts when the caller calls AdmitQueuedSubmissions, after it has handled the other requests of the same
// event loop iteration. The reply to a rejected client may say when to submit again.
//
// Memory is bounded by the limits of submission_handlers.hpp and pbs_connection.hpp, and by the maximum size
// of one request in each input buffer. Not thread-safe.
#ifndef MOUNTFLOW_PBS_SERVER_PBS_SERVER_HPP_
#define MOUNTFLOW_PBS_SERVER_PBS_SERVER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/admission.hpp"
#include "job_manager/job_manager.hpp"
#include "pbs_server/admission_queue.hpp"
#include "pbs_server/final_answer_waits.hpp"
#include "pbs_server/pbs_server_options.hpp"
#include "pbs_server/request_error_log.hpp"

namespace mountflow::pbs_server {

class PbsConnection;

// Serves all batch connections of a daemon. Connection ids are chosen by the caller.
class PbsServer {
 public:
  using ConnectionId = std::uint64_t;

  // `job_manager` must outlive this object.
  PbsServer(job_manager::JobManager* job_manager, PbsServerOptions options);
  PbsServer(const PbsServer&) = delete;
  PbsServer& operator=(const PbsServer&) = delete;
  ~PbsServer();

  // Registers a new connection.
  void Open(ConnectionId id, Peer peer);
  // Handles received bytes and appends the replies to the connection's output. `arrived_at` is the earliest
  // time at which the bytes may have arrived.
  void Receive(Micros now, ConnectionId id, std::string_view bytes, Micros arrived_at);
  void Receive(Micros now, ConnectionId id, std::string_view bytes) { Receive(now, id, bytes, now); }
  // Removes a closed connection. A submission that was not committed creates no job.
  void Close(Micros now, ConnectionId id);

  // Reply to the requests that wait for this event. The caller must pass in every such output of the job
  // manager.
  void HandleJobAnswered(Micros now, const job_manager::JobAnswered& answered);
  void HandleJobCompleted(Micros now, const job_manager::JobCompleted& completed);
  // Replies to the waiting requests whose deadline has passed.
  void Tick(Micros now);
  // Returns when Tick or TakeWarnings is due next, or the largest value of Micros.
  [[nodiscard]] Micros NextTimer() const;

  // Returns the unsent output of a connection, or null if it is not open. The caller removes bytes from the
  // front as it sends them.
  [[nodiscard]] std::string* OutputOf(ConnectionId id);
  // Reports whether the caller should close the connection once its output is sent. True if it is not open.
  [[nodiscard]] bool WantsClose(ConnectionId id) const;
  // Reports whether the caller should read from the connection. False if it is closing or not open, if too
  // much output is unsent, or if the connection is blocked and enough input is buffered.
  [[nodiscard]] bool WantsRead(ConnectionId id) const;
  // Reports whether the unsent output is independent of state that the job manager stores: replies to
  // connects, to the steps of a submission before its commit, and rejections of admission. Such output may be
  // sent before pending writes are durable.
  [[nodiscard]] bool IsIndependentOfJobState(ConnectionId id) const;
  // Handles input that was blocked by unsent output. Call it after output was sent. Returns true if it
  // handled any request.
  bool Resume(Micros now, ConnectionId id);

  // Enables admission control. `admission` must outlive this object.
  void SetAdmission(admission::AdmissionController* admission) { admission_queue_.SetController(admission); }
  // Admits or rejects queued submissions, up to the number that may be admitted in one event loop iteration.
  // Returns true if it decided on any.
  bool AdmitQueuedSubmissions(Micros now);
  // Returns the length of the admission queue.
  [[nodiscard]] std::size_t awaiting_admission() const { return admission_queue_.size(); }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  // Returns the open connections that got new output since the last call, in ascending order of their ids.
  [[nodiscard]] std::vector<ConnectionId> TakeConnectionsWithOutput();
  // Removes and returns the log lines about invalid requests that are due, coalesced by kind and second.
  [[nodiscard]] std::vector<std::string> TakeWarnings(Micros now);

 private:
  [[nodiscard]] PbsConnection* Find(ConnectionId id) const;
  void FinishWaits(Micros now, const std::vector<ConnectionId>& ids, std::uint64_t job);

  job_manager::JobManager* job_manager_;
  PbsServerOptions options_;
  RequestErrorLog request_errors_;
  FinalAnswerWaits waits_;
  AdmissionQueue admission_queue_;
  std::vector<ConnectionId> connections_with_output_;  // may contain duplicates and closed connections
  // Declared last because the connections refer to the members above.
  std::unordered_map<ConnectionId, std::unique_ptr<PbsConnection>> connections_;
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_PBS_SERVER_HPP_
