#include "daemon/daemon.hpp"

#include <errno.h>
#include <pwd.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "discovery/entry.hpp"
#include "discovery/snapshot.hpp"

namespace mountflow::daemon {
namespace {

constexpr event_loop::ConnId kLinkSpace = 1ull << 62;  // link connections are numbered by NodeLinks
constexpr std::size_t kMostHttpBody = 2 << 20;
constexpr Micros kRememberEvery = 10'000'000;
constexpr std::size_t kMostHttpConns = 4096;  // beyond: closed at once
constexpr std::size_t kMostBatchConns = 16384;

std::uint64_t CpuNs() {
  timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<std::uint64_t>(t.tv_sec) * 1'000'000'000u + static_cast<std::uint64_t>(t.tv_nsec);
}

std::uint64_t SeedOf(const config::DaemonConfig& config) {
  if (config.seed != 0) return config.seed;
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

void WriteLine(spdlog::logger& log, job_manager::LogLevel level, const nlohmann::json& line) {
  const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  log.log(level == job_manager::LogLevel::kWarn ? spdlog::level::warn : spdlog::level::info, "{}", text);
}

discovery::ClientOptions OthersOf(const config::DaemonConfig& config) {
  discovery::ClientOptions o = config.list;
  o.prefix = config.group_prefix;
  o.service.clear();  // daemons are keys, wherever nodes are
  o.wait = std::min(o.wait, membership::VouchEvery(config.group_most_age));  // a read that ends vouches
  return o;
}

discovery::RegistrarOptions OwnEntryOf(const config::DaemonConfig& config) {
  discovery::RegistrarOptions o;
  o.kind = config.list.kind;
  o.endpoints = config.list.endpoints;
  o.key = config.group_prefix + config.core.server;
  o.token = config.list.token;
  o.user = config.list.user;
  o.password = config.list.password;
  o.time_to_live = config.group_ttl;
  return o;
}

storage::GateOptions GateOf(const config::DaemonConfig& config) {
  storage::GateOptions o;
  o.snapshot_after = config.storage_snapshot;
  return o;
}

// Adds the time until its end to a counter, when measuring.
class Timed {
 public:
  Timed(bool on, std::uint64_t* to) : to_(on ? to : nullptr), from_(on ? CpuNs() : 0) {}
  ~Timed() {
    if (to_ != nullptr) *to_ += CpuNs() - from_;
  }

 private:
  std::uint64_t* to_;
  std::uint64_t from_;
};

}  // namespace

std::shared_ptr<spdlog::logger> MakeLog(const std::string& file, const std::string& level,
                                        std::string* error) {
  std::shared_ptr<spdlog::logger> log;
  try {
    if (file.empty()) {
      log = std::make_shared<spdlog::logger>("mountflow", std::make_shared<spdlog::sinks::stderr_sink_st>());
    } else {
      log = std::make_shared<spdlog::logger>(
          "mountflow", std::make_shared<spdlog::sinks::basic_file_sink_st>(file, false));
    }
  } catch (const spdlog::spdlog_ex& e) {
    *error = e.what();
    return nullptr;
  }
  log->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%fZ\",\"level\":\"%l\",\"is\":%v}",
                   spdlog::pattern_time_type::utc);
  log->set_level(spdlog::level::from_str(level));
  log->flush_on(spdlog::level::warn);
  return log;
}

// ---- The four sides of the shell ----

class Daemon::BatchSide : public event_loop::Handler {
 public:
  explicit BatchSide(Daemon* d) : d_(d) {}
  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn,
                  const event_loop::PeerInfo& info) override {
    if (d_->front_.sessions() >= kMostBatchConns) return d_->loop_->Abort(conn);
    d_->front_.Open(conn, d_->PeerOf(info));
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    Timed timed(d_->measure_, &d_->spent_.front);
    d_->front_.Receive(d_->loop_->Now(), conn, bytes, d_->loop_->TurnBeforeBegan());
    if (!d_->front_.WantsRead(conn)) d_->loop_->PauseReading(conn, true);
  }
  void OnSent(event_loop::ConnId conn) override { Flush(conn); }
  void OnClosed(event_loop::ConnId conn, const std::string&) override {
    d_->front_.Close(d_->loop_->Now(), conn);
  }

