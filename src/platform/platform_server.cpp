#include "platform/platform_server.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "platform/nonblocking_stderr_sink.hpp"
#include "platform/rate_limited_sink.hpp"

namespace mountflow::daemon {
namespace {

// Maximum bytes read from one connection at a time, so that one that sends a lot does not delay the others.
constexpr std::size_t kMaxReadBytes = 16 << 10;
// Maximum number of closed connections that still flush. They use descriptors reserved for the program
// itself.
constexpr std::size_t kMaxClosing = 4;
// Divisors of the memory limit: for the descriptions of all pending requests together, and for the unsent
// bytes of one connection.
constexpr std::size_t kDescriptionShare = 16;
constexpr std::size_t kUnsentShare = 512;
constexpr std::size_t kBytesPerMegabyte = 1 << 20;

platform::NodeConnectionOptions MakeNodeConnectionOptions(const platform::PlatformConfig& config) {
  platform::NodeConnectionOptions options;
  options.max_connections = platform::SplitDescriptors(config.sockets).nodes;
  if (config.wire.connect_timeout > 0) options.connect_timeout = config.wire.connect_timeout;
  // Well before the node closes the connection: an attempt that is sent while the node closes it may have
  // run.
  if (config.wire.conn_idle > 0) options.idle_timeout = config.wire.conn_idle / 3 * 2;
  return options;
}

spdlog::sink_ptr MakeLogSink() {
  return std::make_shared<platform::RateLimitedSink>(std::make_shared<platform::NonblockingStderrSink>());
}

// Returns the content of a file, or nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text(std::istreambuf_iterator<char>(in), {});
  if (in.bad()) return std::nullopt;
  return text;
}

}  // namespace

PlatformServer::PlatformServer(event_loop::EventLoop* loop, const platform::PlatformConfig& config,
                               std::string config_file)
    : loop_(loop),
      config_(config),
      config_file_(std::move(config_file)),
      log_("platform", MakeLogSink()),
      node_connections_(MakeNodeConnectionOptions(config), this),
      dispatcher_(config.wire, config.seed, &node_connections_,
                  config.memory_mb * kBytesPerMegabyte / kDescriptionShare),
      client_connections_(platform::SplitDescriptors(config.sockets).clients, &dispatcher_, this),
      node_watch_(config.change_log, config.known_last, this),
      shutdown_(config.wire.longest_deadline) {}

tl::expected<void, event_loop::EventLoopError> PlatformServer::Start() {
  ConfigureLoop();
  dispatcher_.Start(loop_->Now(), config_.known);
  std::vector<platform::NodeListEvent>().swap(config_.known);  // releases its memory
  const auto listener = loop_->Listen(config_.listen, this);
  if (!listener) return tl::unexpected(listener.error());
  listener_ = *listener;
  loop_->SetAfterTurn([this] { OnTurnEnded(); });
  loop_->SetMainTimer(loop_->Now(), [this] { OnTimer(); });
  return {};
}

void PlatformServer::ConfigureLoop() {
  loop_->SetMaxUnsentBytes(config_.memory_mb * kBytesPerMegabyte / kUnsentShare);
  loop_->SetMaxClosing(kMaxClosing);
  loop_->SetMaxReadBytes(kMaxReadBytes);
  loop_->SetReportPeerUid(false);
}

void PlatformServer::TraceTo(std::FILE* file) {
  const auto write_line = [file](Micros at, const std::string& line) {
    std::fprintf(file, "%llu %s\n", static_cast<unsigned long long>(at), line.c_str());
    std::fflush(file);
  };
  dispatcher_.SetTrace(write_line);
  client_connections_.SetTrace(write_line);
}

// ---- Callbacks of the event loop ----

void PlatformServer::OnAccepted(event_loop::ListenerId /*listener*/, event_loop::ConnId conn,
                                const event_loop::PeerInfo& peer) {
  last_accepted_at_ = loop_->Now();
  client_connections_.Accept(loop_->Now(), conn, peer.address);
}

void PlatformServer::OnConnected(event_loop::ConnId conn) {
  if (node_watch_.Owns(conn)) return node_watch_.OnConnected(loop_->Now(), conn);
  node_connections_.OnConnected(loop_->Now(), conn);
}

