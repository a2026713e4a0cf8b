// A sink of spdlog that writes the bare text of a message to standard error and never waits: lines are
// dropped while nobody reads them.
//
// For loggers used by one thread.
#ifndef MOUNTFLOW_PLATFORM_NONBLOCKING_STDERR_SINK_HPP_
#define MOUNTFLOW_PLATFORM_NONBLOCKING_STDERR_SINK_HPP_

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstddef>

namespace mountflow::platform {

// Well below PIPE_BUF: a write of that size to a writable pipe does not block.
inline constexpr std::size_t kMaxLogLineBytes = 500;

class NonblockingStderrSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NONBLOCKING_STDERR_SINK_HPP_
