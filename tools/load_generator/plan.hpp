// The due times of jobs: a rate over time that is fixed in advance. The code does no I/O.
//
// A plan is written as segments joined by commas: RATExSECONDS, or FROM-TOxSECONDS for a ramp. Rates are in
// jobs per second, for example "1000x60,1000-4000x30,4000x60".
#ifndef MOUNTFLOW_TOOLS_LOAD_GENERATOR_PLAN_HPP_
#define MOUNTFLOW_TOOLS_LOAD_GENERATOR_PLAN_HPP_

#include <cstdint>
#include <string>
#include <vector>

namespace mountflow::load_generator {

// The rate of jobs over time, as constant segments and ramps.
class Plan {
 public:
  // Parses `text`, which has at most 10,000 segments; a rate of 0 is a pause. On an error, returns false and
  // sets `expected` to a description of the expected input.
  static bool Parse(const std::string& text, Plan* plan, std::string* expected);

  double seconds() const { return seconds_; }
  // Returns the seconds from the start until job `n` (counted from 0) is due; negative if the plan has no
  // such job. `n` must not decrease from call to call.
  double DueOf(std::uint64_t n);
  double RateAt(double second) const;

 private:
  struct Segment {
    double from = 0.0, to = 0.0, seconds = 0.0;
    double jobs() const { return (from + to) / 2.0 * seconds; }
  };
  std::vector<Segment> segments_;
  double seconds_ = 0.0;
  std::size_t at_ = 0;  // index of the segment of the last call of DueOf()
  double begin_ = 0.0;  // start of that segment, in seconds
  double jobs_before_ = 0.0;
};

}  // namespace mountflow::load_generator

#endif  // MOUNTFLOW_TOOLS_LOAD_GENERATOR_PLAN_HPP_
