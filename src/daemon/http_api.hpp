// The HTTP interface of the daemon: the same jobs, decisions and rules as the PBS server's, as JSON.
// Sans-I/O: one parsed request in, one response out.
//
//   GET    /v1/status              counts, names and the state of the node list
//   GET    /v1/nodes               the node list
//   GET    /v1/use                 with billing: the ledger's periods
//   GET    /v1/use/PERIOD          with billing: the statement of a period; ?restated=true: with what later
//   postings
//                                  say of it
//   GET    /v1/jobs                ?state=QR&queue=..&from=ID&limit=100&history=true, in the order of ids
//   GET    /v1/jobs/ID
//   POST   /v1/jobs                {"script": "...", "queue": "...", "name": "...", "ncpus": 1, "mem": "1gb",
//   ...} DELETE /v1/jobs/ID POST   /v1/jobs/ID/hold, /v1/jobs/ID/release, /v1/jobs/ID/rerun
//
// Errors are problems (RFC 9457), with Retry-After where admission control turned a submission away.
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

struct HttpResponse {
  std::string bytes;  // the whole reply
  // The reply must not be sent before the changes that the request made are durable. False: it turned a
  // submission away, and need not wait.
  bool reports_stored_state = true;
};

// Not thread-safe: used by the event loop's thread alone. The pointers must outlive it.
class HttpApi {
 public:
  // `node_list`: whose state /v1/status shows.
  HttpApi(job_manager::JobManager* job_manager, const pbs_server::PbsServerOptions* options,
          const discovery::RegistryClient* node_list)
      : job_manager_(job_manager), options_(options), node_list_(node_list) {}
  // Without a controller every submission is admitted.
  void SetAdmission(admission::AdmissionController* admission) { admission_ = admission; }
  // Without a book there is no /v1/use.
  void SetBook(const ledger::Book* book) { book_ = book; }

  // `arrived`: the earliest time at which the request's bytes did.
  [[nodiscard]] HttpResponse Handle(Micros now, const http::Message& request, const pbs_server::Peer& peer,
                                    Micros arrived) const;

 private:
  struct Request {
    Micros now = 0;
    Micros arrived = 0;
    const http::Message& message;
    const std::string& user;  // empty: not known
    std::string parameter;    // of the path
  };
  struct Route {
    std::string_view method;  // empty: any
    std::string_view pattern;
    bool needs_user;
    JsonResult (HttpApi::*handler)(const Request& request) const;
  };
  static const Route kRoutes[];  // the first that matches counts

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

  // Why admission control turns the job away, if it does.
  [[nodiscard]] std::optional<HttpProblem> CheckAdmission(const Request& request,
                                                          const job_manager::JobSpec& spec) const;
  // The user whose jobs a command may change; empty: a manager, who may change all.
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
