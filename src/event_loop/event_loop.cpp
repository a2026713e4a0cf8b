#include "event_loop/event_loop.hpp"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mountflow::event_loop {
namespace {

constexpr std::size_t kReadChunk = 64 << 10;
constexpr Micros kFlushTime = 10'000'000;
constexpr Micros kHandshakeTime = 10'000'000;  // of a connection that was accepted
constexpr Micros kAcceptRest = 100'000;        // when there is no descriptor for a connection
constexpr int kAcceptsPerTurn = 64;            // so that a flood of connections does not hold up the others

std::string TextOf(const sockaddr_in& address) {
  char ip[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

bool ParseAddress(const std::string& text, sockaddr_in* address) {
  std::string host;
  int port = 0;
  if (!SplitAddress(text, &host, &port)) return false;
  memset(address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<std::uint16_t>(port));
  if (host == "localhost") host = "127.0.0.1";
  return inet_pton(AF_INET, host.c_str(), &address->sin_addr) == 1;
}

std::uint64_t Clock(clockid_t clock) {
  timespec t;
  clock_gettime(clock, &t);
  return static_cast<std::uint64_t>(t.tv_sec) * 1'000'000u + static_cast<std::uint64_t>(t.tv_nsec) / 1000u;
}

}  // namespace

bool SplitAddress(const std::string& address, std::string* host, int* port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  const char* from = address.data() + colon + 1;
  const char* to = address.data() + address.size();
  const auto read = std::from_chars(from, to, *port);
  if (read.ec != std::errc() || read.ptr != to || *port < 0 || *port > 65535) return false;
  *host = address.substr(0, colon);
  return true;
}

bool IsConnectionRefused(const std::string& reason) { return reason == strerror(ECONNREFUSED); }

// Asks the kernel by NETLINK_SOCK_DIAG for the socket whose own end is our peer.
bool PeerUid(int fd, std::uint32_t* uid) {
  sockaddr_in peer{}, self{};
  socklen_t size = sizeof peer;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return false;
  size = sizeof self;
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&self), &size) != 0) return false;
  if (peer.sin_family != AF_INET) return false;
  static const int diag = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (diag < 0) return false;
  struct {
    nlmsghdr head;
    inet_diag_req_v2 ask;
  } request{};
  request.head.nlmsg_len = sizeof request;
  request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.head.nlmsg_flags = NLM_F_REQUEST;
  request.ask.sdiag_family = AF_INET;
  request.ask.sdiag_protocol = IPPROTO_TCP;
  request.ask.idiag_states = ~0u;
  request.ask.id.idiag_sport = peer.sin_port;
  request.ask.id.idiag_dport = self.sin_port;
  request.ask.id.idiag_src[0] = peer.sin_addr.s_addr;
  request.ask.id.idiag_dst[0] = self.sin_addr.s_addr;
  request.ask.id.idiag_cookie[0] = request.ask.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  if (send(diag, &request, sizeof request, 0) < 0) return false;
  char answer[4096];
  const ssize_t got = recv(diag, answer, sizeof answer, 0);
  if (got < static_cast<ssize_t>(sizeof(nlmsghdr) + sizeof(inet_diag_msg))) return false;
  const auto* head = reinterpret_cast<const nlmsghdr*>(answer);
  if (head->nlmsg_type != SOCK_DIAG_BY_FAMILY) return false;
  *uid = reinterpret_cast<const inet_diag_msg*>(NLMSG_DATA(head))->idiag_uid;
  return true;
}

struct EventLoop::Impl {
  struct Conn {
    ev_io io;
    Impl* impl = nullptr;
    ConnId id = 0;
    int fd = -1;
    ConnectionHandler* handler = nullptr;
    bool connecting = false;
    bool paused = false;
    bool closing = false;  // flush, then close
    std::string unsent;
    std::size_t sent = 0;
    // With a filter: not ready yet; what the handler sent meanwhile; and, when accepted, whom to tell of it.
    std::unique_ptr<ConnectionFilter> filter;
    bool shaking = false;
    std::string early;
    ListenerId listener = 0;
    PeerInfo info;
  };
  struct Listener {
    ev_io io;
    Impl* impl = nullptr;
    ListenerId id = 0;
    int fd = -1;
    int port = 0;
    ConnectionHandler* handler = nullptr;
    bool paused = false;
    FilterFactory filters;
  };
  struct Signal {
    ev_signal watcher;
    std::function<void()> call;
  };
  struct Readable {
    ev_io io;
    Impl* impl = nullptr;
    int fd = -1;
    std::function<bool()> call;
  };
  struct Child {
    ev_child watcher;
    Impl* impl = nullptr;
    std::function<void(int)> call;
  };