  void Flush(event_loop::ConnId conn) {
    if (d_->touched_in_.count(conn) > 0) return;  // not durable yet
    std::string* output = d_->front_.OutputOf(conn);
    if (output == nullptr) return;
    // The kernel and the loop hold some; the rest stays with the session, whose bound it counts against.
    if (d_->loop_->Unsent(conn) == 0 && !output->empty()) d_->loop_->Send(conn, std::exchange(*output, {}));
    if (d_->front_.WantsClose(conn) && output->empty()) {
      d_->loop_->Close(conn, true);
      return d_->front_.Close(d_->loop_->Now(), conn);
    }
    d_->front_.Resume(d_->loop_->Now(), conn);
    d_->loop_->PauseReading(conn, !d_->front_.WantsRead(conn));
  }

 private:
  Daemon* d_;
};

class Daemon::HttpSide : public event_loop::Handler {
 public:
  explicit HttpSide(Daemon* d) : d_(d) {}
  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn,
                  const event_loop::PeerInfo& info) override {
    if (conns_.size() >= kMostHttpConns) return d_->loop_->Abort(conn);
    conns_.emplace(conn, Conn{http::Reader(http::Reader::Side::kRequests, kMostHttpBody), d_->PeerOf(info)});
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    const auto it = conns_.find(conn);
    if (it == conns_.end()) return;
    http::Reader& reader = it->second.reader;
    const bool good = reader.Feed(bytes);
    bool keep = true;
    while (keep && !reader.messages().empty()) {
      const http::Message request = std::move(reader.messages().front());
      reader.messages().pop_front();
      keep = request.keep_alive;
      std::string bytes =
          d_->http_.Handle(d_->loop_->Now(), request, it->second.peer, d_->loop_->TurnBeforeBegan());
      d_->Say({conn, std::move(bytes), !keep}, d_->http_.said_nothing_kept());
    }
    if (good && keep) return;
    if (!good && keep) {
      d_->Say({conn,
               http::WriteReply(reader.status(), {{"Content-Type", "text/plain"}},
                                "expected " + reader.error() + "\n", false),
               true},
              true);
    }
    conns_.erase(it);
  }
  void OnClosed(event_loop::ConnId conn, const std::string&) override { conns_.erase(conn); }

 private:
  struct Conn {
    http::Reader reader;
    pbs_server::Peer peer;
  };
  Daemon* d_;
  std::map<event_loop::ConnId, Conn> conns_;
};

class Daemon::LinkSide : public event_loop::Handler {
 public:
  explicit LinkSide(Daemon* d) : d_(d) {}
  void OnConnected(event_loop::ConnId conn) override {
    Timed timed(d_->measure_, &d_->spent_.links);
    d_->links_.Connected(d_->loop_->Now(), conn - kLinkSpace);
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    Timed timed(d_->measure_, &d_->spent_.links);
    d_->links_.Received(d_->loop_->Now(), conn - kLinkSpace, bytes);
  }
  void OnClosed(event_loop::ConnId conn, const std::string&) override {
    d_->links_.Closed(d_->loop_->Now(), conn - kLinkSpace);
  }
  void Do(const node_sessions::LinkAction& action) {
    if (const auto* open = std::get_if<node_sessions::OpenConn>(&action)) {
      d_->loop_->Connect(open->address, this, kLinkSpace + open->conn);
    } else if (const auto* send = std::get_if<node_sessions::SendBytes>(&action)) {
      d_->loop_->Send(kLinkSpace + send->conn, send->bytes);
    } else if (const auto* close = std::get_if<node_sessions::CloseConn>(&action)) {
      d_->loop_->Close(kLinkSpace + close->conn);
    }
  }

 private:
  Daemon* d_;
};

