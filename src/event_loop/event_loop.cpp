#include "event_loop/event_loop.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <optional>
#include <system_error>
#include <utility>

#include "event_loop/connection_table.hpp"
#include "event_loop/libev_watchers.hpp"
#include "event_loop/listener_table.hpp"
#include "event_loop/loop_context.hpp"
#include "event_loop/process_events.hpp"

namespace mountflow::event_loop {
namespace {

// Returns a new non-blocking socket whose connect() is in progress.
tl::expected<int, std::error_code> StartConnecting(const sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return tl::make_unexpected(std::error_code(errno, std::generic_category()));
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 || errno == EINPROGRESS) {
    return fd;
  }
  const std::error_code error(errno, std::generic_category());
  close(fd);
  return tl::make_unexpected(error);
}

}  // namespace

struct EventLoop::Impl {
  Impl()
      : timer(context.libev, [this] { context.timers.RunDue(context.clock.Now()); }),
        turns(
            context.libev, [this] { EndTurn(); }, [this] { BeginTurn(); }) {}

  void BeginTurn() {
    previous_turn_start = turn_start;
    turn_start = context.clock.Now();
  }

  void EndTurn() {
    if (after_turn) after_turn();
    const Micros due = context.timers.NextDue();
    if (due == kNever) {
      timer.Disarm();
      return;
    }
    const Micros now = context.clock.Now();
    timer.Arm(due > now ? due - now : 0);
  }

  LoopContext context;
  ProcessEvents processes{&context.libev};
  ListenerTable listeners{&context, &connections};  // destroyed after the connections
  ConnectionTable connections{&context};
  TimerWatcher timer;
  TurnWatcher turns;
  Micros turn_start = context.clock.Now();
  Micros previous_turn_start = turn_start;
  std::function<void()> after_turn;
};

EventLoop::EventLoop() {
  (void)std::signal(SIGPIPE, SIG_IGN);
  impl_ = std::make_unique<Impl>();
}

EventLoop::~EventLoop() = default;

Micros EventLoop::Now() const { return impl_->context.clock.Now(); }
Micros EventLoop::TurnStart() const { return impl_->turn_start; }
Micros EventLoop::PreviousTurnStart() const { return impl_->previous_turn_start; }
void EventLoop::Run() { impl_->context.libev.Run(); }
void EventLoop::Stop() { impl_->context.libev.Stop(); }

// ---- Listeners ----

tl::expected<ListenerId, EventLoopError> EventLoop::Listen(const std::string& address,
                                                           ConnectionHandler* handler,
                                                           FilterFactory filters) {
  return impl_->listeners.Listen(address, handler, std::move(filters));
}

int EventLoop::PortOf(ListenerId listener) const { return impl_->listeners.PortOf(listener); }
void EventLoop::CloseListener(ListenerId listener) { impl_->listeners.Close(listener); }

void EventLoop::PauseAccepting(ListenerId listener, bool pause) {
  impl_->listeners.PauseAccepting(listener, pause);
}

void EventLoop::SetReportPeerUid(bool report) { impl_->listeners.set_report_peer_uid(report); }

// ---- Connections ----

ConnId EventLoop::Connect(const std::string& address, ConnectionHandler* handler, ConnId id,
                          std::unique_ptr<ConnectionFilter> filter) {
  if (id == 0) id = NewConnectionId();
  std::string reason;
  if (const std::optional<sockaddr_in> socket_address = ParseSocketAddress(address)) {
    const tl::expected<int, std::error_code> fd = StartConnecting(*socket_address);
    if (fd) {
      impl_->connections.AddConnecting(id, *fd, handler, std::move(filter));
      return id;
    }
    reason = fd.error().message();
  } else {
    reason = Describe(EventLoopError{EventLoopErrorCode::kInvalidAddress, address, {}});
  }
  AddTimer(Now(), [handler, id, reason] { handler->OnClosed(id, reason); });
  return id;
}

ConnId EventLoop::NewConnectionId() { return impl_->context.NewId(); }

void EventLoop::Send(ConnId connection, std::string_view bytes) {
  impl_->connections.Send(connection, bytes);
}

std::size_t EventLoop::UnsentBytes(ConnId connection) const {
  return impl_->connections.UnsentBytes(connection);
}

bool EventLoop::AllWritten(ConnId connection) const { return impl_->connections.AllWritten(connection); }
bool EventLoop::PeerClosed(ConnId connection) const { return impl_->connections.PeerClosed(connection); }

void EventLoop::PauseReading(ConnId connection, bool pause) {
  impl_->connections.PauseReading(connection, pause);
}

void EventLoop::Close(ConnId connection, bool flush) { impl_->connections.Close(connection, flush); }
void EventLoop::Abort(ConnId connection) { impl_->connections.Abort(connection); }
void EventLoop::SetMaxClosing(std::size_t max) { impl_->connections.set_max_closing(max); }
std::size_t EventLoop::closing_count() const { return impl_->connections.closing_count(); }
void EventLoop::SetMaxUnsentBytes(std::size_t bytes) { impl_->connections.set_max_unsent_bytes(bytes); }
void EventLoop::SetMaxReadBytes(std::size_t bytes) { impl_->connections.set_max_read_bytes(bytes); }

// ---- Timers and turns ----

TimerId EventLoop::AddTimer(Micros due, std::function<void()> callback) {
  return impl_->context.AddTimer(due, std::move(callback));
}

void EventLoop::CancelTimer(TimerId timer) { impl_->context.timers.Cancel(timer); }

void EventLoop::SetMainTimer(Micros due, std::function<void()> callback) {
  impl_->context.timers.SetMain(due, std::move(callback));
}

void EventLoop::SetAfterTurn(std::function<void()> callback) { impl_->after_turn = std::move(callback); }

// ---- Signals, descriptors and child processes ----

void EventLoop::OnSignal(int signal, std::function<void()> callback) {
  impl_->processes.OnSignal(signal, std::move(callback));
}

void EventLoop::OnReadable(int fd, std::function<bool()> callback) {
  impl_->processes.OnReadable(fd, std::move(callback));
}

void EventLoop::OnChild(int pid, std::function<void(int)> callback) {
  impl_->processes.OnChild(pid, std::move(callback));
}

}  // namespace mountflow::event_loop
