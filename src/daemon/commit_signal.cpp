#include "daemon/commit_signal.hpp"

#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace mountflow::daemon {

CommitSignal::CommitSignal() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

CommitSignal::~CommitSignal() {
  if (fd_ >= 0) close(fd_);
}

void CommitSignal::WatchFrom(event_loop::EventLoop* loop) {
  loop->OnReadable(fd_, [fd = fd_] {
    std::uint64_t count = 0;
    return read(fd, &count, sizeof count) >= 0 || errno == EAGAIN;
  });
}

void CommitSignal::Notify() const {
  const std::uint64_t increment = 1;
  // A failure means that the counter has its maximum value; the descriptor is readable already.
  if (write(fd_, &increment, sizeof increment) < 0) return;
}

}  // namespace mountflow::daemon