class Daemon::ListSide : public event_loop::Handler {
 public:
  // `others`: the daemons' entries; only the list of nodes goes to the core.
  ListSide(Daemon* d, discovery::RegistryClient* client, bool others)
      : d_(d), client_(client), others_(others) {}
  void Poll() {
    discovery::RegistryClient& list = *client_;
    list.Tick(d_->loop_->Now());
    for (;;) {
      const auto actions = std::exchange(list.actions(), {});
      if (actions.empty()) break;
      for (const auto& action : actions) {
        if (const auto* open = std::get_if<discovery::OpenTo>(&action)) {
          conn_ = d_->loop_->Connect(open->address, this, 0, d_->keys_.Session(open->address));
        } else if (const auto* send = std::get_if<discovery::SendData>(&action)) {
          d_->loop_->Send(conn_, send->bytes);
        } else {
          d_->loop_->Close(std::exchange(conn_, 0));
        }
      }
    }
    for (const job_manager::NodeListView& view : list.TakeViews()) {
      if (others_) continue;
      d_->core_.HandleNodeList(d_->loop_->Now(), view);
      d_->view_changed_ = true;
    }
  }
  void OnConnected(event_loop::ConnId conn) override {
    if (conn == conn_) client_->Connected(d_->loop_->Now());
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    if (conn == conn_) client_->Received(d_->loop_->Now(), bytes);
  }
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override {
    if (conn != conn_) return;
    conn_ = 0;
    client_->Closed(d_->loop_->Now(), reason);
    if (others_ || !d_->config_.core.settings.list_on_request) return;
    job_manager::NodeListView failed;
    failed.kind = NodeListKind::kUnavailable;
    d_->core_.HandleNodeList(d_->loop_->Now(), failed);
  }

 private:
  Daemon* d_;
  discovery::RegistryClient* client_;
  bool others_;
  event_loop::ConnId conn_ = 0;
};

// ---- The daemon ----

Daemon::Daemon(event_loop::Loop* loop, config::DaemonConfig config, std::shared_ptr<spdlog::logger> log)
    : loop_(loop),
      config_(std::move(config)),
      log_(std::move(log)),
      core_(config_.core, SeedOf(config_), loop->Now()),
      door_(config_.door),
      front_(&core_, config_.front),
      http_(&core_, &config_.front, &list_),
      links_(&core_, config_.front.words, config_.links),
      list_(config_.list, SeedOf(config_) ^ 0x6c697374),
      others_(OthersOf(config_), SeedOf(config_) ^ 0x6f746872),
      own_entry_(OwnEntryOf(config_), SeedOf(config_) ^ 0x6f776e),
      group_({config_.core.server, config_.group_most_age}),
      batch_side_(std::make_unique<BatchSide>(this)),
      http_side_(std::make_unique<HttpSide>(this)),
      link_side_(std::make_unique<LinkSide>(this)),
      list_side_(std::make_unique<ListSide>(this, &list_, false)),
      others_side_(std::make_unique<ListSide>(this, &others_, true)),
      keys_(config_.list_tls),
      own_entry_side_(std::make_unique<discovery::RegistrarLink>(loop, &own_entry_, &keys_)),
      gate_(GateOf(config_)),
      book_(config_.billing_rules) {
  front_.SetDoor(&door_);
  http_.SetDoor(&door_);
}

Daemon::~Daemon() {
  committer_.reset();
  ledger_committer_.reset();
  if (durable_fd_ >= 0) close(durable_fd_);
}

// ---- Durable state ----

bool Daemon::TakeLedgerRecord(std::string_view bytes, std::string* expected) {
  ledger::Record record;
  return ledger::Read(bytes, &record, expected) && book_.Apply(std::move(record), expected);
}

// Before the jobs' log is read: what that has more is put here.
bool Daemon::OpenLedger(std::string* error) {
  storage::LogOptions options;
  options.name = "ledger";
  auto log = std::make_unique<storage::Log>(files_.get(), options);
  std::string expected;
  storage::Replay replay;
  replay.record = [&](std::uint64_t sequence, std::string_view record) {
    if (expected.empty() && !TakeLedgerRecord(record, &expected))
      expected = "ledger record " + std::to_string(sequence) + ": expected " + expected;
  };
  std::vector<std::string> told;
  const bool open = log->Open(replay, &told, error);
  for (const std::string& text : told) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "storage"}, {"text", text}});
  }
  if (open && !expected.empty()) *error = config_.storage_folder + ": " + expected;
  if (!open || !expected.empty()) return false;
  outbox_ = ledger::Outbox(log->last());
  const int fd = durable_fd_;
  ledger_committer_ = std::make_unique<storage::Committer>(std::move(log), [fd] {
    const std::uint64_t one = 1;
    if (write(fd, &one, sizeof one) < 0) return;
  });
  http_.SetBook(&book_);
  core_.SetAdmissionCheck([this](const job_manager::JobSpec& spec) {
    const auto& tenants = core_.options().tenants;
    return book_.Refusal(spec.tenant < tenants.size() ? tenants[spec.tenant] : "", loop_->Now());
  });
  return true;
}

