// An spdlog sink that limits the rate of lines passed to another sink. Within each second, by the timestamps
// of the messages, it passes equal lines once and at most kMaxLinesPerSecond lines in total. The other lines
// are dropped and counted, and the count is written before the first line of a later second.
//
// For loggers used by one thread only. The sink reads no clock.
#ifndef MOUNTFLOW_PLATFORM_RATE_LIMITED_SINK_HPP_
#define MOUNTFLOW_PLATFORM_RATE_LIMITED_SINK_HPP_

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace mountflow::platform {

// Enough to follow normal operation, and few enough that a flood of messages takes no time from requests.
inline constexpr unsigned kMaxLinesPerSecond = 20;

// RateLimitedSink passes a limited number of different lines per second to another sink.
class RateLimitedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // Passes the lines that are not dropped to `output`.
  explicit RateLimitedSink(std::shared_ptr<spdlog::sinks::sink> output) : output_(std::move(output)) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override { output_->flush(); }

 private:
  void BeginSecond(std::chrono::seconds second, const spdlog::details::log_msg& message);

  std::shared_ptr<spdlog::sinks::sink> output_;
  std::chrono::seconds second_{0};
  unsigned written_ = 0;
  unsigned dropped_ = 0;
  std::set<std::string> lines_;  // the lines written in this second
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_RATE_LIMITED_SINK_HPP_
