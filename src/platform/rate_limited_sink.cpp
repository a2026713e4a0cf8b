#include "platform/rate_limited_sink.hpp"

#include <utility>

namespace mountflow::platform {

void RateLimitedSink::sink_it_(const spdlog::details::log_msg& message) {
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(message.time.time_since_epoch());
  if (second != second_) BeginSecond(second, message);
  std::string line(message.payload.data(), message.payload.size());
  if (written_ < kMaxLinesPerSecond && lines_.insert(std::move(line)).second) {
    ++written_;
    output_->log(message);
  } else {
    ++dropped_;
  }
}

void RateLimitedSink::BeginSecond(std::chrono::seconds second, const spdlog::details::log_msg& message) {
  if (dropped_ > 0) {
    const std::string text = "(" + std::to_string(dropped_) + " more lines in that second)";
    spdlog::details::log_msg summary = message;
    summary.payload = text;
    output_->log(summary);
  }
  second_ = second;
  written_ = 0;
  dropped_ = 0;
  lines_.clear();
}

}  // namespace mountflow::platform
