#include "daemon/http_api.hpp"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/http_submission.hpp"
#include "daemon/path_pattern.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/attribute_mapping.hpp"
#include "pbs_server/attribute_values.hpp"

namespace mountflow::daemon {
namespace {

using nlohmann::json;

constexpr std::uint64_t kDefaultPageSize = 100;  // jobs per reply
constexpr std::uint64_t kMaxPageSize = 1000;
constexpr char kUserHold[] = "u";  // the user hold type of the batch protocol

tl::unexpected<HttpProblem> Fail(HttpStatus status, std::string detail) {
  return tl::unexpected(HttpProblem{status, std::move(detail)});
}

tl::unexpected<HttpProblem> FailUnknownPath() { return Fail(HttpStatus::kNotFound, "no such path"); }

json NodeListStatusToJson(const discovery::NodeListStatus& status) {
  return {{"known", status.known},
          {"current", status.current},
          {"endpoint", status.endpoint},
          {"revision", status.revision},
          {"age_us", status.age},
          {"nodes", status.nodes},
          {"rereads", status.rereads},
          {"breaks", status.breaks},
          {"compactions", status.compactions},
          {"new_histories", status.new_histories},
          {"skipped", status.skipped},
          {"emptied", status.emptied}};
}

json JobCountsToJson(const job_manager::Counts& counts) {
  return {{"queued", counts.queued},   {"held", counts.held},       {"waiting", counts.waiting},
          {"running", counts.running}, {"exiting", counts.exiting}, {"complete", counts.complete}};
}

json NodeToJson(NodeId id, const job_manager::ListedNode& node) {
  return {{"name", node.name},
          {"machine", id},
          {"address", node.address},
          {"rack", node.rack},
          {"room", node.room},
          {"kind", node.kind},
          {"started_us", node.started},
          {"state", node.state == NodeState::kDraining ? "draining" : "ready"},
          {"free_cores", node.free_cores},
          {"free_memory", node.free_memory}};
}

json StatementLineToJson(const ledger::StatementLine& line) {
  return {{"tenant", line.tenant},
          {"class", line.task_class},
          {"kind", line.kind},
          {"core_hour", line.core_hour_price},
          {"gib_hour", line.gib_hour_price},
          {"postings", line.totals.postings},
          // Encoded as strings because they may exceed the range of JSON numbers.
          {"millicore_us", ledger::ToText(line.totals.millicore_us)},
          {"mebibyte_us", ledger::ToText(line.totals.mebibyte_us)},
          {"money", ledger::ToText(line.money)}};
}

// Selects the jobs that a list contains.
struct JobFilter {
  std::string states;  // letters of job states; empty: all states
  std::string queue;   // empty: all queues
  bool with_complete = false;

