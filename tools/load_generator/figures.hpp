// What the load tool saw: delays in histograms, by second and in all, as JSON lines,
// CSV and a plot. Sans-I/O.
//
// Delays are counted from when a job was due, and belong to the second in which it was
// due. Histograms have 100 bins a factor of ten (a figure is within 2.4%), from 1 us.
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

class Delays {
 public:
  void Add(Micros delay);
  void Add(const Delays& other);
  std::uint64_t count() const { return count_; }
  // Of the share `q` (0 to 1) the longest, milliseconds; the very longest is exact.
  double At(double q) const;
  nlohmann::json ToJson() const;  // null without any

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  // Made when first needed: most seconds of a long run are looked at only once.
  using Bins = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;
  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  Micros most_ = 0;
};

enum class End { kPlaced, kFailed, kRefused, kDoor, kGaveUp, kBroken };
const char* Name(End end);

struct Job {
  Micros due = 0, over = 0, owner_time = 0;  // owner_time 0: none stated
  End end = End::kPlaced;
  unsigned asks = 1;
};

struct Second {
  std::uint64_t offered = 0;          // due in it
  std::uint64_t done = 0;             // placed in it, in time
  std::uint64_t late = 0;             // due in it, answered after the owner's time
  std::map<End, std::uint64_t> ends;  // of those due in it
  std::uint64_t asks = 0;
  Delays placed;                         // of those due in it
  std::map<std::string, double> cpu_us;  // by part, per job done in it
};

class Figures {
 public:
  explicit Figures(Micros begin) : begin_(begin) {}
  void Offered(Micros due);
  void Over(const Job& job);
  // A line of the daemon's `--measure`: CPU by part until then, as one JSON object. False: it is none.
  bool TakeCpu(const std::string& line);

  // Of the seconds from `from` up to `to`.
  nlohmann::json Summary(std::size_t from, std::size_t to) const;
  std::string JsonLines() const;
  std::string Csv() const;
  std::string Svg(const std::string& title) const;
  std::size_t seconds() const { return seconds_.size(); }

 private:
  Second& At(Micros when);
  Micros begin_;
  std::vector<Second> seconds_;  // at most kMostSeconds; beyond: the last one
  Micros cpu_at_ = 0;
  std::map<std::string, double> cpu_;  // microseconds, at cpu_at_
};

}  // namespace mountflow::load_generator

#endif  // MOUNTFLOW_TOOLS_LOAD_GENERATOR_FIGURES_HPP_
