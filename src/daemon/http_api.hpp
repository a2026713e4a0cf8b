// The HTTP API of the daemon: the jobs, commands and rules of the PBS server, with JSON bodies. It performs
// no I/O: the input is one parsed request, the output one response.
//
//   GET    /v1/status              job counts, server name and the state of the node list
//   GET    /v1/nodes               the node list
//   GET    /v1/use                 the periods of the ledger (only with billing)
//   GET    /v1/use/PERIOD          the statement of a period (only with billing);
//                                  ?restated=true: of the use in this period, whenever posted
//   GET    /v1/jobs                jobs in the order of their ids;
//                                  ?state=QR&queue=..&from=ID&limit=100&history=true
//   GET    /v1/jobs/ID             one job
//   POST   /v1/jobs                submits {"script": "...", "queue": "...", "name": "...", "ncpus": 1,
//                                  "mem": "1gb", ...}
//   DELETE /v1/jobs/ID             deletes a job
//   POST   /v1/jobs/ID/hold        holds a job
//   POST   /v1/jobs/ID/release     releases a held job
//   POST   /v1/jobs/ID/rerun       reruns a job
//
// Errors are reported as problem details (RFC 9457), with Retry-After if admission control rejected a
// submission.
#ifndef MOUNTFLOW_DAEMON_HTTP_API_HPP_
#define MOUNTFLOW_DAEMON_HTTP_API_HPP_

#include <optional>
#include <string>
#include <string_view>

#include "admission/admission.hpp"
#include "daemon/http_problem.hpp"
#include "discovery/client.hpp"
#include "http/message.hpp"
#include "job_manager/job_manager.hpp"
#include "ledger/book.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

// The reply to one request.
struct HttpResponse {
  std::string bytes;  // the whole reply
  // True if the reply must not be sent before the changes made by the request are durable. False if the
  // request was a rejected submission: its reply need not wait.
  bool reports_stored_state = true;
};

// Handles the requests of the HTTP API. Not thread-safe: may be used by the event loop's thread only. All
// pointers must outlive this object.
class HttpApi {
 public:
  // `node_list` is the registry client whose state /v1/status shows.
  HttpApi(job_manager::JobManager* job_manager, const pbs_server::PbsServerOptions* options,
          const discovery::RegistryClient* node_list)
      : job_manager_(job_manager), options_(options), node_list_(node_list) {}
  // Sets the admission controller. Without one, every submission is admitted.
  void SetAdmission(admission::AdmissionController* admission) { admission_ = admission; }
  // Sets the ledger that /v1/use shows. Without one, the path does not exist.
  void SetBook(const ledger::Book* book) { book_ = book; }

  // Returns the response to a request. `arrived` is the earliest time at which its bytes may have arrived;
  // all times are in microseconds.
  [[nodiscard]] HttpResponse Handle(Micros now, const http::Message& request, const pbs_server::Peer& peer,
                                    Micros arrived) const;

 private:
  struct Request {
    Micros now = 0;
    Micros arrived = 0;
    const http::Message& message;
    const std::string& user;  // empty if unknown
    std::string parameter;    // parameter in the path
  };
  struct Route {
    std::string_view method;  // empty: any method
    std::string_view pattern;
    bool needs_user;
    JsonResult (HttpApi::*handler)(const Request& request) const;
  };
  static const Route kRoutes[];  // the first matching route is used

  [[nodiscard]] JsonResult Answer(Micros now, const http::Message& message, const std::string& user,
                                  Micros arrived) const;

  [[nodiscard]] JsonResult ShowStatus(const Request& request) const;
  [[nodiscard]] JsonResult ListNodes(const Request& request) const;
  [[nodiscard]] JsonResult ListPeriods(const Request& request) const;
  [[nodiscard]] JsonResult ShowStatement(const Request& request) const;
  [[nodiscard]] JsonResult ListJobs(const Request& request) const;
  [[nodiscard]] JsonResult ShowJob(const Request& request) const;
  [[nodiscard]] JsonResult SubmitJob(const Request& request) const;
  [[nodiscard]] JsonResult DeleteJob(const Request& request) const;
  [[nodiscard]] JsonResult HoldJob(const Request& request) const;
  [[nodiscard]] JsonResult ReleaseJob(const Request& request) const;
  [[nodiscard]] JsonResult RerunJob(const Request& request) const;
  [[nodiscard]] JsonResult RejectMethod(const Request& request) const;

  // Returns the reason why admission control rejects the job; nullopt if it admits it.
  [[nodiscard]] std::optional<HttpProblem> CheckAdmission(const Request& request,
                                                          const job_manager::JobSpec& spec) const;
  // Returns the user whose jobs the request may change; empty for a manager, who may change all jobs.
  [[nodiscard]] std::string ActingUser(const Request& request) const;
  [[nodiscard]] JsonResult AnswerCommand(job_manager::CommandResult command_result, std::uint64_t job) const;
  [[nodiscard]] nlohmann::json JobToJson(const job_manager::Job& job) const;

  job_manager::JobManager* job_manager_;
  const pbs_server::PbsServerOptions* options_;
  const discovery::RegistryClient* node_list_;
  const ledger::Book* book_ = nullptr;
  admission::AdmissionController* admission_ = nullptr;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HTTP_API_HPP_
