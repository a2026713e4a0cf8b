#include "tools/load_generator/plan.hpp"

#include <charconv>
#include <cmath>

namespace mountflow::load_generator {
namespace {

constexpr std::size_t kMostSegments = 10'000;
constexpr double kMostRate = 1e7, kMostSeconds = 1e7;

bool Number(const std::string& text, std::size_t* at, double most, double* value) {
  const char* from = text.data() + *at;
  const auto read = std::from_chars(from, text.data() + text.size(), *value);
  if (read.ec != std::errc() || *from == '-') return false;
  *at += static_cast<std::size_t>(read.ptr - from);
  return std::isfinite(*value) && *value <= most;
}

}  // namespace

bool Plan::Parse(const std::string& text, Plan* plan, std::string* expected) {
  Plan made;
  std::size_t at = 0;
  const auto bad = [&](const char* what) {
    *expected = std::string(what) + " at byte " + std::to_string(at + 1);
    return false;
  };
  for (;;) {
    Segment s;
    if (made.segments_.size() >= kMostSegments) return bad("at most 10000 segments");
    if (!Number(text, &at, kMostRate, &s.from)) return bad("a rate of 0 to 1e7 jobs a second");
    s.to = s.from;
    if (at < text.size() && text[at] == '-' && !Number(text, &++at, kMostRate, &s.to))
      return bad("the rate that the ramp ends with, 0 to 1e7");
    if (at >= text.size() || text[at] != 'x') return bad("'x' and seconds");
    if (!Number(text, &++at, kMostSeconds, &s.seconds) || s.seconds <= 0.0) return bad("seconds above 0");
    made.seconds_ += s.seconds;
    made.segments_.push_back(s);
    if (at == text.size()) break;
    if (text[at] != ',') return bad("',' or the end");
    ++at;
  }
  *plan = made;
  return true;
}

double Plan::DueOf(std::uint64_t n) {
  const double wanted = static_cast<double>(n);
  while (at_ < segments_.size() && wanted >= jobs_before_ + segments_[at_].jobs()) {
    jobs_before_ += segments_[at_].jobs();
    begin_ += segments_[at_++].seconds;
  }
  if (at_ == segments_.size()) return -1.0;
  const Segment& s = segments_[at_];
  const double left = wanted - jobs_before_;
  const double slope = (s.to - s.from) / s.seconds;
  if (std::fabs(slope) < 1e-9) return begin_ + left / s.from;
  // The time t by which `left` jobs of the segment are due: from*t + slope/2*t^2 = left.
  return begin_ + (std::sqrt(s.from * s.from + 2.0 * slope * left) - s.from) / slope;
}

double Plan::RateAt(double second) const {
  double begin = 0.0;
  for (const Segment& s : segments_) {
    if (second < begin + s.seconds) return s.from + (s.to - s.from) * (second - begin) / s.seconds;
    begin += s.seconds;
  }
  return 0.0;
}

}  // namespace mountflow::load_generator
