#include "event_loop/write_buffer.hpp"

#include <sys/socket.h>
#include <sys/types.h>

#include <cerrno>

namespace mountflow::event_loop {
namespace {

constexpr std::size_t kMaxIdleCapacity = 64 << 10;  // an empty buffer with more capacity releases its memory
constexpr std::size_t kMaxWrittenBytes = std::size_t{1}
                                         << 20;  // a longer written prefix is erased from the buffer

}  // namespace

std::error_code WriteBuffer::WriteTo(int fd) {
  while (!empty()) {
    const ssize_t count = send(fd, bytes_.data() + written_, size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (count < 0) return {errno, std::generic_category()};
    written_ += static_cast<std::size_t>(count);
  }
  Compact();
  return {};
}

void WriteBuffer::Compact() {
  if (empty()) {
    bytes_.clear();
    written_ = 0;
    if (bytes_.capacity() > kMaxIdleCapacity) bytes_.shrink_to_fit();
  } else if (written_ > kMaxWrittenBytes) {
    bytes_.erase(0, written_);
    written_ = 0;
  }
}

}  // namespace mountflow::event_loop
