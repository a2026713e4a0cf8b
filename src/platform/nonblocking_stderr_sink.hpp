// An spdlog sink that writes the unformatted text of each message to standard error and never blocks. While
// standard error is not writable, for example because its reader does not read, lines are dropped.
//
// For loggers used by one thread only.
#ifndef MOUNTFLOW_PLATFORM_NONBLOCKING_STDERR_SINK_HPP_
#define MOUNTFLOW_PLATFORM_NONBLOCKING_STDERR_SINK_HPP_

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstddef>

namespace mountflow::platform {

// Maximum length of a line; longer ones are truncated. Well below PIPE_BUF, so that a write to a pipe that
// poll() reports as writable does not block.
inline constexpr std::size_t kMaxLogLineBytes = 500;

// NonblockingStderrSink writes each message as one line, or drops it.
class NonblockingStderrSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NONBLOCKING_STDERR_SINK_HPP_
