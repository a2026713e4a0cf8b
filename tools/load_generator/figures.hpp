// The measurements of the load generator: delay histograms for each second and for the whole run, as JSON
// lines, CSV and a plot. The code does no I/O.
//
// The delay of a job starts at the job's due time and is counted in the second of the due time. Histograms
// have 100 bins per factor of 10 (a reported delay is accurate to 2.4%), starting at 1 us.
#ifndef MOUNTFLOW_TOOLS_LOAD_GENERATOR_FIGURES_HPP_
#define MOUNTFLOW_TOOLS_LOAD_GENERATOR_FIGURES_HPP_

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::load_generator {

// A histogram of delays.
class Delays {
 public:
  void Add(Micros delay);
  void Add(const Delays& other);
  std::uint64_t count() const { return count_; }
  // Returns the quantile `q` (0 to 1) in milliseconds; NaN without delays. The maximum, at `q` 1, is exact.
  double At(double q) const;
  nlohmann::json ToJson() const;  // null without delays

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  // Created by the first Add(), because a long run has many objects of this class and an empty one needs no
  // bins.
  using Bins = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;
  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  Micros most_ = 0;
};

// The result of a job, counted by the load generator. kRefused: the scheduler rejected the job. kDoor: the
// daemon did not admit it. kGaveUp: its deadline passed before it could be sent. kBroken: there was no
// answer.
enum class End { kPlaced, kFailed, kRefused, kDoor, kGaveUp, kBroken };
// Returns the name of `end` in the output.
const char* Name(End end);

// A finished job. Times are in microseconds.
struct Job {
  Micros due = 0, over = 0, owner_time = 0;  // owner_time 0: no deadline
  End end = End::kPlaced;
  unsigned asks = 1;
};

// The measurements of one second.
struct Second {
  std::uint64_t offered = 0;          // jobs due in this second
  std::uint64_t done = 0;             // jobs placed in this second before their deadline
  std::uint64_t late = 0;             // jobs due in this second, answered after the deadline
  std::map<End, std::uint64_t> ends;  // results of the jobs due in this second
  std::uint64_t asks = 0;
  Delays placed;                         // delays of the placed jobs due in this second
  std::map<std::string, double> cpu_us;  // by part of the daemon, for each job done in this second
};

// Collects the measurements of a run and formats them.
class Figures {
 public:
  explicit Figures(Micros begin) : begin_(begin) {}
  void Offered(Micros due);
  void Over(const Job& job);
  // Reads a line that the daemon writes with `--measure`: the CPU time that each part has used so far, as one
  // JSON object. Returns false if `line` is not such a line.
  bool TakeCpu(const std::string& line);

  // Returns the totals of the seconds from `from` up to but not including `to`.
  nlohmann::json Summary(std::size_t from, std::size_t to) const;
  std::string JsonLines() const;
  std::string Csv() const;
  std::string Svg(const std::string& title) const;
  std::size_t seconds() const { return seconds_.size(); }

 private:
  Second& At(Micros when);
  Micros begin_;
  std::vector<Second> seconds_;  // indices up to kMostSeconds; the last one also holds all later seconds
  Micros cpu_at_ = 0;
  std::map<std::string, double> cpu_;  // microseconds used until cpu_at_, by part
};

}  // namespace mountflow::load_generator

#endif  // MOUNTFLOW_TOOLS_LOAD_GENERATOR_FIGURES_HPP_