void PlatformServer::OnReceived(event_loop::ConnId conn, std::string_view bytes) {
  const Micros now = loop_->Now();
  if (client_connections_.HasConnection(conn)) {
    client_connections_.OnBytes(now, conn, bytes);
    if (client_connections_.HasBacklog(conn)) loop_->PauseReading(conn, true);
  } else if (node_watch_.Owns(conn)) {
    node_watch_.OnBytes(now, conn, bytes);
    ApplyNodeListEvents(now);
  } else if (node_connections_.HasConnection(conn)) {
    node_connections_.OnBytes(now, conn, bytes);
    dispatcher_.HandleNodeEvents(now);
  }
  client_connections_.DeliverNotifications(now);
}

void PlatformServer::OnSent(event_loop::ConnId conn) { node_connections_.OnWritten(loop_->Now(), conn); }

void PlatformServer::OnClosed(event_loop::ConnId conn, const std::string& reason) {
  const Micros now = loop_->Now();
  if (client_connections_.HasConnection(conn)) {
    client_connections_.OnClosed(now, conn);
  } else if (node_watch_.Owns(conn)) {
    node_watch_.OnClosed(now, conn);
    ApplyNodeListEvents(now);
  } else {
    node_connections_.OnClosed(now, conn, event_loop::IsConnectionRefused(reason));
    dispatcher_.HandleNodeEvents(now);
  }
  client_connections_.DeliverNotifications(now);
}

void PlatformServer::OnTimer() {
  const Micros now = loop_->Now();
  dispatcher_.Tick(now);
  node_connections_.Tick(now);
  dispatcher_.HandleNodeEvents(now);
  node_watch_.Tick(now);
  ApplyNodeListEvents(now);
  client_connections_.Tick(now);
  client_connections_.DeliverNotifications(now);
}

void PlatformServer::ApplyNodeListEvents(Micros now) {
  for (const platform::NodeListEvent& change : node_watch_.Take()) dispatcher_.ApplyNodeList(now, change);
}

void PlatformServer::OnTurnEnded() {
  const Micros now = loop_->Now();
  ProcessClientBacklog(now);
  for (const logging::LogRecord& record : dispatcher_.TakeLogRecords()) Log(record);
  // This is done here and not in the turn's timers, because the loop reads input after it runs the timers. A
  // request read after the last check for remaining work would get no answer.
  ContinueShutdown(now);
  SetNextTimer(now);
}

void PlatformServer::ProcessClientBacklog(Micros now) {
  if (!client_connections_.has_backlog()) return;
  for (const platform::ConnId conn : client_connections_.ProcessBacklog(now)) {
    loop_->PauseReading(conn, false);
  }
  client_connections_.DeliverNotifications(now);
}

void PlatformServer::SetNextTimer(Micros now) {
  const Micros due =
      client_connections_.has_backlog()
          ? now
          : std::min({dispatcher_.NextDue(), node_connections_.NextDue(), node_watch_.NextDue(),
                      client_connections_.NextDue(), shutdown_.NextCheck(now)});
  loop_->SetMainTimer(due, {});
}

// ---- Reload and shutdown ----

void PlatformServer::Reload() {
  const std::optional<std::string> text = ReadFile(config_file_);
  std::string error = "expected a readable file";
  if (text.has_value()) {
    const auto address = platform::ReadChangeLogAddress(*text);
    if (address) {
      Log({logging::LogEvent::kConfigReloaded, {{logging::kAddressField, *address}}});
      node_watch_.SetAddress(loop_->Now(), *address);
      return;
    }
    error = Describe(address.error());
  }
  Log({logging::LogEvent::kConfigReloadFailed,
       {{logging::kFileField, config_file_}, {logging::kReasonField, error}}});
}

void PlatformServer::Shutdown() {
  if (!shutdown_.Begin(loop_->Now())) return;
  client_connections_.SetReady(false);
  Log({logging::LogEvent::kShutdownStarted});
}

