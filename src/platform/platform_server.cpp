#include "platform/platform_server.hpp"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

namespace mountflow::daemon {
namespace {

constexpr std::size_t kMostRead = 16 << 10;
constexpr std::size_t kMostClosing = 4;  // out of the descriptors that are for the program itself
constexpr unsigned kLinesASecond = 20;

platform::NodeConnectionOptions LinksOf(const platform::PlatformConfig& config) {
  platform::NodeConnectionOptions options;
  options.most_connections = platform::SplitDescriptors(config.sockets).machines;
  if (config.wire.connect_timeout > 0) options.connect_timeout = config.wire.connect_timeout;
  // Well before the machine closes it: a set-up that crosses its close may have run.
  if (config.wire.conn_idle > 0) options.idle = config.wire.conn_idle / 3 * 2;
  return options;
}

bool ReadFile(const std::string& file, std::string* text) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return false;
  text->assign(std::istreambuf_iterator<char>(in), {});
  return !in.bad();
}

}  // namespace

void RateLimitedLog::Put(const std::string& line) {
  // A full pipe must not stop the scheduler; a write of up to PIPE_BUF bytes to a writable one does not
  // block.
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return;
  const std::string text = line.substr(0, 500) + "\n";
  while (write(STDERR_FILENO, text.data(), text.size()) < 0 && errno == EINTR) {
  }
}

void RateLimitedLog::Write(Micros now, const std::string& line) {
  if (now / 1'000'000 != second_) {
    if (left_out_ > 0) Put("(" + std::to_string(left_out_) + " more in that second)");
    second_ = now / 1'000'000;
    written_ = left_out_ = 0;
    said_.clear();
  }
  if (written_ < kLinesASecond && said_.insert(line).second) {
    ++written_;
    Put(line);
  } else {
    ++left_out_;
  }
}

PlatformServer::PlatformServer(event_loop::EventLoop* loop, const platform::PlatformConfig& config,
                               std::string config_file)
    : loop_(loop),
      config_(config),
      config_file_(std::move(config_file)),
      links_(LinksOf(config), this),
      tasks_(config.wire, config.seed, &links_, config.memory_mb * (1 << 20) / 16),
      owners_(platform::SplitDescriptors(config.sockets).owners, &tasks_, this),
      changes_(config.change_log, config.known_last, this) {}

bool PlatformServer::Start(std::string* error) {
  loop_->SetMaxUnsentBytes(config_.memory_mb * (1 << 20) / 512);  // of one connection
  loop_->SetMaxClosing(kMostClosing);
  loop_->SetMaxReadBytes(kMostRead);
  loop_->SetReportPeerUid(false);
  tasks_.Start(loop_->Now(), config_.known);
  std::vector<platform::NodeListChange>().swap(config_.known);
  const auto listener = loop_->Listen(config_.listen, this);
  if (!listener) {
    *error = event_loop::Describe(listener.error());
    return false;
  }
  listener_ = *listener;
  loop_->SetAfterTurn([this] { AfterTurn(); });
  loop_->SetMainTimer(loop_->Now(), [this] { OnTimer(); });
  return true;
}

void PlatformServer::Trace(std::FILE* to) {
  const auto write = [to](Micros at, const std::string& line) {
    std::fprintf(to, "%llu %s\n", static_cast<unsigned long long>(at), line.c_str());
    std::fflush(to);
  };
  tasks_.Trace(write);
  owners_.Trace(write);
}

void PlatformServer::OnAccepted(event_loop::ListenerId, event_loop::ConnId conn,
                                const event_loop::PeerInfo& peer) {
  last_new_ = loop_->Now();
  owners_.Accept(loop_->Now(), conn, peer.address);
}

void PlatformServer::OnConnected(event_loop::ConnId conn) {
  if (changes_.Owns(conn)) return changes_.OnConnected(loop_->Now(), conn);
  links_.OnConnected(loop_->Now(), conn);
}

void PlatformServer::OnReceived(event_loop::ConnId conn, std::string_view bytes) {
  const Micros now = loop_->Now();
  if (owners_.Owns(conn)) {
    owners_.OnBytes(now, conn, bytes);
    if (owners_.Full(conn)) loop_->PauseReading(conn, true);
  } else if (changes_.Owns(conn)) {
    changes_.OnBytes(now, conn, bytes);
    for (const platform::NodeListChange& change : changes_.Take()) tasks_.Fleet(now, change);
  } else if (links_.Owns(conn)) {
    links_.OnBytes(now, conn, bytes);
    tasks_.FromLinks(now);
  }
  owners_.Deliver(now);
}

void PlatformServer::OnSent(event_loop::ConnId conn) { links_.OnWritten(loop_->Now(), conn); }

void PlatformServer::OnClosed(event_loop::ConnId conn, const std::string& reason) {
  const Micros now = loop_->Now();
  if (owners_.Owns(conn)) {
    owners_.OnClosed(now, conn);
  } else if (changes_.Owns(conn)) {
    changes_.OnClosed(now, conn);
    for (const platform::NodeListChange& change : changes_.Take()) tasks_.Fleet(now, change);
  } else {
    links_.OnClosed(now, conn, event_loop::IsConnectionRefused(reason));
    tasks_.FromLinks(now);
  }
  owners_.Deliver(now);
}