  struct ev_loop* loop = nullptr;
  std::uint64_t wall_start = 0, mono_start = 0;
  std::uint64_t next_id = 0;
  std::size_t most_unsent = 64u << 20;
  std::size_t most_read = kReadChunk;
  bool tell_peers = true;
  std::size_t shaking = 0;    // accepted connections whose filter is not ready yet
  std::list<ConnId> closing;  // the oldest first
  std::size_t most_closing = 1024;
  std::unordered_map<ConnId, std::unique_ptr<Conn>> conns;
  std::map<ListenerId, std::unique_ptr<Listener>> listeners;
  std::list<std::unique_ptr<Signal>> signals;
  std::map<int, std::unique_ptr<Child>> children;
  std::map<int, std::unique_ptr<Readable>> readables;
  std::multimap<Micros, std::pair<std::uint64_t, std::function<void()>>> timers;
  std::unordered_map<std::uint64_t, Micros> timer_at;
  ev_timer timer;
  ev_prepare prepare;
  ev_check check;
  Micros turn_began = 0, turn_before_began = 0;
  Micros main_at = ~Micros{0};
  std::function<void()> main_call, after_turn;

  Micros Now() const { return wall_start + (Clock(CLOCK_MONOTONIC) - mono_start); }

  void Arm() {
    Micros next = main_at;
    if (!timers.empty()) next = std::min(next, timers.begin()->first);
    ev_timer_stop(loop, &timer);
    if (next == ~Micros{0}) return;
    const Micros now = Now();
    const double wait = next > now ? static_cast<double>(next - now) * 1e-6 : 0.0;
    ev_now_update(loop);
    ev_timer_set(&timer, wait, 0.0);
    ev_timer_start(loop, &timer);
  }

  void OnTimer() {
    const Micros now = Now();
    while (!timers.empty() && timers.begin()->first <= now) {
      auto call = std::move(timers.begin()->second);
      timers.erase(timers.begin());
      timer_at.erase(call.first);
      call.second();
    }
    if (main_at <= now && main_call) {
      main_at = ~Micros{0};
      main_call();
    }
  }

  void Watch(Conn& c) {
    int wanted = 0;
    if (c.connecting || c.sent < c.unsent.size()) wanted |= EV_WRITE;
    if (!c.connecting && !c.paused && !c.closing) wanted |= EV_READ;
    if ((c.io.events & (EV_READ | EV_WRITE)) == wanted && ev_is_active(&c.io)) return;
    ev_io_stop(loop, &c.io);
    ev_io_set(&c.io, c.fd, wanted);
    if (wanted != 0) ev_io_start(loop, &c.io);
  }