  [[nodiscard]] bool Matches(const job_manager::Job& job) const {
    if (!with_complete && job.state == job_manager::JobState::kComplete) return false;
    if (!states.empty() && states.find(static_cast<char>(job.state)) == std::string::npos) return false;
    return queue.empty() || job.spec->queue == queue;
  }
};

JobFilter FilterOf(const http::Message& message) {
  JobFilter filter;
  filter.states = message.Query("state");
  filter.queue = message.Query("queue");
  const char complete = static_cast<char>(job_manager::JobState::kComplete);
  filter.with_complete =
      message.Query("history") == "true" || filter.states.find(complete) != std::string::npos;
  return filter;
}

}  // namespace

const HttpApi::Route HttpApi::kRoutes[] = {
    {"GET", "/v1/status", false, &HttpApi::ShowStatus},
    {"GET", "/v1/use", false, &HttpApi::ListPeriods},
    {"GET", "/v1/use{rest...}", false, &HttpApi::ShowStatement},
    {"GET", "/v1/nodes", false, &HttpApi::ListNodes},
    {"GET", "/v1/jobs", false, &HttpApi::ListJobs},
    {"POST", "/v1/jobs", true, &HttpApi::SubmitJob},
    {"GET", "/v1/jobs/{rest...}", false, &HttpApi::ShowJob},
    {"DELETE", "/v1/jobs/{id}", true, &HttpApi::DeleteJob},
    {"DELETE", "/v1/jobs/{id}/", true, &HttpApi::DeleteJob},
    {"POST", "/v1/jobs/{id}/hold", true, &HttpApi::HoldJob},
    {"POST", "/v1/jobs/{id}/release", true, &HttpApi::ReleaseJob},
    {"POST", "/v1/jobs/{id}/rerun", true, &HttpApi::RerunJob},
    {"", "/v1/jobs/{rest...}", true, &HttpApi::RejectMethod},
};

HttpResponse HttpApi::Handle(Micros now, const http::Message& request, const pbs_server::Peer& peer,
                             Micros arrived) const {
  const JsonResult result = Answer(now, request, peer.user, arrived);
  if (result) return {WriteJson(request, *result), true};
  return {WriteProblem(request, result.error()), !result.error().stored_nothing};
}

JsonResult HttpApi::Answer(Micros now, const http::Message& message, const std::string& user,
                           Micros arrived) const {
  for (const Route& route : kRoutes) {
    if (!route.method.empty() && route.method != message.method) continue;
    std::optional<std::string> parameter = MatchPath(route.pattern, message.path);
    if (!parameter) continue;
    if (route.needs_user && user.empty()) {
      return Fail(HttpStatus::kForbidden, "who you are cannot be told from this connection");
    }
    return (this->*route.handler)({now, arrived, message, user, std::move(*parameter)});
  }
  return FailUnknownPath();
}

// ---- Status, nodes, ledger ----

JsonResult HttpApi::ShowStatus(const Request& request) const {
  return JsonReply{HttpStatus::kOk,
                   {{"server", job_manager_->options().server},
                    {"jobs", JobCountsToJson(job_manager_->Count())},
                    {"unsettled_attempts", job_manager_->stopping_attempts()},
                    {"list", NodeListStatusToJson(node_list_->Status(request.now))},
                    {"time_us", request.now}}};
}

JsonResult HttpApi::ListNodes(const Request& /*request*/) const {
  json nodes = json::array();
  job_manager_->ForEachNode(
      [&nodes](NodeId id, const job_manager::ListedNode& node) { nodes.push_back(NodeToJson(id, node)); });
  return JsonReply{HttpStatus::kOk, std::move(nodes)};
}

JsonResult HttpApi::ListPeriods(const Request& /*request*/) const {
  if (book_ == nullptr) return FailUnknownPath();
  json periods = json::array();
  for (const std::string& name : book_->Periods()) {
    periods.push_back({{"period", name}, {"closed", book_->IsClosed(name)}});
  }
  return JsonReply{HttpStatus::kOk, {{"postings", book_->last_sequence()}, {"periods", std::move(periods)}}};
}

JsonResult HttpApi::ShowStatement(const Request& request) const {
  if (book_ == nullptr) return FailUnknownPath();
  // The parameter is not empty because an earlier route matches "/v1/use".
  const std::string period = request.parameter.substr(1);
  const bool restated = request.message.Query("restated") == "true";
  const ledger::StatementKind kind =
      restated ? ledger::StatementKind::kRestated : ledger::StatementKind::kAsPosted;
  json lines = json::array();
  for (const ledger::StatementLine& line : book_->Statement(period, kind)) {
    lines.push_back(StatementLineToJson(line));
  }
  return JsonReply{HttpStatus::kOk, std::move(lines)};
}

// ---- Reading jobs ----

json HttpApi::JobToJson(const job_manager::Job& job) const {
  json shown = {{"id", job_manager_->JobId(job.number)}};
  for (const pbs_protocol::Attribute& attribute :
       pbs_server::EncodeForStatus(*job_manager_, job, options_->vocabulary)) {
    if (attribute.resource.empty()) {
      shown[attribute.name] = attribute.value;
    } else {
      shown[attribute.name][attribute.resource] = attribute.value;
    }
  }
  return shown;
}

JsonResult HttpApi::ListJobs(const Request& request) const {
  const http::Message& message = request.message;
  std::uint64_t limit = kDefaultPageSize;
  if (message.query.count("limit") > 0) {
    limit = pbs_server::ParseCount(message.Query("limit")).value_or(0);
    if (limit == 0 || limit > kMaxPageSize) {
      return Fail(HttpStatus::kBadRequest, "limit: expected 1 to " + std::to_string(kMaxPageSize));
    }
  }
  std::uint64_t from = 0;
  if (message.query.count("from") > 0) {
    from = job_manager_->ParseJobId(message.Query("from"));
    if (from == 0) return Fail(HttpStatus::kBadRequest, "from: expected a job id");
  }
  const JobFilter filter = FilterOf(message);
  json jobs = json::array();
  std::string next_id;
  job_manager_->ForEach(from, [&](const job_manager::Job& job) {
    if (!filter.Matches(job)) return true;
    if (jobs.size() == limit) {
      next_id = job_manager_->JobId(job.number);
      return false;
    }
    jobs.push_back(JobToJson(job));
    return true;
  });
  json body = {{"jobs", std::move(jobs)}};
  if (!next_id.empty()) body["next"] = next_id;
  return JsonReply{HttpStatus::kOk, std::move(body)};
}

JsonResult HttpApi::ShowJob(const Request& request) const {
  const job_manager::Job* job = job_manager_->Find(job_manager_->ParseJobId(request.parameter));
  if (job == nullptr) return Fail(HttpStatus::kNotFound, "no job " + request.parameter);
  return JsonReply{HttpStatus::kOk, JobToJson(*job)};
}

// ---- Submitting ----

JsonResult HttpApi::SubmitJob(const Request& request) const {
  auto spec = ReadSubmission(request.message.body, request.user, *options_);
  if (!spec) return tl::unexpected(std::move(spec.error()));
  std::optional<HttpProblem> rejection = CheckAdmission(request, *spec);
  if (rejection) return tl::unexpected(std::move(*rejection));
  const std::uint64_t number = job_manager_->NewJobNumber();
  const job_manager::SubmitResult submitted = job_manager_->Submit(request.now, number, std::move(*spec));
  switch (submitted.command_result) {
    case job_manager::CommandResult::kOk:
      return JsonReply{HttpStatus::kCreated, JobToJson(*job_manager_->Find(submitted.job))};
    case job_manager::CommandResult::kExists:
      return JsonReply{HttpStatus::kOk, JobToJson(*job_manager_->Find(submitted.job))};
    default:
      break;
  }
  HttpProblem problem;
  problem.status = HttpStatusOf(submitted.command_result);
  problem.detail = submitted.reason;
  problem.stored_nothing = submitted.command_result == job_manager::CommandResult::kFull ||
                           submitted.command_result == job_manager::CommandResult::kStopping;
  return tl::unexpected(std::move(problem));
}

std::optional<HttpProblem> HttpApi::CheckAdmission(const Request& request,
                                                   const job_manager::JobSpec& spec) const {
  if (admission_ == nullptr) return std::nullopt;
  const Micros wait =
      spec.client_wait != 0 ? spec.client_wait : job_manager_->options().hard_limits[spec.task_class];
  admission::SubmissionState submission;
  submission.now = request.now;
  submission.arrived_at = request.arrived;
  submission.deadline = request.arrived + wait;
  if (spec.client_deadline != 0) submission.deadline = std::min(submission.deadline, spec.client_deadline);
  submission.unanswered_jobs = job_manager_->Count().queued;
  const admission::AdmissionDecision decision = admission_->Decide(submission);
  if (decision.admitted()) return std::nullopt;
  HttpProblem problem;
  problem.status = HttpStatus::kServiceUnavailable;
  problem.detail = std::string(admission::Describe(decision.result));
  problem.retry_after = decision.retry_after;
  problem.stored_nothing = true;
  return problem;
}

// ---- Commands on jobs ----

std::string HttpApi::ActingUser(const Request& request) const {
  return options_->managers.count(request.user) > 0 ? "" : request.user;
}

JsonResult HttpApi::AnswerCommand(job_manager::CommandResult command_result, std::uint64_t job) const {
  if (command_result != job_manager::CommandResult::kOk) {
    return Fail(HttpStatusOf(command_result),
                pbs_protocol::Describe(pbs_server::ReplyCodeOf(command_result)));
  }
  return JsonReply{HttpStatus::kOk, JobToJson(*job_manager_->Find(job))};
}

JsonResult HttpApi::DeleteJob(const Request& request) const {
  const std::uint64_t job = job_manager_->ParseJobId(request.parameter);
  return AnswerCommand(job_manager_->Delete(request.now, job, ActingUser(request)), job);
}

JsonResult HttpApi::HoldJob(const Request& request) const {
  const std::uint64_t job = job_manager_->ParseJobId(request.parameter);
  return AnswerCommand(job_manager_->Hold(request.now, job, ActingUser(request), kUserHold), job);
}

JsonResult HttpApi::ReleaseJob(const Request& request) const {
  const std::uint64_t job = job_manager_->ParseJobId(request.parameter);
  return AnswerCommand(job_manager_->Release(request.now, job, ActingUser(request), kUserHold), job);
}

JsonResult HttpApi::RerunJob(const Request& request) const {
  const std::uint64_t job = job_manager_->ParseJobId(request.parameter);
  return AnswerCommand(job_manager_->Rerun(request.now, job, ActingUser(request)), job);
}

JsonResult HttpApi::RejectMethod(const Request& /*request*/) const {
  return Fail(HttpStatus::kMethodNotAllowed, "expected DELETE, or POST of hold, release or rerun");
}

}  // namespace mountflow::daemon