void Daemon::PostUse(const job_manager::ResourceUsage& used) {
  if (!ledger_committer_) return;
  ledger::Use use;
  use.attempt = core_.AttemptName(used.attempt);
  const job_manager::JobManagerOptions& o = core_.options();
  use.tenant = used.tenant < o.tenants.size() ? o.tenants[used.tenant] : "";
  use.task_class = used.task_class < o.classes.size() ? o.classes[used.task_class] : "";
  const job_manager::ListedNode* node = core_.FindNode(used.node);
  use.kind = node != nullptr ? node->kind : "";
  use.start = used.started, use.end = used.ended;
  use.millicores = std::llround(used.cores * 1000.0);
  use.mebibytes = std::llround(used.memory * config_.front.words.memory_unit / 1048576.0);
  const ledger::Decision decision = book_.Post(loop_->Now(), use);
  if (decision.verdict != ledger::Verdict::kPosted) {
    if (decision.verdict != ledger::Verdict::kTwice)
      WriteLine(*log_, job_manager::LogLevel::kWarn,
                {{"event", "ledger"}, {"text", "not counted: " + decision.reason}});
    return;
  }
  std::string expected;
  for (const ledger::Record& record : decision.records) {
    book_.Apply(record, &expected);
    ledger_records_.push_back(ledger::Write(record));
  }
}

bool Daemon::OpenStorage(std::string* error) {
  files_ = storage::PosixFiles::Open(config_.storage_folder, error);
  if (!files_) return false;
  durable_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (config_.billing && !OpenLedger(error)) return false;
  storage::LogOptions options;
  options.name = "jobs";
  auto log = std::make_unique<storage::Log>(files_.get(), options);
  std::string expected;
  const auto take = [&](std::string_view record) {
    if (ledger::Outbox::Is(record)) {
      if (!ledger_committer_) return true;  // billing was switched off since
      std::string of_ledger;
      bool lacks = false;
      if (!outbox_.Take(record, &of_ledger, &lacks, &expected)) return false;
      if (!lacks) return true;
      ledger_records_.push_back(of_ledger);
      return TakeLedgerRecord(of_ledger, &expected);
    }
    const auto restored = core_.Restore(record);
    if (!restored) expected = job_manager::Describe(restored.error());
    return restored.has_value();
  };
  storage::Replay replay;
  replay.snapshot = [&](std::uint64_t sequence, std::string_view state) {
    if (!job_manager::ForEachRecord(state, take) && expected.empty()) expected = "whole records";
    if (!expected.empty()) expected = "snapshot at " + std::to_string(sequence) + ": expected " + expected;
  };
  replay.record = [&](std::uint64_t sequence, std::string_view record) {
    if (expected.empty() && !take(record))
      expected = "record " + std::to_string(sequence) + ": expected " + expected;
  };
  std::vector<std::string> told;
  const bool open = log->Open(replay, &told, error);
  for (const std::string& text : told) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "storage"}, {"text", text}});
  }
  if (!open) return false;
  if (expected.empty()) {
    const auto restored = core_.FinishRestore(loop_->Now());
    if (!restored) expected = job_manager::Describe(restored.error());
  }
  if (!expected.empty()) {
    *error = config_.storage_folder + ": " + expected;
    return false;
  }
  if (ledger_committer_) ledger_turn_ = ledger_committer_->Add(std::exchange(ledger_records_, {}));
  const int fd = durable_fd_;
  loop_->OnReadable(fd, [fd] {
    std::uint64_t count = 0;
    return read(fd, &count, sizeof count) >= 0 || errno == EAGAIN;
  });
  committer_ = std::make_unique<storage::Committer>(std::move(log), [fd] {
    const std::uint64_t one = 1;
    if (write(fd, &one, sizeof one) < 0) return;  // it is readable already
  });
  return true;
}

// Danger: what need not wait must not overtake what does, on the same connection. While replies of it are
// held nothing more is read from it, so what is behind is bounded by one read.
void Daemon::Say(HttpReply reply, bool nothing_kept) {
  if (committer_ && !nothing_kept && gate_.Full()) {
    reply.bytes =
        http::WriteReply(503, {{"Content-Type", "text/plain"}}, gate_.Refusal() + "\n", !reply.close);
    nothing_kept = true;
  }
  if (committer_ && (!nothing_kept || http_behind_.count(reply.conn) > 0)) {
    ++http_behind_[reply.conn];
    loop_->PauseReading(reply.conn, true);
    return now_held_.http.push_back(std::move(reply));
  }
  Send(reply);
}

