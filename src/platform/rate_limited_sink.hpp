// A sink of spdlog that bounds what goes to another one: within each second of the messages' own time, equal
// lines go on once, and kMaxLinesPerSecond lines in all. What is left out is counted, and the count goes on
// with the first line of a later second.
//
// For loggers used by one thread. It reads no clock.
#ifndef MOUNTFLOW_PLATFORM_RATE_LIMITED_SINK_HPP_
#define MOUNTFLOW_PLATFORM_RATE_LIMITED_SINK_HPP_

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace mountflow::platform {

// Enough to follow what goes on, and little enough that a flood costs no time that requests need.
inline constexpr unsigned kMaxLinesPerSecond = 20;

class RateLimitedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // `output` gets what is not left out.
  explicit RateLimitedSink(std::shared_ptr<spdlog::sinks::sink> output) : output_(std::move(output)) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { output_->flush(); }

 private:
  void BeginSecond(std::chrono::seconds second, const spdlog::details::log_msg& message);

  std::shared_ptr<spdlog::sinks::sink> output_;
  std::chrono::seconds second_{0};
  unsigned written_ = 0;
  unsigned left_out_ = 0;
  std::set<std::string> lines_;  // of this second
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_RATE_LIMITED_SINK_HPP_
