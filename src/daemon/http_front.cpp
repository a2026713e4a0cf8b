#include "daemon/http_front.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mountflow::daemon {
namespace {

using nlohmann::json;
constexpr std::uint64_t kMostPage = 1000;
const std::string kJobs = "/v1/jobs";

std::string Reply(const http::Message& request, int status, const json& body) {
  return http::WriteReply(status, {{"Content-Type", "application/json"}},
                          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
                          request.keep_alive);
}

std::string Problem(const http::Message& request, int status, const std::string& detail, Micros wait = 0) {
  const json body = {{"title", http::Phrase(status)}, {"status", status}, {"detail", detail}};
  std::vector<std::pair<std::string, std::string>> headers = {{"Content-Type", "application/problem+json"}};
  if (wait != 0) headers.emplace_back("Retry-After", std::to_string((wait + 999'999) / 1'000'000));
  return http::WriteReply(status, headers, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
                          request.keep_alive);
}

int StatusOf(job_manager::CommandResult verdict) {
  switch (verdict) {
    case job_manager::CommandResult::kOk:
      return 200;
    case job_manager::CommandResult::kUnknownJob:
      return 404;
    case job_manager::CommandResult::kPermission:
      return 403;
    case job_manager::CommandResult::kBadState:
    case job_manager::CommandResult::kNotRunning:
    case job_manager::CommandResult::kExists:
      return 409;
    case job_manager::CommandResult::kBadValue:
      return 400;
    case job_manager::CommandResult::kFull:
    case job_manager::CommandResult::kStopping:
      return 503;
  }
  return 500;
}

json Show(const job_manager::JobManager& core, const job_manager::Job& job,
          const pbs_server::Vocabulary& words) {
  json j = {{"id", core.JobId(job.number)}};
  for (const pbs_protocol::Attribute& a : pbs_server::ForStatus(core, job, words)) {
    if (a.resource.empty()) {
      j[a.name] = a.value;
    } else {
      j[a.name][a.resource] = a.value;
    }
  }
  return j;
}

}  // namespace

std::string HttpFront::Handle(Micros now, const http::Message& r, const pbs_server::Peer& peer,
                              Micros arrived) {
  const std::string user = peer.user;
  said_nothing_kept_ = false;
  if (r.path == "/v1/status" && r.method == "GET") {
    const job_manager::Counts c = core_->Count();
    const discovery::ViewStatus v = list_->Status(now);
    return Reply(r, 200,
                 {{"server", core_->options().server},
                  {"jobs",
                   {{"queued", c.queued},
                    {"held", c.held},
                    {"waiting", c.waiting},
                    {"running", c.running},
                    {"exiting", c.exiting},
                    {"complete", c.complete}}},
                  {"unsettled_attempts", core_->stopping_attempts()},
                  {"list",
                   {{"known", v.known},
                    {"current", v.current},
                    {"endpoint", v.endpoint},
                    {"revision", v.revision},
                    {"age_us", v.age},
                    {"nodes", v.nodes},
                    {"rereads", v.rereads},
                    {"breaks", v.breaks},
                    {"compactions", v.compactions},
                    {"new_histories", v.new_histories},
                    {"skipped", v.skipped},
                    {"emptied", v.emptied}}},
                  {"time_us", now}});
  }
  const std::string use =
      "/v1/use";  // periods; /v1/use/PERIOD, restated=true: with what later postings say of it
  if (book_ != nullptr && r.path.compare(0, use.size(), use) == 0 && r.method == "GET") {
    if (r.path == use) {
      json periods = json::array();
      for (const std::string& name : book_->Periods())
        periods.push_back({{"period", name}, {"closed", book_->IsClosed(name)}});
      return Reply(r, 200, {{"postings", book_->last()}, {"periods", std::move(periods)}});
    }
    json lines = json::array();
    for (const ledger::Line& line :
         book_->Statement(r.path.substr(use.size() + 1), r.Query("restated") == "true")) {
      lines.push_back({{"tenant", line.tenant},
                       {"class", line.task_class},
                       {"kind", line.kind},
                       {"core_hour", line.core_hour},
                       {"gib_hour", line.gib_hour},
                       {"postings", line.sums.postings},
                       {"millicore_us", ledger::ToText(line.sums.core)},  // beyond what JSON's numbers hold
                       {"mebibyte_us", ledger::ToText(line.sums.memory)},
                       {"money", ledger::ToText(line.money)}});
    }
    return Reply(r, 200, lines);
  }
  if (r.path == "/v1/nodes" && r.method == "GET") {
    json nodes = json::array();
    core_->ForEachNode([&nodes](NodeId id, const job_manager::ListedNode& n) {
      nodes.push_back({{"name", n.name},
                       {"machine", id},
                       {"address", n.address},
                       {"rack", n.rack},
                       {"room", n.room},
                       {"kind", n.kind},
                       {"started_us", n.started},
                       {"state", n.state == NodeState::kDraining ? "draining" : "ready"},
                       {"free_cores", n.free_cores},
                       {"free_memory", n.free_memory}});
    });
    return Reply(r, 200, nodes);
  }
  if (r.path == kJobs && r.method == "GET") return ListJobs(r);
  if (r.path == kJobs && r.method == "POST") {
    if (user.empty()) return Problem(r, 403, "who you are cannot be told from this connection");
    return Submit(now, r, user, arrived);
  }
  if (r.path.compare(0, kJobs.size() + 1, kJobs + "/") == 0) {
    const std::string id = r.path.substr(kJobs.size() + 1);
    if (r.method == "GET") {
      const job_manager::Job* job = core_->Find(core_->ParseJobId(id));
      if (job == nullptr) return Problem(r, 404, "no job " + id);
      return Reply(r, 200, Show(*core_, *job, options_->words));
    }
    if (user.empty()) return Problem(r, 403, "who you are cannot be told from this connection");
    return Manage(now, r, user);
  }
  return Problem(r, 404, "no such path");
}

std::string HttpFront::Submit(Micros now, const http::Message& r, const std::string& user, Micros arrived) {
  const json body = json::parse(r.body, nullptr, false);
  if (!body.is_object()) return Problem(r, 400, "expected a JSON object");
  static const std::map<std::string, std::pair<std::string, std::string>> kNames = {
      {"name", {"Job_Name", ""}},
      {"account", {"Account_Name", ""}},
      {"ncpus", {"Resource_List", "ncpus"}},
      {"mem", {"Resource_List", "mem"}},
      {"walltime", {"Resource_List", "walltime"}},
      {"service", {"service", ""}},
      {"key", {"key", ""}},
      {"rerunnable", {"Rerunable", ""}},
      {"priority", {"Priority", ""}},
      {"hold", {"Hold_Types", ""}},
      {"due", {"Execution_Time", ""}},
      {"owner_time", {"owner_time", ""}},
      {"repeat", {"repeat", ""}},
      {"output", {"Output_Path", ""}},
      {"error", {"Error_Path", ""}},
      {"join", {"Join_Path", ""}},
      {"variables", {"Variable_List", ""}},
      {"life", {"life", ""}}};
  pbs_protocol::Attributes list;
  std::string queue;
  job_manager::JobSpec spec;
  spec.user = user;
  for (const auto& [name, value] : body.items()) {
    if (!value.is_string() && !value.is_number() && !value.is_boolean()) {
      return Problem(r, 400, "/" + name + ": expected a string, a number, true or false");
    }
    const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    if (name == "script") {
      if (text.size() > options_->most_script) {
        return Problem(r, 413,
                       "/script: expected at most " + std::to_string(options_->most_script) + " bytes");
      }
      spec.script = text;
    } else if (name == "queue") {
      queue = text;
    } else {
      const auto known = kNames.find(name);
      if (known == kNames.end()) return Problem(r, 400, "/" + name + ": unknown member");
      list.push_back({known->second.first, known->second.second, text, pbs_protocol::Op::kSet});
    }
  }
  const pbs_server::Problem problem = pbs_server::Read(list, queue, options_->words, false, &spec);
  if (problem.code != pbs_protocol::Code::kNone) return Problem(r, 400, problem.text);
  if (door_ != nullptr) {
    admission::Asked asked;
    asked.now = now;
    asked.arrived = arrived;
    asked.give_up =
        arrived + (spec.client_wait != 0 ? spec.client_wait : core_->options().hard_limits[spec.task_class]);
    if (spec.client_deadline != 0) asked.give_up = std::min(asked.give_up, spec.client_deadline);
    asked.unanswered = core_->Count().queued;
    const admission::Verdict verdict = door_->Ask(asked);
    if (!verdict.admit) {
      said_nothing_kept_ = true;
      return Problem(r, 503, verdict.reason, verdict.wait);
    }
  }
  const job_manager::SubmitResult done = core_->Submit(now, core_->NewJobNumber(), std::move(spec));
  if (done.verdict == job_manager::CommandResult::kExists) {
    return Reply(r, 200, Show(*core_, *core_->Find(done.job), options_->words));
  }
  said_nothing_kept_ = done.verdict == job_manager::CommandResult::kFull ||
                       done.verdict == job_manager::CommandResult::kStopping;
  if (done.verdict != job_manager::CommandResult::kOk) return Problem(r, StatusOf(done.verdict), done.reason);
  return Reply(r, 201, Show(*core_, *core_->Find(done.job), options_->words));
}

std::string HttpFront::Manage(Micros now, const http::Message& r, const std::string& user) {
  const std::string acts = options_->managers.count(user) > 0 ? "" : user;
  std::string id = r.path.substr(kJobs.size() + 1), verb;
  if (const std::size_t slash = id.find('/'); slash != std::string::npos) {
    verb = id.substr(slash + 1);
    id.resize(slash);
  }
  const std::uint64_t number = core_->ParseJobId(id);
  job_manager::CommandResult v = job_manager::CommandResult::kBadValue;
  if (r.method == "DELETE" && verb.empty()) {
    v = core_->Delete(now, number, acts);
  } else if (r.method == "POST" && verb == "hold") {
    v = core_->Hold(now, number, acts, "u");
  } else if (r.method == "POST" && verb == "release") {
    v = core_->Release(now, number, acts, "u");
  } else if (r.method == "POST" && verb == "rerun") {
    v = core_->Rerun(now, number, acts);
  } else {
    return Problem(r, 405, "expected DELETE, or POST of hold, release or rerun");
  }
  if (v != job_manager::CommandResult::kOk)
    return Problem(r, StatusOf(v), pbs_protocol::Describe(pbs_server::CodeOf(v)));
  return Reply(r, 200, Show(*core_, *core_->Find(number), options_->words));
}

std::string HttpFront::ListJobs(const http::Message& r) {
  std::uint64_t limit = 100;
  if (r.query.count("limit") > 0 &&
      (!pbs_server::ReadCount(r.Query("limit"), &limit) || limit == 0 || limit > kMostPage)) {
    return Problem(r, 400, "limit: expected 1 to " + std::to_string(kMostPage));
  }
  std::uint64_t from = 0;
  if (r.query.count("from") > 0 && (from = core_->ParseJobId(r.Query("from"))) == 0) {
    return Problem(r, 400, "from: expected a job id");
  }
  const std::string states = r.Query("state"), queue = r.Query("queue");
  const bool history = r.Query("history") == "true" || states.find('C') != std::string::npos;
  json jobs = json::array();
  std::string next;
  core_->ForEach(from, [&](const job_manager::Job& job) {
    if (!history && job.state == job_manager::JobState::kComplete) return true;
    if (!states.empty() && states.find(static_cast<char>(job.state)) == std::string::npos) return true;
    if (!queue.empty() && job.spec->queue != queue) return true;
    if (jobs.size() == limit) {
      next = core_->JobId(job.number);
      return false;
    }
    jobs.push_back(Show(*core_, job, options_->words));
    return true;
  });
  json body = {{"jobs", std::move(jobs)}};
  if (!next.empty()) body["next"] = next;
  return Reply(r, 200, body);
}

}  // namespace mountflow::daemon