void Daemon::Send(const HttpReply& reply) {
  loop_->Send(reply.conn, reply.bytes);
  if (reply.close) loop_->Close(reply.conn, true);
}

bool Daemon::Hold() {
  now_held_.actions = std::exchange(links_.actions(), {});
  std::vector<std::string> records = core_.TakeJournal();
  for (const std::string& record : ledger_records_) records.push_back(outbox_.Put(record));
  const bool something = !now_held_.actions.empty() || !now_held_.touched.empty() || !now_held_.http.empty();
  if (!records.empty() || something) {
    const std::uint64_t turn = committer_->Add(std::move(records));
    if (!ledger_records_.empty()) ledger_turn_ = ledger_committer_->Add(std::exchange(ledger_records_, {}));
    if (something) {
      std::size_t bytes = 0;
      for (const HttpReply& reply : now_held_.http) bytes += reply.bytes.size();
      const std::uint64_t number = gate_.Hold(turn, bytes);
      for (const event_loop::ConnId conn : now_held_.touched) touched_in_[conn] = number;
      now_held_.since = loop_->Now();
      held_[number] = std::exchange(now_held_, {});
    }
  }
  return Release();
}

bool Daemon::Release() {
  CheckStorage();
  bool more = false;
  while (const auto number = gate_.Next()) {
    const auto node = held_.extract(*number);
    const Held& held = node.mapped();
    for (const node_sessions::LinkAction& action : held.actions) link_side_->Do(action);
    for (const HttpReply& reply : held.http) {
      Send(reply);
      const auto behind = http_behind_.find(reply.conn);
      if (--behind->second > 0) continue;
      http_behind_.erase(behind);
      loop_->PauseReading(reply.conn, false);
    }
    for (const event_loop::ConnId conn : held.touched) {
      const auto it = touched_in_.find(conn);
      if (it == touched_in_.end() || it->second != *number) continue;  // it said more since
      touched_in_.erase(it);
      batch_side_->Flush(conn);
      more = true;
    }
  }
  return more;
}

void Daemon::CheckStorage() {
  const storage::CommitStatus jobs = committer_->Status();
  storage::CommitStatus ledger;
  if (ledger_committer_) ledger = ledger_committer_->Status();
  gate_.Saw(jobs, ledger_committer_ ? &ledger : nullptr, ledger_turn_);
  for (const std::string& text : gate_.TakeComplaints()) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "storage"}, {"text", text}});
  }
  core_.RejectNewJobs(gate_.Refusal());
  door_.DiskOwes(held_.empty() ? 0 : loop_->Now() - held_.begin()->second.since);
}

bool Daemon::Start(std::string* error) {
  if (!keys_.Start(loop_->Now(), error)) return false;
  batch_listener_ = loop_->Listen(config_.batch_address, batch_side_.get(), error);
  if (batch_listener_ == 0) return false;
  if (!config_.http_address.empty()) {
    http_listener_ = loop_->Listen(config_.http_address, http_side_.get(), error);
    if (http_listener_ == 0) return false;
  }
  std::string host;
  int port = 0;
  event_loop::SplitAddress(config_.batch_address, &host, &port);
  if (config_.links.report_to.empty()) links_.SetReportTo(host + ":" + std::to_string(batch_port()));
  if (!config_.storage_folder.empty() && !OpenStorage(error)) return false;
  Recall();
  if (config_.group_from_registry) {
    job_manager::ListedNode self;  // an entry of the same form as a node's
    self.name = config_.core.server;
    self.address = host + ":" + std::to_string(batch_port());
    self.started = loop_->Now();
    own_entry_.Want(loop_->Now(), discovery::WriteEntry(self), true);
  }
  loop_->SetAfterTurn([this] { Pump(); });
  loop_->SetMainTimer(loop_->Now(), [this] {
    core_.Tick(loop_->Now());
    links_.Tick(loop_->Now());
    front_.Tick(loop_->Now());
  });
  job_manager::LogEntry entry;
  entry.event = "started";
  entry.text =
      config_.core.server + " batch " + std::to_string(batch_port()) + " http " + std::to_string(http_port());
  Log(entry);
  return true;
}

int Daemon::batch_port() const { return loop_->PortOf(batch_listener_); }
int Daemon::http_port() const { return loop_->PortOf(http_listener_); }

