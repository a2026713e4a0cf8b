#include "platform/nonblocking_stderr_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>

namespace mountflow::platform {

void NonblockingStderrSink::sink_it_(const spdlog::details::log_msg& message) {
  pollfd writable{STDERR_FILENO, POLLOUT, 0};
  if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) return;
  std::string line(message.payload.data(), std::min(message.payload.size(), kMaxLogLineBytes));
  line += '\n';
  while (write(STDERR_FILENO, line.data(), line.size()) < 0 && errno == EINTR) {
  }
}

}  // namespace mountflow::platform