void PlatformServer::OnTimer() {
  const Micros now = loop_->Now();
  tasks_.Tick(now);
  links_.Tick(now);
  tasks_.FromLinks(now);
  changes_.Tick(now);
  for (const platform::NodeListChange& change : changes_.Take()) tasks_.Fleet(now, change);
  owners_.Tick(now);
  owners_.Deliver(now);
}

void PlatformServer::AfterTurn() {
  const Micros now = loop_->Now();
  bool more = false;
  if (owners_.waiting()) {
    const std::vector<platform::ConnId> taken = owners_.Work(now);
    for (const platform::ConnId conn : taken) loop_->PauseReading(conn, false);
    owners_.Deliver(now);
    more = owners_.waiting();
  }
  for (const std::string& line : tasks_.TakeLog()) log_.Write(now, line);
  // Here, and not among the turn's timers: what came in the same turn is read after them, and a set-up taken
  // after the last answers would get none.
  MaybeLeave(now);
  Micros due = std::min({tasks_.NextDue(), links_.NextDue(), changes_.NextDue(), owners_.NextDue()});
  if (leaving_ != 0) due = std::min(due, looked_ ? now : now + 50'000);
  loop_->SetMainTimer(more ? now : due, {});
}

void PlatformServer::Reload() {
  std::string text, error;
  std::string address;
  if (!ReadFile(config_file_, &text)) {
    error = "cannot be read";
  } else {
    address = platform::ReadChangeLogAddress(text, &error);
  }
  if (address.empty()) return Log("new configuration not taken: " + config_file_ + ": " + error);
  Log("new configuration: change log at " + address);
  changes_.Follow(loop_->Now(), address);
}

void PlatformServer::Leave() {
  if (leaving_ != 0) return;
  leaving_ = loop_->Now();
  owners_.SetReady(false);
  Log("leaving: tests fail from now on; what is open is answered");
}

void PlatformServer::MaybeLeave(Micros now) {
  if (leaving_ == 0 || now < leaving_ + kLeaveAfter) return;
  const Micros last = leaving_ + std::min(kLeaveLongest, config_.wire.longest_deadline) + kLeaveMargin;
  if (now < last &&
      (tasks_.open() > 0 || owners_.Owes() || now < std::max(last_new_, tasks_.last_asked()) + kLeaveQuiet)) {
    looked_ = false;
    return;
  }
  tasks_.FailOpen(now);
  owners_.Deliver(now);
  // The end of the program is the end of its sockets: what their owners have not taken yet would never come.
  if (now < last + kLeaveFlush && (owners_.Owes() || loop_->closing_count() > 0)) return;
  // One more turn that takes what lies in the kernel: a turn that a timer or a signal began has read nothing.
  if (!std::exchange(looked_, true)) return;
  Log("left");
  loop_->Stop();
}

platform::ConnId PlatformServer::Connect(const std::string& address) { return loop_->Connect(address, this); }
void PlatformServer::Send(platform::ConnId conn, std::string_view bytes) { loop_->Send(conn, bytes); }
bool PlatformServer::AllWritten(platform::ConnId conn) const { return loop_->AllWritten(conn); }
bool PlatformServer::HungUp(platform::ConnId conn) const { return loop_->PeerClosed(conn); }
void PlatformServer::Close(platform::ConnId conn, bool flush) { loop_->Close(conn, flush); }
void PlatformServer::Log(const std::string& line) { log_.Write(loop_->Now(), line); }

int RunPlatform(const std::string& trace) {
  // Before anything else: until then SIGHUP and SIGTERM end the program where it stands.
  event_loop::EventLoop loop;
  PlatformServer* told = nullptr;
  loop.OnSignal(SIGTERM, [&told] { told->Leave(); });
  loop.OnSignal(SIGINT, [&told] { told->Leave(); });
  loop.OnSignal(SIGHUP, [&told] { told->Reload(); });
  const char* file = std::getenv("LB_CONFIG");
  std::string text;
  if (file == nullptr || !ReadFile(file, &text)) {
    std::fprintf(stderr, "mountflowd: LB_CONFIG: expected a file that can be read, got '%s'\n",
                 file == nullptr ? "" : file);
    return 1;
  }
  const platform::PlatformConfig config =
      platform::ReadPlatformConfig(text, std::getenv("LB_NAME"), std::getenv("LB_LISTEN"));
  std::string().swap(text);
  for (const std::string& error : config.errors) std::fprintf(stderr, "mountflowd: %s\n", error.c_str());
  if (!config.ok()) return 1;
  PlatformServer shell(&loop, config, file);
  if (!trace.empty()) {
    std::FILE* to = std::fopen(trace.c_str(), "w");
    if (to == nullptr) {
      std::fprintf(stderr, "mountflowd: --trace: expected a file that can be written, got '%s'\n",
                   trace.c_str());
      return 1;
    }
    shell.Trace(to);
  }
  std::string error;
  if (!shell.Start(&error)) {
    std::fprintf(stderr, "mountflowd: listen: %s\n", error.c_str());
    return 1;
  }
  told = &shell;  // signals are told in Run() alone
  shell.Log("mountflowd " + config.name + " serves on " + config.listen);
  loop.Run();
  return 0;
}

}  // namespace mountflow::daemon