void Daemon::MeasureParts() {
  measure_ = true;
  core_.MeasureScheduler(CpuNs);
}

Spent Daemon::spent() const {
  Spent s = spent_;
  s.module = core_.scheduler_ns();
  s.total = CpuNs();
  return s;
}

pbs_server::Peer Daemon::PeerOf(const event_loop::PeerInfo& info) const {
  pbs_server::Peer peer;
  peer.address = info.address;
  if (!info.has_uid) return peer;
  peer.local = info.uid == 0 || info.uid == getuid();
  const passwd* entry = getpwuid(info.uid);
  peer.user = entry != nullptr ? entry->pw_name : std::to_string(info.uid);
  return peer;
}

void Daemon::Log(const job_manager::LogEntry& e) {
  const auto level = e.level == job_manager::LogLevel::kWarn ? spdlog::level::warn : spdlog::level::info;
  if (!log_->should_log(level)) return;
  nlohmann::json line = {{"event", e.event}};
  if (e.job != 0) line["job"] = core_.JobId(e.job);
  if (e.attempt != 0) line["attempt"] = core_.AttemptName({e.job, e.attempt});
  if (!e.node.empty()) line["node"] = e.node;
  if (!e.text.empty()) line["text"] = e.text;
  WriteLine(*log_, e.level, line);
}

void Daemon::Carry(const job_manager::Output& output) {
  const Micros now = loop_->Now();
  if (const auto* entry = std::get_if<job_manager::LogEntry>(&output)) return Log(*entry);
  if (const auto* answered = std::get_if<job_manager::JobAnswered>(&output)) {
    door_.Answered();
    return front_.On(now, *answered);
  }
  if (const auto* used = std::get_if<job_manager::ResourceUsage>(&output)) return PostUse(*used);
  if (const auto* ended = std::get_if<job_manager::JobCompleted>(&output)) return front_.On(now, *ended);
  if (std::holds_alternative<job_manager::ReadNodeList>(output)) return list_.ReadAnew(now);
  Timed timed(measure_, &spent_.links);
  links_.Take(now, output);
}

// Moves what the parts say to each other until they are quiet, then to the sockets.
void Daemon::Pump() {
  keys_.Poll(loop_->Now());
  for (const std::string& text : keys_.TakeComplaints()) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "tls"}, {"text", text}});
  }
  list_side_->Poll();
  if (config_.group_from_registry) PollGroup();
  bool admitted = false;
  for (;;) {
    const std::vector<job_manager::Output> outputs = std::exchange(core_.outputs(), {});
    for (const job_manager::Output& output : outputs) Carry(output);
    const std::vector<job_manager::NodeMessage> messages = std::exchange(links_.messages(), {});
    {
      Timed timed(measure_, &spent_.core);
      for (const job_manager::NodeMessage& message : messages) core_.HandleNodeMessage(loop_->Now(), message);
    }
    if (outputs.empty() && messages.empty()) {
      if (!admitted) {  // all that came for jobs that are in already went first
        admitted = true;
        Timed timed(measure_, &spent_.front);
        if (front_.Admit(loop_->Now())) continue;
      }
      const auto touched = front_.TakeTouched();
      if (committer_) {
        for (const event_loop::ConnId conn : touched) {
          if (front_.SaysNothingKept(conn) && touched_in_.count(conn) == 0) {
            batch_side_->Flush(conn);
          } else {
            now_held_.touched.push_back(conn);
          }
        }
        if (touched.empty() && !Hold()) break;
        continue;
      }
      for (event_loop::ConnId conn : touched) batch_side_->Flush(conn);
      if (touched.empty()) break;
    }
  }
  const std::vector<node_sessions::LinkAction> actions = std::exchange(links_.actions(), {});
  for (const node_sessions::LinkAction& action : actions) link_side_->Do(action);
  if (committer_ && gate_.SnapshotDue(loop_->Now())) committer_->Snapshot(core_.Snapshot());
  for (const std::string& text : front_.TakeComplaints(loop_->Now())) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "bad request"}, {"text", text}});
  }
  Remember();
  for (const std::string& text : list_.TakeComplaints()) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "list"}, {"text", text}});
  }
  if (stopping_ && ((!Owes() && gate_.Empty()) || loop_->Now() >= stop_at_)) {
    const job_manager::Counts c = core_.Count();
    WriteLine(*log_, job_manager::LogLevel::kInfo,
              {{"event", "stopped"},
               {"text", std::to_string(c.queued + c.waiting + c.held) + " jobs were not placed" +
                            (committer_ ? "; they are kept" : "")}});
    log_->flush();
    remembered_at_ = 0;
    Remember();
    loop_->Stop();
    return;
  }
  Rearm();
}

