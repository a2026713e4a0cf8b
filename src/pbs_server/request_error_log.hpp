// Coalesced log lines about invalid requests.
//
// The first error of each kind within a second is logged as it is. The other errors of that kind in the same
// second become one line with their number and the number of their peers. At most kMaxKinds kinds are
// distinguished within a second; errors of further kinds are counted together. At most kMaxPeers peers are
// counted for each kind.
//
// Performs no I/O.
#ifndef MOUNTFLOW_PBS_SERVER_REQUEST_ERROR_LOG_HPP_
#define MOUNTFLOW_PBS_SERVER_REQUEST_ERROR_LOG_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::pbs_server {

class RequestErrorLog {
 public:
  static constexpr std::size_t kMaxKinds = 32;   // within a second
  static constexpr std::size_t kMaxPeers = 256;  // for each kind

  // Adds an error. `text` is logged if the error is the first of its kind within the second. `kind`
  // identifies the kind and appears in the line about the errors that follow.
  void Add(Micros now, const std::string& kind, const std::string& peer, const std::string& text);
  // Removes and returns the lines that are due.
  [[nodiscard]] std::vector<std::string> Take(Micros now);
  // Returns when the counts of the current second are due, or the largest value of Micros if there are none.
  [[nodiscard]] Micros NextTimer() const;
  // Returns the number of errors added since construction.
  [[nodiscard]] std::uint64_t total() const { return total_; }

 private:
  struct RepeatedError {
    std::uint64_t count = 0;  // errors after the first
    std::set<std::string> peers;
  };

  void FinishSecond(Micros now);

  Micros second_ends_at_ = 0;  // 0 if the current second has no errors
  std::map<std::string, RepeatedError> errors_by_kind_;
  std::vector<std::string> lines_;
  std::uint64_t total_ = 0;
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_REQUEST_ERROR_LOG_HPP_
