#include "tools/chaos/workload.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mountflow::chaos {
namespace {

using pbs_protocol::Request;
using pbs_protocol::RequestType;

constexpr Micros kSecond = 1'000'000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMegabytesPerGigabyte = 1024;
constexpr Micros kDefaultHardLimit = 10 * kSecond;
constexpr Micros kMissingAnswerGrace = 2 * kSecond;  // after the deadline, until a client stops waiting
constexpr Micros kMinReconnectDelay = 100'000;
constexpr Micros kReconnectDelaySpread = 200'000;
constexpr Micros kCancelDelaySpread = 15'000;  // covers the attempt, its acceptance and its commit
constexpr Micros kMinTimeForRetry = kSecond / 2;
constexpr Micros kAbortDelay = 50'000;
constexpr Micros kHalfFrameDelay = 300'000;
constexpr unsigned kMaxTries = 6;
constexpr unsigned kSubmissionReplies = 3;  // to QueueJob, JobScript and ReadyToCommit
constexpr unsigned kDeleteCommand = 1;      // command code of a delete request
constexpr char kUser[] = "root";
constexpr char kHalfRequest[] = "+2+1+1+4root+0+7serv";
constexpr char kWaitForAnswer[] = "wait=answer";
constexpr char kPlaced[] = "placed";

std::string Bytes(const Request& request) {
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return bytes;
}

Request MakeRequest(RequestType type, const std::string& id = "") {
  Request request;
  request.type = type;
  request.user = kUser;
  request.id = id;
  return request;
}

void AddAttribute(Request* request, const char* name, std::string value, const char* resource = "") {
  request->attributes.push_back({name, resource, std::move(value), pbs_protocol::Op::kSet});
}

Micros ToMicros(double seconds) { return static_cast<Micros>(seconds * kMicrosPerSecond); }

}  // namespace