  void Remove(ConnId id, bool reset = false) {
    const auto it = conns.find(id);
    if (it == conns.end()) return;
    Conn& c = *it->second;
    if (c.shaking && c.listener != 0) --shaking;
    if (c.closing) closing.remove(id);
    ev_io_stop(loop, &c.io);
    if (reset) {
      linger hard{1, 0};
      setsockopt(c.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }
    close(c.fd);
    conns.erase(it);
  }

  void Fail(Conn& c, const std::string& reason) {
    // One that was never told as accepted is not told as closed.
    ConnectionHandler* handler = c.closing || (c.shaking && c.listener != 0) ? nullptr : c.handler;
    const ConnId id = c.id;
    Remove(id);
    if (handler != nullptr) handler->OnClosed(id, reason);
  }

  // False when the connection failed.
  bool Write(Conn& c) {
    while (c.sent < c.unsent.size()) {
      const ssize_t n = send(c.fd, c.unsent.data() + c.sent, c.unsent.size() - c.sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (n < 0) return false;
      c.sent += static_cast<std::size_t>(n);
    }
    if (c.sent == c.unsent.size()) {
      c.unsent.clear();
      c.sent = 0;
      if (c.unsent.capacity() > kReadChunk) c.unsent.shrink_to_fit();
    } else if (c.sent > (1u << 20)) {
      c.unsent.erase(0, c.sent);
      c.sent = 0;
    }
    return true;
  }

  void OnIo(ConnId id, int events) {
    auto it = conns.find(id);
    if (it == conns.end()) return;
    if (it->second->connecting) {
      Conn& c = *it->second;
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(c.fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return Fail(c, strerror(error));
      c.connecting = false;
      if (c.filter) return StartFilter(c);
      Watch(c);
      c.handler->OnConnected(id);
      return;
    }
    if ((events & EV_WRITE) != 0) {
      Conn& c = *it->second;
      if (!Write(c)) return Fail(c, strerror(errno));
      const bool drained = c.unsent.empty();
      if (drained && c.closing) return Remove(id);
      Watch(c);
      if (drained && !c.shaking) c.handler->OnSent(id);
      it = conns.find(id);
      if (it == conns.end()) return;
    }
    if ((events & EV_READ) != 0 && !it->second->closing && !it->second->paused) {
      static char buffer[kReadChunk];
      const ssize_t n = recv(it->second->fd, buffer, most_read, 0);
      if (n > 0) {
        const std::string_view bytes(buffer, static_cast<std::size_t>(n));
        if (it->second->filter) return ThroughFilter(id, bytes);
        return it->second->handler->OnReceived(id, bytes);
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      Fail(*it->second, n == 0 ? "closed by peer" : strerror(errno));
    }
  }

  void StartFilter(Conn& c) {
    c.shaking = true;
    if (c.listener != 0) ++shaking;
    c.filter->Start(&c.unsent);
    if (!Write(c)) return Fail(c, strerror(errno));
    Watch(c);
    if (c.listener == 0) return;  // who connects has a time limit of its own
    const ConnId id = c.id;
    timers.emplace(Now() + kHandshakeTime, std::make_pair(++next_id, [this, id] {
                     const auto it = conns.find(id);
                     if (it != conns.end() && it->second->shaking) Remove(id, true);
                   }));
  }

  // Each call of the handler may end the connection.
  void ThroughFilter(ConnId id, std::string_view bytes) {
    Conn* c = conns.at(id).get();
    std::string plain;
    const bool good = c->filter->Receive(bytes, &plain, &c->unsent);
    const std::string why = c->filter->error();
    if (!Write(*c)) return Fail(*c, strerror(errno));
    Watch(*c);
    if (c->shaking && c->filter->ready()) {
      c->shaking = false;
      if (c->listener != 0) {
        --shaking;
        c->handler->OnAccepted(c->listener, id, c->info);
      } else {
        c->handler->OnConnected(id);
      }
      if (!(c = Find(id))) return;
      const std::string early = std::exchange(c->early, {});
      if (!early.empty() && (!c->filter->Send(early, &c->unsent) || !Write(*c)))
        return Fail(*c, c->filter->error());
      Watch(*c);
    }
    if (!plain.empty()) c->handler->OnReceived(id, plain);
    if (!good && (c = Find(id)) != nullptr) Fail(*c, why);
  }

  Conn* Find(ConnId id) {
    const auto it = conns.find(id);
    return it == conns.end() ? nullptr : it->second.get();
  }

  Conn& Add(ConnId id, int fd, ConnectionHandler* handler, bool connecting) {
    auto& slot = conns[id];
    slot = std::make_unique<Conn>();
    Conn& c = *slot;
    c.impl = this;
    c.id = id;
    c.fd = fd;
    c.handler = handler;
    c.connecting = connecting;
    ev_io_init(
        &c.io,
        [](struct ev_loop*, ev_io* io, int events) {
          Conn* conn = reinterpret_cast<Conn*>(io);  // io is its first member
          conn->impl->OnIo(conn->id, events);
        },
        fd, 0);
    // Those who connect to us first: what they take back in a turn is known before what the others in that
    // turn say leads to more for them.
    if (!connecting) ev_set_priority(&c.io, 1);
    Watch(c);
    return c;
  }

  void RestAccepting(Listener& l) {
    ev_io_stop(loop, &l.io);
    const ListenerId id = l.id;
    timers.emplace(Now() + kAcceptRest, std::make_pair(++next_id, [this, id] {
                     const auto it = listeners.find(id);
                     if (it != listeners.end() && !it->second->paused) ev_io_start(loop, &it->second->io);
                   }));
  }

  void OnAccept(Listener& l) {
    for (int i = 0; i < kAcceptsPerTurn; ++i) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      const int fd = accept4(l.fd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        // Without a descriptor the listener stays readable: asking again at once would spin.
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) RestAccepting(l);
        return;
      }
      int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      PeerInfo info;
      info.address = TextOf(peer);
      info.has_uid = tell_peers && PeerUid(fd, &info.uid);
      const ConnId id = ++next_id;
      Conn& c = Add(id, fd, l.handler, false);
      if (!l.filters) {
        l.handler->OnAccepted(l.id, id, info);
        continue;
      }
      if (shaking < kMaxHandshakes) c.filter = l.filters();
      c.listener = l.id;
      c.info = info;
      if (!c.filter) {
        Remove(id, true);
        continue;
      }
      StartFilter(c);
    }
  }
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  signal(SIGPIPE, SIG_IGN);
  // Named, not left to libev's choice or to LIBEV_FLAGS: some backends (io_uring, linuxaio) use system calls
  // that places of service refuse, and the refusal would come in the middle of a day.
  impl_->loop = ev_default_loop(unsigned{EVBACKEND_EPOLL} | EVFLAG_NOENV);
  if (impl_->loop == nullptr) {
    fputs("mountflow: epoll is not to be had here\n", stderr);
    abort();
  }
  impl_->wall_start = Clock(CLOCK_REALTIME);
  impl_->mono_start = Clock(CLOCK_MONOTONIC);
  ev_timer_init(
      &impl_->timer, [](struct ev_loop*, ev_timer* t, int) { static_cast<Impl*>(t->data)->OnTimer(); }, 0.0,
      0.0);
  impl_->timer.data = impl_.get();
  ev_prepare_init(&impl_->prepare, [](struct ev_loop*, ev_prepare* p, int) {
    Impl* impl = static_cast<Impl*>(p->data);
    if (impl->after_turn) impl->after_turn();
    impl->Arm();
  });
  impl_->prepare.data = impl_.get();
  ev_prepare_start(impl_->loop, &impl_->prepare);
  ev_check_init(&impl_->check, [](struct ev_loop*, ev_check* c, int) {
    Impl* impl = static_cast<Impl*>(c->data);
    impl->turn_before_began = impl->turn_began;
    impl->turn_began = impl->Now();
  });
  impl_->check.data = impl_.get();
  ev_set_priority(&impl_->check, EV_MAXPRI);  // before the events of the turn
  ev_check_start(impl_->loop, &impl_->check);
  impl_->turn_began = impl_->turn_before_began = impl_->Now();
}

EventLoop::~EventLoop() {
  std::vector<ConnId> ids;
  for (const auto& [id, conn] : impl_->conns) ids.push_back(id);
  for (ConnId id : ids) impl_->Remove(id);
  for (auto& [id, l] : impl_->listeners) {
    ev_io_stop(impl_->loop, &l->io);
    close(l->fd);
  }
  for (auto& s : impl_->signals) ev_signal_stop(impl_->loop, &s->watcher);
  for (auto& [pid, c] : impl_->children) ev_child_stop(impl_->loop, &c->watcher);
  for (auto& [fd, r] : impl_->readables) ev_io_stop(impl_->loop, &r->io);
  ev_timer_stop(impl_->loop, &impl_->timer);
  ev_prepare_stop(impl_->loop, &impl_->prepare);
  ev_check_stop(impl_->loop, &impl_->check);
}

Micros EventLoop::TurnStart() const { return impl_->turn_began; }
Micros EventLoop::PreviousTurnStart() const { return impl_->turn_before_began; }
Micros EventLoop::Now() const { return impl_->Now(); }
void EventLoop::Run() { ev_run(impl_->loop, 0); }
void EventLoop::Stop() { ev_break(impl_->loop, EVBREAK_ALL); }
ConnId EventLoop::NewConnectionId() { return ++impl_->next_id; }
void EventLoop::SetMaxUnsentBytes(std::size_t bytes) { impl_->most_unsent = bytes; }
void EventLoop::SetMaxReadBytes(std::size_t bytes) {
  impl_->most_read = std::clamp<std::size_t>(bytes, 1, kReadChunk);
}
void EventLoop::SetReportPeerUid(bool tell) { impl_->tell_peers = tell; }

ListenerId EventLoop::Listen(const std::string& text, ConnectionHandler* handler, std::string* error,
                             FilterFactory filters) {
  sockaddr_in address{};
  if (!ParseAddress(text, &address)) {
    *error = "'" + text + "': expected IP:PORT";
    return 0;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 4096) != 0) {
    *error = text + ": " + strerror(errno);
    close(fd);
    return 0;
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  const ListenerId id = ++impl_->next_id;
  auto& slot = impl_->listeners[id];
  slot = std::make_unique<Impl::Listener>();
  slot->impl = impl_.get();
  slot->id = id;
  slot->fd = fd;
  slot->port = ntohs(address.sin_port);
  slot->handler = handler;
  slot->filters = std::move(filters);
  ev_io_init(
      &slot->io,
      [](struct ev_loop*, ev_io* io, int) {
        auto* l = reinterpret_cast<Impl::Listener*>(io);
        l->impl->OnAccept(*l);
      },
      fd, EV_READ);
  ev_io_start(impl_->loop, &slot->io);
  return id;
}

int EventLoop::PortOf(ListenerId listener) const {
  const auto it = impl_->listeners.find(listener);
  return it == impl_->listeners.end() ? 0 : it->second->port;
}

void EventLoop::CloseListener(ListenerId listener) {
  const auto it = impl_->listeners.find(listener);
  if (it == impl_->listeners.end()) return;
  ev_io_stop(impl_->loop, &it->second->io);
  close(it->second->fd);
  impl_->listeners.erase(it);
}

void EventLoop::PauseAccepting(ListenerId listener, bool pause) {
  const auto it = impl_->listeners.find(listener);
  if (it == impl_->listeners.end()) return;
  it->second->paused = pause;
  if (pause) {
    ev_io_stop(impl_->loop, &it->second->io);
  } else {
    ev_io_start(impl_->loop, &it->second->io);
  }
}

ConnId EventLoop::Connect(const std::string& text, ConnectionHandler* handler, ConnId id,
                          std::unique_ptr<ConnectionFilter> filter) {
  if (id == 0) id = ++impl_->next_id;
  sockaddr_in address{};
  std::string reason;
  if (!ParseAddress(text, &address)) {
    reason = "'" + text + "': expected IP:PORT";
  } else {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (fd >= 0 &&
        (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 || errno == EINPROGRESS)) {
      impl_->Add(id, fd, handler, true).filter = std::move(filter);
      return id;
    }
    reason = strerror(errno);
    if (fd >= 0) close(fd);
  }
  AddTimer(Now(), [handler, id, reason] { handler->OnClosed(id, reason); });
  return id;
}

void EventLoop::Send(ConnId conn, std::string_view bytes) {
  const auto it = impl_->conns.find(conn);
  if (it == impl_->conns.end() || it->second->closing) return;
  Impl::Conn& c = *it->second;
  if (c.unsent.size() - c.sent + c.early.size() + bytes.size() > impl_->most_unsent) {
    ConnectionHandler* handler = c.handler;
    impl_->Remove(conn, true);
    AddTimer(Now(), [handler, conn] { handler->OnClosed(conn, "does not read what is sent"); });
    return;
  }
  const bool waits = c.filter && (c.connecting || c.shaking);
  bool good = true;
  if (waits) {
    c.early.append(bytes);
  } else if (c.filter) {
    good = c.filter->Send(bytes, &c.unsent);
  } else {
    c.unsent.append(bytes);
  }
  if (c.connecting || waits) return;
  if (!good || !impl_->Write(c)) {
    ConnectionHandler* handler = c.handler;
    const std::string reason = good ? strerror(errno) : c.filter->error();
    impl_->Remove(conn);
    AddTimer(Now(), [handler, conn, reason] { handler->OnClosed(conn, reason); });
    return;
  }
  impl_->Watch(c);
}

std::size_t EventLoop::UnsentBytes(ConnId conn) const {
  const auto it = impl_->conns.find(conn);
  if (it == impl_->conns.end()) return 0;
  return it->second->unsent.size() - it->second->sent + it->second->early.size();
}

bool EventLoop::AllWritten(ConnId conn) const {
  return impl_->Find(conn) != nullptr && UnsentBytes(conn) == 0;
}

bool EventLoop::PeerClosed(ConnId conn) const {
  const Impl::Conn* c = impl_->Find(conn);
  if (c == nullptr) return true;
  pollfd end{c->fd, POLLRDHUP, 0};
  return poll(&end, 1, 0) == 1 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::size_t EventLoop::closing_count() const { return impl_->closing.size(); }
void EventLoop::SetMaxClosing(std::size_t most) { impl_->most_closing = std::max<std::size_t>(1, most); }

void EventLoop::PauseReading(ConnId conn, bool pause) {
  const auto it = impl_->conns.find(conn);
  if (it == impl_->conns.end() || it->second->paused == pause) return;
  it->second->paused = pause;
  impl_->Watch(*it->second);
}

void EventLoop::Close(ConnId conn, bool flush) {
  const auto it = impl_->conns.find(conn);
  if (it == impl_->conns.end()) return;
  Impl::Conn& c = *it->second;
  if (c.closing && flush) return;
  if (c.filter && !c.connecting) {
    c.filter->Finish(&c.unsent);
    if (!impl_->Write(c)) return impl_->Remove(conn);
  }
  if (!flush || c.connecting || c.sent == c.unsent.size()) return impl_->Remove(conn);
  c.closing = true;
  impl_->Watch(c);
  // Who closes does not count the connection any more, and who does not read keeps its descriptor: without a
  // bound a hundred such peers leave none for the others.
  impl_->closing.push_back(conn);
  if (impl_->closing.size() > impl_->most_closing) impl_->Remove(impl_->closing.front(), true);
  // A peer that does not read its last bytes does not keep the connection for ever.
  AddTimer(Now() + kFlushTime, [this, conn] { impl_->Remove(conn, true); });
}

void EventLoop::Abort(ConnId conn) { impl_->Remove(conn, true); }

std::uint64_t EventLoop::AddTimer(Micros at, std::function<void()> call) {
  const std::uint64_t id = ++impl_->next_id;
  impl_->timers.emplace(at, std::make_pair(id, std::move(call)));
  impl_->timer_at[id] = at;
  return id;
}

void EventLoop::CancelTimer(std::uint64_t timer) {
  const auto at = impl_->timer_at.find(timer);
  if (at == impl_->timer_at.end()) return;
  const auto [from, to] = impl_->timers.equal_range(at->second);
  for (auto it = from; it != to; ++it) {
    if (it->second.first != timer) continue;
    impl_->timers.erase(it);
    break;
  }
  impl_->timer_at.erase(at);
}

void EventLoop::SetMainTimer(Micros at, std::function<void()> call) {
  impl_->main_at = at;
  if (call) impl_->main_call = std::move(call);
}

void EventLoop::SetAfterTurn(std::function<void()> call) { impl_->after_turn = std::move(call); }

void EventLoop::OnSignal(int signal, std::function<void()> call) {
  auto s = std::make_unique<Impl::Signal>();
  s->call = std::move(call);
  ev_signal_init(
      &s->watcher, [](struct ev_loop*, ev_signal* w, int) { static_cast<Impl::Signal*>(w->data)->call(); },
      signal);
  s->watcher.data = s.get();
  ev_set_priority(&s->watcher, EV_MAXPRI);  // what comes after it in a turn is already served as it says
  ev_signal_start(impl_->loop, &s->watcher);
  impl_->signals.push_back(std::move(s));
}

void EventLoop::OnReadable(int fd, std::function<bool()> call) {
  auto& r = impl_->readables[fd];
  r = std::make_unique<Impl::Readable>();
  r->impl = impl_.get();
  r->fd = fd;
  r->call = std::move(call);
  const auto ready = [](struct ev_loop*, ev_io* io, int) {
    auto* readable = reinterpret_cast<Impl::Readable*>(io);
    if (readable->call()) return;
    ev_io_stop(readable->impl->loop, io);
    readable->impl->readables.erase(readable->fd);
  };
  ev_io_init(&r->io, ready, fd, EV_READ);
  ev_io_start(impl_->loop, &r->io);
}

void EventLoop::OnChild(int pid, std::function<void(int)> call) {
  auto c = std::make_unique<Impl::Child>();
  c->impl = impl_.get();
  c->call = std::move(call);
  const auto ended = [](struct ev_loop*, ev_child* w, int) {
    auto* child = static_cast<Impl::Child*>(w->data);
    Impl* impl = child->impl;
    const int status = w->rstatus;
    ev_child_stop(impl->loop, w);
    const auto it = impl->children.find(w->pid);
    const auto owned = std::move(it->second);
    impl->children.erase(it);
    owned->call(status);
  };
  ev_child_init(&c->watcher, ended, pid, 0);
  c->watcher.data = c.get();
  ev_child_start(impl_->loop, &c->watcher);
  impl_->children[pid] = std::move(c);
}

}  // namespace mountflow::event_loop
