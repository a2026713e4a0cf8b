#include "daemon/daemon.hpp"

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>
#include <variant>

namespace mountflow::daemon {
namespace {

// XORed with the configured seed so that each component draws different random numbers.
constexpr std::uint64_t kNodeListSeed = 0x6c697374;
constexpr std::uint64_t kGroupMembersSeed = 0x6f746872;
constexpr std::uint64_t kOwnEntrySeed = 0x6f776e;

// Returns the configured seed, or a new random seed if none is configured.
std::uint64_t SeedOf(const config::DaemonConfig& config) {
  constexpr unsigned kBitsPerDraw = 32;
  if (config.seed != 0) return config.seed;
  std::random_device device;
  const std::uint64_t high = device();
  return high << kBitsPerDraw | device();
}

RegistryGroup::Seeds GroupSeedsOf(const config::DaemonConfig& config) {
  return {SeedOf(config) ^ kGroupMembersSeed, SeedOf(config) ^ kOwnEntrySeed};
}

tl::unexpected<DaemonError> ListenFailure(const event_loop::EventLoopError& error) {
  return tl::unexpected(DaemonError{DaemonErrorCode::kListen, "", Describe(error)});
}

std::string HostOf(const std::string& address) {
  const std::optional<event_loop::HostAndPort> parts = event_loop::SplitAddress(address);
  return parts ? parts->host : "";
}

}  // namespace

Daemon::Daemon(event_loop::EventLoop* loop, config::DaemonConfig config,
               std::shared_ptr<spdlog::logger> logger)
    : loop_(loop),
      config_(std::move(config)),
      log_(std::move(logger)),
      job_manager_(config_.job_manager, SeedOf(config_), loop->Now()),
      admission_(config_.admission),
      tls_keys_(config_.node_list_tls),
      node_list_(config_, SeedOf(config_) ^ kNodeListSeed, loop, &job_manager_, &tls_keys_, &log_),
      pbs_server_(&job_manager_, config_.pbs_server),
      http_api_(&job_manager_, &config_.pbs_server, &node_list_.client()),
      node_sessions_(&job_manager_, config_.pbs_server.vocabulary, config_.node_sessions),
      durable_state_(config_, loop, &job_manager_, &log_),
      node_connections_(loop, &node_sessions_, &cpu_profile_),
      batch_connections_(loop, &pbs_server_, &held_replies_, &cpu_profile_),
      http_connections_(loop, &http_api_, &durable_state_, &held_replies_),
      turn_committer_({loop, &durable_state_, &held_replies_, &node_sessions_, &node_connections_,
                       &batch_connections_, &http_connections_, &admission_}) {
  if (config_.group.from_registry) group_.emplace(config_, GroupSeedsOf(config_), loop, &tls_keys_);
  pbs_server_.SetAdmission(&admission_);
  http_api_.SetAdmission(&admission_);
}

Daemon::~Daemon() { durable_state_.Close(); }

// ---- Start ----

DaemonStatus Daemon::Start() {
  const tls::TlsStatus keys_loaded = tls_keys_.Start(loop_->Now());
  if (!keys_loaded) {
    return tl::unexpected(DaemonError{DaemonErrorCode::kTlsKeys, "", Describe(keys_loaded.error())});
  }
  DaemonStatus listening = Listen();
  if (!listening) return listening;
  const std::string batch_address = HostOf(config_.listen.batch_address) + ":" + std::to_string(batch_port());
  if (config_.node_sessions.report_to.empty()) node_sessions_.SetReportTo(batch_address);
  DaemonStatus restored = RestoreState();
  if (!restored) return restored;
  node_list_.LoadSavedList();
  if (group_) group_->Join(batch_address);
  loop_->SetAfterTurn([this] { AfterTurn(); });
  loop_->SetMainTimer(loop_->Now(), [this] { RunTimers(); });
  LogStarted();
  return {};
}

DaemonStatus Daemon::Listen() {
  const auto batch_listener = loop_->Listen(config_.listen.batch_address, &batch_connections_);
  if (!batch_listener) return ListenFailure(batch_listener.error());
  batch_listener_ = *batch_listener;
  if (config_.listen.http_address.empty()) return {};
  const auto http_listener = loop_->Listen(config_.listen.http_address, &http_connections_);
  if (!http_listener) return ListenFailure(http_listener.error());
  http_listener_ = *http_listener;
  return {};
}

DaemonStatus Daemon::RestoreState() {
  if (config_.storage.folder.empty()) return {};
  DaemonStatus opened = durable_state_.Open();
  if (!opened) return opened;
  UsageLedger& ledger = durable_state_.ledger();
  if (!ledger.is_open()) return {};
  http_api_.SetBook(&ledger.book());
  job_manager_.SetAdmissionCheck(
      [this, &ledger](const job_manager::JobSpec& spec) { return ledger.Rejection(loop_->Now(), spec); });
  return {};
}

void Daemon::LogStarted() {
  log_.Write({logging::LogEvent::kStarted,
              {{logging::kServerField, config_.job_manager.server},
               {logging::kBatchPortField, batch_port()},
               {logging::kHttpPortField, http_port()}}});
}

// ---- The turn ----

void Daemon::AfterTurn() {
  PollTlsKeys();
  node_list_.Poll();
  if (group_) PollGroup();
  ExchangeUntilQuiet();
  SendNodeActions();
  if (durable_state_.is_open()) durable_state_.WriteSnapshotIfDue(loop_->Now());
  log_.WriteEach(logging::LogEvent::kRequestError, pbs_server_.TakeWarnings(loop_->Now()));
  node_list_.SaveIfDue();
  log_.WriteEach(logging::LogEvent::kNodeList, node_list_.TakeWarnings());
  if (IsShutdownComplete()) return FinishShutdown();
  RearmTimer();
}

void Daemon::PollTlsKeys() {
  tls_keys_.Poll(loop_->Now());
  log_.WriteEach(logging::LogEvent::kTlsKeys, tls_keys_.TakeWarnings());
}

void Daemon::PollGroup() {
  if (const std::optional<MembershipChange> change = group_->Poll()) {
    job_manager_.HandleMembershipChange(loop_->Now(), *change);
    log_.FlushInfoAtOnce(true);  // group changes are rare, and operators wait for them
    DispatchOutputs(std::exchange(job_manager_.outputs(), {}));
    log_.FlushInfoAtOnce(false);
  }
  log_.WriteEach(logging::LogEvent::kGroupRegistry, group_->TakeWarnings());
}

// Passes messages between the components until none are left, and then delivers replies to the connections.
// Submissions are admitted once per turn, after all messages for jobs that have already been admitted.
void Daemon::ExchangeUntilQuiet() {
  bool admitted = false;
  for (;;) {
    if (ExchangeMessages()) continue;
    if (!admitted) {
      admitted = true;
      if (AdmitSubmissions()) continue;
    }
    if (!DeliverReplies()) return;
  }
}

// Returns true if there was any message between the job manager and the other components.
bool Daemon::ExchangeMessages() {
  const std::vector<job_manager::Output> outputs = std::exchange(job_manager_.outputs(), {});
  DispatchOutputs(outputs);
  const std::vector<job_manager::NodeMessage> messages = std::exchange(node_sessions_.messages(), {});
  const ScopedCpuTimer timer(&cpu_profile_, &CpuTimes::job_manager);
  for (const job_manager::NodeMessage& message : messages)
    job_manager_.HandleNodeMessage(loop_->Now(), message);
  return !outputs.empty() || !messages.empty();
}

// Returns true if any submission was admitted or rejected.
bool Daemon::AdmitSubmissions() {
  const ScopedCpuTimer timer(&cpu_profile_, &CpuTimes::pbs_server);
  return pbs_server_.AdmitQueuedSubmissions(loop_->Now());
}

// Sends the output of the PBS server's sessions, or holds it until the turn is durable. Returns true if there
// may be more output.
bool Daemon::DeliverReplies() {
  const std::vector<pbs_server::PbsServer::ConnectionId> sessions = pbs_server_.TakeConnectionsWithOutput();
  if (!durable_state_.is_open()) {
    for (const pbs_server::PbsServer::ConnectionId session : sessions) batch_connections_.Flush(session);
    return !sessions.empty();
  }
  for (const pbs_server::PbsServer::ConnectionId session : sessions) batch_connections_.FlushOrHold(session);
  return !sessions.empty() || turn_committer_.CommitTurn();
}

void Daemon::DispatchOutputs(const std::vector<job_manager::Output>& outputs) {
  for (const job_manager::Output& output : outputs) Dispatch(output);
}

void Daemon::Dispatch(const job_manager::Output& output) {
  const Micros now = loop_->Now();
  if (const auto* entry = std::get_if<job_manager::LogEntry>(&output)) {
    log_.Write(job_manager_, *entry);
  } else if (const auto* answered = std::get_if<job_manager::JobAnswered>(&output)) {
    admission_.RecordAnswer();
    pbs_server_.HandleJobAnswered(now, *answered);
  } else if (const auto* usage = std::get_if<job_manager::ResourceUsage>(&output)) {
    durable_state_.ledger().Post(now, *usage);
  } else if (const auto* ended = std::get_if<job_manager::JobCompleted>(&output)) {
    pbs_server_.HandleJobCompleted(now, *ended);
  } else if (std::holds_alternative<job_manager::ReadNodeList>(output)) {
    node_list_.StartFullRead();
  } else {
    const ScopedCpuTimer timer(&cpu_profile_, &CpuTimes::node_sessions);
    node_sessions_.Deliver(now, output);
  }
}

void Daemon::SendNodeActions() { node_connections_.CarryOut(std::exchange(node_sessions_.actions(), {})); }

void Daemon::RearmTimer() {
  Micros next = std::min({job_manager_.NextTimer(), node_sessions_.NextTimer(), pbs_server_.NextTimer(),
                          node_list_.NextTimer(), tls_keys_.NextTimer()});
  if (group_) next = std::min(next, group_->NextTimer());
  if (shutdown_deadline_) next = std::min(next, *shutdown_deadline_);
  if (pbs_server_.awaiting_admission() > 0) next = loop_->Now();
  loop_->SetMainTimer(next, nullptr);
  admission_.RecordLoopIteration(loop_->TurnStart(), loop_->Now());
}

void Daemon::RunTimers() {
  job_manager_.Tick(loop_->Now());
  node_sessions_.Tick(loop_->Now());
  pbs_server_.Tick(loop_->Now());
}

// ---- Graceful shutdown ----

void Daemon::Stop() {
  if (shutdown_deadline_) return;
  if (group_) group_->Leave();
  shutdown_deadline_ = loop_->Now() + config_.shutdown_timeout;
  job_manager_.StopAccepting();
}

bool Daemon::IsShutdownComplete() const {
  if (!shutdown_deadline_) return false;
  // Queued jobs wait for the scheduler or are in flight to a node.
  const bool has_queued_jobs = job_manager_.Count().queued > 0;
  if (!has_queued_jobs && !durable_state_.HasHeldTurns()) return true;
  return loop_->Now() >= *shutdown_deadline_;
}

void Daemon::FinishShutdown() {
  const job_manager::Counts jobs = job_manager_.Count();
  log_.Write({logging::LogEvent::kStopped,
              {{logging::kJobsField, std::uint64_t{jobs.queued + jobs.waiting + jobs.held}},
               {logging::kTextField, durable_state_.is_open() ? "stored" : "not stored"}}});
  log_.Flush();
  node_list_.SaveIfChanged();
  loop_->Stop();
}

// ---- CPU profile ----

void Daemon::EnableCpuProfile() {
  cpu_profile_.enabled = true;
  job_manager_.MeasureScheduler(ProcessCpuNanoseconds);
}

CpuTimes Daemon::cpu_times() const {
  CpuTimes times = cpu_profile_.times;
  times.scheduler = job_manager_.scheduler_ns();
  times.process = ProcessCpuNanoseconds();
  return times;
}

}  // namespace mountflow::daemon