Workload::Workload(event_loop::EventLoop* loop, MessageLogWriter* log, std::vector<std::string> daemons,
                   std::map<std::string, Micros> hard_limits, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      daemons_(std::move(daemons)),
      hard_limits_(std::move(hard_limits)),
      random_(seed) {}

void Workload::Log(const ClientJob& job, const char* event, json fields) {
  fields["event"] = event;
  fields["client"] = job.number;
  fields["daemon"] = job.daemon;
  if (!job.id.empty()) fields["job"] = job.id;
  log_->Write(loop_->Now(), "client", std::move(fields));
}

Micros Workload::HardLimitOf(const std::string& queue) const {
  const auto it = hard_limits_.find(queue);
  return it == hard_limits_.end() ? kDefaultHardLimit : it->second;
}

Micros Workload::RandomReconnectDelay() { return kMinReconnectDelay + random_() % kReconnectDelaySpread; }

void Workload::Start(const std::vector<WorkloadSpec>& specs, Micros until) {
  specs_ = specs;
  for (std::size_t i = 0; i < specs_.size(); ++i) ScheduleArrival(i, until);
}

// Schedules the next arrival of a Poisson process.
void Workload::ScheduleArrival(std::size_t spec, Micros until) {
  constexpr double kMinRate = 1e-6;
  if (specs_[spec].jobs_per_second <= 0.0) return;
  const double rate = std::max(specs_[spec].jobs_per_second * rate_factor_, kMinRate);
  const double seconds = std::exponential_distribution<double>(rate)(random_);
  const Micros at = loop_->Now() + ToMicros(seconds);
  if (at >= until) return;
  loop_->AddTimer(at, [this, spec, until] {
    const WorkloadSpec& arriving = specs_[spec];
    const std::uint64_t service = random_() % static_cast<std::uint64_t>(arriving.services);
    Submit(arriving, arriving.queue + "-" + std::to_string(service));
    ScheduleArrival(spec, until);
  });
}

// The order of the random draws must not change, because it determines the workload that belongs to a seed.
void Workload::Submit(const WorkloadSpec& spec, const std::string& service) {
  const std::uint64_t number = ++last_number_;
  ClientJob& job = jobs_[number];
  job.number = number;
  job.spec = spec;
  job.service = service;
  job.shape = random_() % spec.ncpus.size();
  job.run_seconds = std::to_string(
      std::uniform_real_distribution<double>(spec.min_run_seconds, spec.max_run_seconds)(random_));
  if (spec.has_keys) job.key = "key-" + std::to_string(number);
  job.daemon = random_() % daemons_.size();
  job.deadline = loop_->Now() + HardLimitOf(spec.queue);
  if (jobs_to_cancel_ > 0 && random_() % 2 == 0) {
    job.cancel = true;
    --jobs_to_cancel_;
  }
  ++submitted_;
  json fields = {{"queue", spec.queue}, {"service", service}, {"deadline", job.deadline}};
  if (!job.key.empty()) fields["key"] = job.key;
  Log(job, "first", std::move(fields));
  Try(&job);
}

Request Workload::QueueRequest(const ClientJob& job) const {
  const WorkloadSpec& spec = job.spec;
  const double memory_gb = spec.memory_gb[std::min(job.shape, spec.memory_gb.size() - 1)];
  Request request = MakeRequest(RequestType::kQueueJob);
  request.destination = spec.queue;
  AddAttribute(&request, "Job_Name", job.service);
  AddAttribute(&request, "service", job.service);
  AddAttribute(&request, "Resource_List", std::to_string(spec.ncpus[job.shape]), "ncpus");
  AddAttribute(&request, "Resource_List",
               std::to_string(static_cast<long>(memory_gb * kMegabytesPerGigabyte)) + "mb", "mem");
  AddAttribute(&request, "life", job.run_seconds);
  if (spec.rerunnable) AddAttribute(&request, "Rerunable", "y");
  AddAttribute(&request, "owner_deadline", std::to_string(job.deadline));
  if (!job.key.empty()) AddAttribute(&request, "key", job.key);
  if (job.earlier_deadline != 0) {
    AddAttribute(&request, "repeat", "true");
    AddAttribute(&request, "earlier_until", std::to_string(job.earlier_deadline));
  }
  return request;
}

void Workload::Connect(ClientJob* job) {
  job->input.clear();
  job->connection = loop_->Connect(daemons_[job->daemon], this);
  job_of_connection_[job->connection] = job->number;
}

void Workload::Try(ClientJob* job) {
  ++job->tries;
  job->step = Step::kSubmitting;
  job->id.clear();
  Connect(job);
  Request script = MakeRequest(RequestType::kJobScript);
  script.script = "true\n";
  job->replies_to_come = kSubmissionReplies;
  loop_->Send(job->connection,
              Bytes(QueueRequest(*job)) + Bytes(script) + Bytes(MakeRequest(RequestType::kReadyToCommit)));
  RetryWithoutReply(*job);
  GiveUpAfterDeadline(*job);
}

// Retries a submission whose commit has no reply yet. After the reply, the client waits for the job's answer.
void Workload::RetryWithoutReply(const ClientJob& job) {
  if (job.spec.retry_after_seconds <= 0.0 || job.key.empty()) return;
  const Micros at = loop_->Now() + ToMicros(job.spec.retry_after_seconds);
  loop_->AddTimer(at, [this, number = job.number, tries = job.tries] {
    const auto it = jobs_.find(number);
    if (it == jobs_.end() || it->second.tries != tries) return;
    if (it->second.step != Step::kAwaitingAnswer) Retry(&it->second, "no reply in time");
  });
}

void Workload::GiveUpAfterDeadline(const ClientJob& job) {
  loop_->AddTimer(job.deadline + kMissingAnswerGrace, [this, number = job.number] {
    const auto it = jobs_.find(number);
    if (it == jobs_.end()) return;
    const bool has_later_deadline = loop_->Now() < it->second.deadline + kMissingAnswerGrace;
    if (!has_later_deadline) Finish(number, "gave_up", "", "no answer in its owner's time");
  });
}

void Workload::SendStatusRequest(const ClientJob& job) {
  Request status = MakeRequest(RequestType::kStatusJob, job.id);
  status.extension = kWaitForAnswer;
  loop_->Send(job.connection, Bytes(status));
}

void Workload::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const auto job_entry = job_of_connection_.find(connection);
  if (job_entry == job_of_connection_.end()) return;
  const std::uint64_t number = job_entry->second;
  jobs_.at(number).input.append(bytes);
  for (;;) {  // looks the job up again, because a reply may end it or its connection
    const auto it = jobs_.find(number);
    if (it == jobs_.end() || it->second.connection != connection) return;
    pbs_protocol::Reply reply;
    const pbs_protocol::DecodeResult result = pbs_protocol::Decode(it->second.input, &reply);
    if (result.state != pbs_protocol::DisState::kOk) return;
    it->second.input.erase(0, result.used);
    OnReply(&it->second, reply);
  }
}

