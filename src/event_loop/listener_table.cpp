#include "event_loop/listener_table.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <utility>

#include "event_loop/address.hpp"
#include "event_loop/peer_credentials.hpp"

namespace mountflow::event_loop {
namespace {

constexpr Micros kNoDescriptorPause = 100'000;
constexpr int kMaxAcceptsPerTurn = 64;
constexpr int kListenBacklog = 4096;

bool IsOutOfResources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// Returns a new listening socket bound to `address`.
tl::expected<int, std::error_code> OpenSocket(const sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return tl::make_unexpected(std::error_code(errno, std::generic_category()));
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const std::error_code error(errno, std::generic_category());
    close(fd);
    return tl::make_unexpected(error);
  }
  return fd;
}

int BoundPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace

ListenerTable::Listener::~Listener() {
  watcher.Stop();
  close(fd);
}

tl::expected<ListenerId, EventLoopError> ListenerTable::Listen(const std::string& address,
                                                               ConnectionHandler* handler,
                                                               FilterFactory filters) {
  const std::optional<sockaddr_in> socket_address = ParseSocketAddress(address);
  if (!socket_address) {
    return tl::make_unexpected(EventLoopError{EventLoopErrorCode::kInvalidAddress, address, {}});
  }
  const tl::expected<int, std::error_code> fd = OpenSocket(*socket_address);
  if (!fd) {
    return tl::make_unexpected(EventLoopError{EventLoopErrorCode::kListenFailed, address, fd.error()});
  }
  const ListenerId id = context_->NewId();
  auto listener = std::make_unique<Listener>(context_->libev, this, id, *fd);
  listener->port = BoundPort(*fd);
  listener->handler = handler;
  listener->filters = std::move(filters);
  listener->watcher.Watch({.readable = true});
  listeners_[id] = std::move(listener);
  return id;
}

int ListenerTable::PortOf(ListenerId id) const {
  const auto found = listeners_.find(id);
  return found == listeners_.end() ? 0 : found->second->port;
}

void ListenerTable::PauseAccepting(ListenerId id, bool pause) {
  const auto found = listeners_.find(id);
  if (found == listeners_.end()) return;
  found->second->paused = pause;
  found->second->watcher.Watch({.readable = !pause});
}

void ListenerTable::OnIoEvents(std::uint64_t id, IoEvents /*events*/) {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    const auto found = listeners_.find(id);  // the handler may have closed it
    if (found == listeners_.end() || !Accept(*found->second)) return;
  }
}

bool ListenerTable::Accept(Listener& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  const int fd =
      accept4(listener.fd, reinterpret_cast<sockaddr*>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    // Without a free descriptor the listener stays readable, so trying again at once would spin.
    if (IsOutOfResources(errno)) PauseForDescriptors(listener);
    return false;
  }
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  connections_->AddAccepted(listener.id, fd, listener.handler, DescribePeer(fd, address), listener.filters);
  return true;
}

void ListenerTable::PauseForDescriptors(Listener& listener) {
  listener.watcher.Stop();
  const ListenerId id = listener.id;
  context_->AddTimer(context_->clock.Now() + kNoDescriptorPause, [this, id] {
    const auto found = listeners_.find(id);
    if (found != listeners_.end() && !found->second->paused) found->second->watcher.Watch({.readable = true});
  });
}

PeerInfo ListenerTable::DescribePeer(int fd, const sockaddr_in& address) const {
  PeerInfo peer;
  peer.address = FormatSocketAddress(address);
  if (!report_peer_uid_) return peer;
  const std::optional<std::uint32_t> uid = PeerUid(fd);
  peer.has_uid = uid.has_value();
  peer.uid = uid.value_or(0);
  return peer;
}

}  // namespace mountflow::event_loop
