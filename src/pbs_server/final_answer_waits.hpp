// Set of connections that wait for the final answer or the completion of a job.
#ifndef MOUNTFLOW_PBS_SERVER_FINAL_ANSWER_WAITS_HPP_
#define MOUNTFLOW_PBS_SERVER_FINAL_ANSWER_WAITS_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::pbs_server {

// Each connection has at most one wait. Connections that wait for the same job are served in the order in
// which they were added.
class FinalAnswerWaits {
 public:
  using ConnectionId = std::uint64_t;
  struct Wait {
    std::uint64_t job = 0;
    bool for_end = false;  // waits for the completion of the job instead of its final answer
    Micros deadline = 0;   // when the wait expires
  };
  struct Expired {
    ConnectionId connection = 0;
    std::uint64_t job = 0;
  };

  // Adds a wait. The connection must not be waiting already.
  void Add(ConnectionId connection, const Wait& wait);
  // Removes the wait of a connection, if there is one.
  void Remove(ConnectionId connection);
  [[nodiscard]] bool IsWaiting(ConnectionId connection) const { return waits_.count(connection) > 0; }

  // Remove the waits that end with this event and return their connections. A final answer ends the waits for
  // it; completion ends both kinds.
  [[nodiscard]] std::vector<ConnectionId> TakeAnswered(std::uint64_t job) { return Take(job, false); }
  [[nodiscard]] std::vector<ConnectionId> TakeCompleted(std::uint64_t job) { return Take(job, true); }
  // Removes and returns the wait with the earliest deadline, if that deadline has passed.
  [[nodiscard]] std::optional<Expired> TakeExpired(Micros now);
  // Returns the earliest deadline, or the largest value of Micros if nothing waits.
  [[nodiscard]] Micros NextDeadline() const;

 private:
  std::vector<ConnectionId> Take(std::uint64_t job, bool completed);

  std::unordered_map<ConnectionId, Wait> waits_;
  std::multimap<std::uint64_t, ConnectionId> by_job_;
  std::set<std::pair<Micros, ConnectionId>> by_deadline_;
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_FINAL_ANSWER_WAITS_HPP_