void Workload::OnReply(ClientJob* job, const pbs_protocol::Reply& reply) {
  const bool is_known_key = reply.code == pbs_protocol::Code::kExists && !reply.text.empty();
  if (is_known_key && job->step != Step::kAwaitingAnswer) {
    // An earlier try was committed, so this job's answer is the answer of that try.
    job->id = reply.text;
    job->replies_to_come = 0;
    Log(*job, "exists");
    return AwaitAnswer(job);
  }
  if (reply.code != pbs_protocol::Code::kNone) {
    return Finish(job->number, "rejected", "rejected",
                  reply.text.empty() ? pbs_protocol::Describe(reply.code) : reply.text);
  }
  switch (job->step) {
    case Step::kSubmitting:
      return OnSubmissionReply(job, reply);
    case Step::kCommitting:
      Log(*job, "taken");
      return AwaitAnswer(job);
    case Step::kAwaitingAnswer:
      return OnAnswer(job, reply);
  }
}

void Workload::OnSubmissionReply(ClientJob* job, const pbs_protocol::Reply& reply) {
  if (reply.choice == pbs_protocol::Choice::kQueued) job->id = reply.text;
  if (--job->replies_to_come > 0) return;
  job->step = Step::kCommitting;
  Log(*job, "commit");
  loop_->Send(job->connection, Bytes(MakeRequest(RequestType::kCommit, job->id)));
}

void Workload::OnAnswer(ClientJob* job, const pbs_protocol::Reply& reply) {
  if (reply.objects.empty()) return Finish(job->number, "rejected", "rejected", "empty status");
  const pbs_protocol::Attributes& attributes = reply.objects[0].attributes;
  const std::string answer(pbs_protocol::ValueOf(attributes, "answer"));
  const std::string comment(pbs_protocol::ValueOf(attributes, "comment"));
  if (answer == kPlaced) {
    const Micros until = loop_->Now() + ToMicros(std::stod(job->run_seconds));
    running_.push_back({job->id, job->daemon, job->spec, job->service, until});
  }
  Finish(job->number, "answer", answer.empty() ? "none" : answer, comment);
}

void Workload::AwaitAnswer(ClientJob* job) {
  job->step = Step::kAwaitingAnswer;
  SendStatusRequest(*job);
  if (!job->cancel) return;
  Log(*job, "cancel");
  loop_->AddTimer(loop_->Now() + random_() % kCancelDelaySpread,
                  [this, id = job->id, daemon = job->daemon] { Delete(daemon, id); });
}

void Workload::Delete(std::size_t daemon, const std::string& id) {
  const event_loop::ConnId connection = loop_->Connect(daemons_[daemon], this);
  Request request = MakeRequest(RequestType::kDeleteJob, id);
  request.command = kDeleteCommand;
  loop_->Send(connection, Bytes(request));
  loop_->AddTimer(loop_->Now() + kSecond, [this, connection] { loop_->Close(connection, true); });
}

void Workload::Finish(std::uint64_t number, const char* event, const std::string& answer,
                      const std::string& text) {
  const auto it = jobs_.find(number);
  Log(it->second, event, {{"answer", answer}, {"text", text}});
  ++answers_[answer.empty() ? event : answer];
  job_of_connection_.erase(it->second.connection);
  loop_->Close(it->second.connection, true);
  jobs_.erase(it);
}