// The write holds up the loop for as long as the disk takes: seldom, and only when something changed.
void Daemon::Remember() {
  if (config_.list_snapshot.empty() || !view_changed_ || loop_->Now() < remembered_at_ + kRememberEvery)
    return;
  remembered_at_ = loop_->Now();
  view_changed_ = false;
  discovery::Snapshot snapshot;
  snapshot.taken_at = remembered_at_;
  core_.ForEachNode(
      [&snapshot](NodeId, const job_manager::ListedNode& node) { snapshot.nodes.push_back(node); });
  std::string error;
  if (discovery::SaveSnapshot(config_.list_snapshot, snapshot, &error)) return;
  WriteLine(*log_, job_manager::LogLevel::kWarn,
            {{"event", "list"}, {"text", "the view was not kept: " + error}});
}

void Daemon::Recall() {
  if (config_.list_snapshot.empty()) return;
  discovery::Snapshot snapshot;
  std::string error;
  if (!discovery::LoadSnapshot(config_.list_snapshot, &snapshot, &error)) {
    return WriteLine(*log_, job_manager::LogLevel::kWarn,
                     {{"event", "list"}, {"text", "no view from before: " + error}});
  }
  job_manager::NodeListView view;
  view.kind = NodeListKind::kCached;
  view.nodes = std::move(snapshot.nodes);
  const Micros age = loop_->Now() - std::min(loop_->Now(), snapshot.taken_at);
  WriteLine(*log_, job_manager::LogLevel::kInfo,
            {{"event", "list"},
             {"text", "remembered " + std::to_string(view.nodes.size()) + " nodes, " +
                          std::to_string(age / 1000) + " ms old"}});
  core_.HandleNodeList(loop_->Now(), view);
}

void Daemon::PollGroup() {
  own_entry_side_->Poll();
  others_side_->Poll();
  const Micros now = loop_->Now();
  const discovery::ViewStatus view = others_.Status(now);
  membership::GroupInput input;
  for (const auto& [key, kv] : others_.state().all())
    input.names.push_back(key.substr(config_.group_prefix.size()));
  input.known = view.known;
  const bool there = others_.state().all().count(config_.group_prefix + config_.core.server) > 0;
  if (view.known && !there) own_entry_.Missed(now - view.age);
  input.view_age = view.age;
  input.held_until = own_entry_.HeldUntil();
  input.history = others_.state().lives() + own_entry_.lives();  // both only grow
  input.now = now;
  if (const auto change = group_.Update(std::move(input))) {
    core_.HandleMembershipChange(now, *change);
    log_->flush_on(spdlog::level::info);  // rare, and worth seeing at once
    for (const job_manager::Output& output : std::exchange(core_.outputs(), {})) Carry(output);
    log_->flush_on(spdlog::level::warn);
  }
  for (const std::string& text : own_entry_.TakeComplaints()) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "list"}, {"text", text}});
  }
  for (const std::string& text : others_.TakeComplaints()) {
    WriteLine(*log_, job_manager::LogLevel::kWarn, {{"event", "list"}, {"text", "daemons: " + text}});
  }
}

void Daemon::Rearm() {
  Micros next = std::min(
      {core_.NextTimer(), links_.NextTimer(), front_.NextTimer(), list_.NextTimer(), keys_.NextTimer()});
  if (config_.group_from_registry) {
    next = std::min({next, own_entry_.NextTimer(), others_.NextTimer(), group_.NextTimer()});
  }
  if (stopping_) next = std::min(next, stop_at_);
  if (front_.at_door() > 0) next = loop_->Now();
  loop_->SetMainTimer(next, nullptr);
  door_.Turn(loop_->TurnBegan(), loop_->Now());
}

bool Daemon::Owes() const {
  const job_manager::Counts c = core_.Count();
  return c.queued > 0;  // with the module, or out at a node
}

void Daemon::Stop() {
  if (stopping_) return;
  stopping_ = true;
  own_entry_.Want(loop_->Now(), "", true);
  stop_at_ = loop_->Now() + config_.stop_grace;
  core_.StopAccepting();
}

}  // namespace mountflow::daemon
