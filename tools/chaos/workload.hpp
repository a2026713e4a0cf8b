// The batch clients of a chaos test. Each job is submitted over its own connection, on which the client then
// waits for the answer. A submission with an idempotency key is retried at the next daemon if no reply
// arrives. The clients' observations are written to the message log.
#ifndef MOUNTFLOW_TOOLS_CHAOS_WORKLOAD_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_WORKLOAD_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "pbs_protocol/protocol.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/scenario.hpp"

namespace mountflow::chaos {

// Simulates all clients. The loop and the log must outlive the workload, and the loop must not run after the
// workload is destroyed.
class Workload : public event_loop::ConnectionHandler {
 public:
  // `daemons`: addresses of the proxies in front of the daemons. `hard_limits`: the longest time in
  // microseconds that a client waits for an answer, by queue.
  Workload(event_loop::EventLoop* loop, MessageLogWriter* log, std::vector<std::string> daemons,
           std::map<std::string, Micros> hard_limits, std::uint64_t seed);

  // Submits jobs at random times until `until`.
  void Start(const std::vector<WorkloadSpec>& specs, Micros until);
  void SetRateFactor(double factor) { rate_factor_ = factor; }
  // Stops this share of the running services and submits their jobs again within `within` microseconds.
  void RestartServices(double share, Micros within);
  // Cancels `count` jobs, chosen at random among those submitted from now on. Each is cancelled a random time
  // after its commit.
  void CancelJobs(int count) { jobs_to_cancel_ += count; }
  // Starts a submission and disconnects before its end.
  void AbortSubmission();
  // Sends an incomplete request and disconnects.
  void SendHalfFrame();
  [[nodiscard]] std::size_t open_jobs() const { return jobs_.size(); }
  [[nodiscard]] std::uint64_t submitted() const { return submitted_; }
  // Returns the number of jobs that ended with each answer, or with each event if there was no answer.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& answers() const { return answers_; }

  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  enum class Step : std::uint8_t { kSubmitting, kCommitting, kAwaitingAnswer };
  struct ClientJob {
    std::uint64_t number = 0;
    WorkloadSpec spec;
    std::size_t shape = 0;  // index of its resources
    std::string service;
    std::string key;  // empty: none
    std::string run_seconds;
    std::size_t daemon = 0;
    event_loop::ConnId connection = 0;  // 0: not connected, between two tries
    Step step = Step::kSubmitting;
    unsigned replies_to_come = 0;  // replies to the submission that are still missing
    std::string id;                // assigned by the daemon; empty: not known yet
    std::string input;
    Micros deadline = 0;
    Micros earlier_deadline = 0;  // deadline of an earlier try that may have been committed; 0: none
    unsigned tries = 0;
    bool cancel = false;  // cancel the job once its id is known
  };
  // A job that was answered as placed. RestartServices() may stop it and submit it again.
  struct RunningJob {
    std::string id;
    std::size_t daemon = 0;
    WorkloadSpec spec;
    std::string service;
    Micros until = 0;
  };
  void ScheduleArrival(std::size_t spec, Micros until);
  void Submit(const WorkloadSpec& spec, const std::string& service);
  void Try(ClientJob* job);
  [[nodiscard]] pbs_protocol::Request QueueRequest(const ClientJob& job) const;
  void RetryWithoutReply(const ClientJob& job);
  void GiveUpAfterDeadline(const ClientJob& job);
  void Connect(ClientJob* job);
  void SendStatusRequest(const ClientJob& job);
  void OnReply(ClientJob* job, const pbs_protocol::Reply& reply);
  void OnSubmissionReply(ClientJob* job, const pbs_protocol::Reply& reply);
  void OnAnswer(ClientJob* job, const pbs_protocol::Reply& reply);
  void AwaitAnswer(ClientJob* job);
  void Finish(std::uint64_t number, const char* event, const std::string& answer, const std::string& text);
  void Retry(ClientJob* job, const std::string& reason);
  void Delete(std::size_t daemon, const std::string& id);
  void Log(const ClientJob& job, const char* event, json fields = json::object());
  [[nodiscard]] Micros HardLimitOf(const std::string& queue) const;
  [[nodiscard]] Micros RandomReconnectDelay();

  event_loop::EventLoop* loop_;
  MessageLogWriter* log_;
  std::vector<std::string> daemons_;
  std::map<std::string, Micros> hard_limits_;
  std::mt19937_64 random_;
  std::vector<WorkloadSpec> specs_;
  double rate_factor_ = 1.0;
  std::uint64_t last_number_ = 0;
  std::uint64_t submitted_ = 0;
  std::map<std::uint64_t, ClientJob> jobs_;  // jobs without a final answer, by number
  std::map<event_loop::ConnId, std::uint64_t> job_of_connection_;
  std::vector<RunningJob> running_;
  std::map<std::string, std::uint64_t> answers_;
  int jobs_to_cancel_ = 0;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_WORKLOAD_HPP_