void Workload::Retry(ClientJob* job, const std::string& reason) {
  job_of_connection_.erase(job->connection);
  loop_->Abort(job->connection);
  if (job->step != Step::kSubmitting) job->earlier_deadline = std::max(job->earlier_deadline, job->deadline);
  const bool is_too_late = loop_->Now() + kMinTimeForRetry >= job->deadline;
  if (is_too_late && job->earlier_deadline != 0) {
    // The next try is a new request with its own deadline, and is marked as a repetition of an earlier one.
    job->deadline = loop_->Now() + HardLimitOf(job->spec.queue);
  }
  Log(*job, "retry", {{"text", reason}});
  if (job->tries >= kMaxTries) return Finish(job->number, "gave_up", "", "no more tries");
  job->daemon = (job->daemon + 1) % daemons_.size();
  Try(job);
}

void Workload::OnClosed(event_loop::ConnId connection, const std::string& reason) {
  const auto job_entry = job_of_connection_.find(connection);
  if (job_entry == job_of_connection_.end()) return;
  const std::uint64_t number = job_entry->second;
  job_of_connection_.erase(job_entry);
  ClientJob& job = jobs_.at(number);
  const bool was_committed = !job.id.empty() && job.step != Step::kSubmitting;
  if (job.key.empty() && !was_committed) return Finish(number, "lost", "", reason);
  job.connection = 0;
  const Micros at = loop_->Now() + RandomReconnectDelay();
  if (job.key.empty()) {
    // Committed jobs survive a restart of their daemon, so the client requests the answer from it again.
    loop_->AddTimer(at, [this, number] {
      const auto it = jobs_.find(number);
      if (it == jobs_.end() || it->second.connection != 0) return;
      it->second.step = Step::kAwaitingAnswer;
      Connect(&it->second);
      SendStatusRequest(it->second);
    });
    return;
  }
  loop_->AddTimer(at, [this, number, tries = job.tries, reason] {
    const auto it = jobs_.find(number);
    if (it != jobs_.end() && it->second.tries == tries) Retry(&it->second, reason);
  });
}

void Workload::RestartServices(double share, Micros within) {
  const Micros now = loop_->Now();
  std::erase_if(running_, [now](const RunningJob& job) { return job.until <= now; });
  std::map<std::string, bool> is_restarted;  // by service
  std::vector<RunningJob> restarted;
  for (const RunningJob& job : running_) {
    const auto [it, is_new] = is_restarted.emplace(job.service, false);
    if (is_new) it->second = std::uniform_real_distribution<double>(0, 1)(random_) < share;
    if (it->second) restarted.push_back(job);
  }
  std::erase_if(running_, [&is_restarted](const RunningJob& job) { return is_restarted[job.service]; });
  for (const RunningJob& job : restarted) {
    Delete(job.daemon, job.id);
    loop_->AddTimer(now + random_() % std::max<Micros>(within, 1),
                    [this, job] { Submit(job.spec, job.service); });
  }
}

void Workload::AbortSubmission() {
  const event_loop::ConnId connection = loop_->Connect(daemons_[0], this);
  Request request = MakeRequest(RequestType::kQueueJob);
  request.destination = specs_[0].queue;
  AddAttribute(&request, "Job_Name", "gone-before-commit");
  loop_->Send(connection, Bytes(request) + Bytes(MakeRequest(RequestType::kReadyToCommit)));
  loop_->AddTimer(loop_->Now() + kAbortDelay, [this, connection] { loop_->Abort(connection); });
}

void Workload::SendHalfFrame() {
  const event_loop::ConnId connection = loop_->Connect(daemons_[0], this);
  loop_->Send(connection, kHalfRequest);
  loop_->AddTimer(loop_->Now() + kHalfFrameDelay, [this, connection] { loop_->Abort(connection); });
}

}  // namespace mountflow::chaos
