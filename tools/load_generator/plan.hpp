// When jobs are due: rates by time, fixed in advance. Sans-I/O.
//
// A plan is written as segments joined by commas: RATExSECONDS, or FROM-TOxSECONDS for
// a ramp, rates in jobs a second: "1000x60,1000-4000x30,4000x60".
#ifndef MOUNTFLOW_TOOLS_LOAD_GENERATOR_PLAN_HPP_
#define MOUNTFLOW_TOOLS_LOAD_GENERATOR_PLAN_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace mountflow::load_generator {

class Plan {
 public:
  // False with what was expected. At most 10,000 segments; a rate of 0 is a pause.
  static bool Parse(const std::string& text, Plan* plan, std::string* expected);

  double seconds() const { return seconds_; }
  // Seconds from the begin until job `n` (from 0) is due; negative: it is not in the plan. To be asked with n
  // that do not fall.
  double DueOf(std::uint64_t n);
  double RateAt(double second) const;

 private:
  struct Segment {
    double from = 0.0, to = 0.0, seconds = 0.0;
    double jobs() const { return (from + to) / 2.0 * seconds; }
  };
  std::vector<Segment> segments_;
  double seconds_ = 0.0;
  std::size_t at_ = 0;  // the segment asked for last
  double begin_ = 0.0;  // its begin
  double jobs_before_ = 0.0;
};

}  // namespace mountflow::load_generator

#endif  // MOUNTFLOW_TOOLS_LOAD_GENERATOR_PLAN_HPP_
