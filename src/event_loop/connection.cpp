#include "event_loop/connection.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace mountflow::event_loop {

// Accepted connections are served before outgoing ones in each turn. A close or a cancelled request of an
// accepted peer is thus processed before data from outgoing connections causes further work for that peer.
Connection::Connection(const LibevLoop& loop, IoEventSink* sink, ConnId id, int fd,
                       ConnectionHandler* handler, ConnectionState state)
    : id_(id),
      fd_(fd),
      handler_(handler),
      state_(state),
      watcher_(loop, sink, id, fd,
               state == ConnectionState::kConnecting ? EventPriority::kNormal : EventPriority::kRaised) {
  UpdateWatch();
}

Connection::~Connection() {
  watcher_.Stop();
  close(fd_);
}

std::error_code Connection::ConnectError() const {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  return {error, std::generic_category()};
}

std::ptrdiff_t Connection::Read(char* buffer, std::size_t size) const { return recv(fd_, buffer, size, 0); }

bool Connection::Append(std::string_view bytes) {
  if (!filter_) {
    write_buffer_.tail()->append(bytes);
    return true;
  }
  if (state_ == ConnectionState::kConnecting || handshaking_) {
    delayed_.append(bytes);
    return true;
  }
  return filter_->Send(bytes, write_buffer_.tail());
}

bool Connection::AppendDelayed() {
  const std::string delayed = std::exchange(delayed_, {});
  return filter_->Send(delayed, write_buffer_.tail());
}

bool Connection::CanWrite() const { return state_ != ConnectionState::kConnecting && !handshaking_; }

void Connection::UpdateWatch() {
  const bool connecting = state_ == ConnectionState::kConnecting;
  IoEvents wanted;
  wanted.writable = connecting || !write_buffer_.empty();
  wanted.readable = state_ == ConnectionState::kEstablished && !reading_paused_;
  watcher_.Watch(wanted);
}

bool Connection::PeerClosed() const {
  pollfd descriptor{fd_, POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::ResetOnClose() const {
  const linger reset{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

}  // namespace mountflow::event_loop