void PlatformServer::ContinueShutdown(Micros now) {
  platform::GracefulShutdown::Work work;
  work.unanswered_requests = dispatcher_.requests().unanswered() > 0;
  work.unfinished_clients = client_connections_.HasUnfinishedWork();
  work.unconfirmed_terminations = node_connections_.AwaitsTerminations(now);
  work.last_arrival_at = std::max(last_accepted_at_, dispatcher_.last_submitted_at());
  if (!shutdown_.CheckWork(now, work)) return;
  dispatcher_.FailUnanswered(now);
  client_connections_.DeliverNotifications(now);
  shutdown_.FinishTurn(now, client_connections_.HasUnfinishedWork() || loop_->closing_count() > 0);
  if (shutdown_.state() != platform::GracefulShutdown::State::kStopped) return;
  Log({logging::LogEvent::kShutdownFinished});
  loop_->Stop();
}

// ---- Implementation of Transport ----

platform::ConnId PlatformServer::Connect(const std::string& address) { return loop_->Connect(address, this); }
void PlatformServer::Send(platform::ConnId conn, std::string_view bytes) { loop_->Send(conn, bytes); }
bool PlatformServer::AllWritten(platform::ConnId conn) const { return loop_->AllWritten(conn); }
bool PlatformServer::HungUp(platform::ConnId conn) const { return loop_->PeerClosed(conn); }
void PlatformServer::Close(platform::ConnId conn, bool flush) { loop_->Close(conn, flush); }

// Uses the event loop's clock for the timestamp, because the system clock may jump.
void PlatformServer::Log(const logging::LogRecord& record) {
  const spdlog::log_clock::time_point now{std::chrono::microseconds(loop_->Now())};
  log_.log(now, spdlog::source_loc{}, spdlog::level::info, logging::FormatKeyValue(record));
}

// ---- Program entry ----

namespace {

// Reads and parses the configuration. If it cannot be used, prints the errors to standard error and returns
// nothing.
std::optional<platform::PlatformConfig> ReadConfiguration(const char* file) {
  std::optional<std::string> text;
  if (file != nullptr) text = ReadFile(file);
  if (!text.has_value()) {
    std::fprintf(stderr, "mountflowd: LB_CONFIG: expected a readable file, got '%s'\n",
                 file == nullptr ? "" : file);
    return std::nullopt;
  }
  platform::PlatformConfig config =
      platform::ReadPlatformConfig(*text, std::getenv("LB_NAME"), std::getenv("LB_LISTEN"));
  for (const platform::ConfigError& error : config.errors) {
    std::fprintf(stderr, "mountflowd: %s\n", Describe(error).c_str());
  }
  if (!config.ok()) return std::nullopt;
  return config;
}

// Opens the trace file and starts tracing. If the file cannot be opened, prints the reason to standard error
// and returns false. The file stays open until the program ends.
bool StartTrace(PlatformServer& server, const std::string& file_name) {
  if (file_name.empty()) return true;
  std::FILE* file = std::fopen(file_name.c_str(), "w");
  if (file == nullptr) {
    std::fprintf(stderr, "mountflowd: --trace: expected a writable file, got '%s'\n", file_name.c_str());
    return false;
  }
  server.TraceTo(file);
  return true;
}

}  // namespace

int RunPlatform(const std::string& trace_file) {
  // The signal handlers are installed first, because without them SIGHUP and SIGTERM would kill the program.
  // They are called only from Run(), when `server` is set.
  event_loop::EventLoop loop;
  PlatformServer* server = nullptr;
  loop.OnSignal(SIGTERM, [&server] { server->Shutdown(); });
  loop.OnSignal(SIGINT, [&server] { server->Shutdown(); });
  loop.OnSignal(SIGHUP, [&server] { server->Reload(); });
  const char* config_file = std::getenv("LB_CONFIG");
  const std::optional<platform::PlatformConfig> config = ReadConfiguration(config_file);
  if (!config.has_value()) return 1;
  PlatformServer platform_server(&loop, *config, config_file);
  if (!StartTrace(platform_server, trace_file)) return 1;
  if (const auto started = platform_server.Start(); !started) {
    std::fprintf(stderr, "mountflowd: listen: %s\n", Describe(started.error()).c_str());
    return 1;
  }
  server = &platform_server;
  platform_server.Log({logging::LogEvent::kPlatformStarted,
                       {{logging::kServerField, config->name}, {logging::kAddressField, config->listen}}});
  loop.Run();
  return 0;
}

}  // namespace mountflow::daemon
