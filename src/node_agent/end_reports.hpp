// End reports that a node stores until the daemons acknowledge them. They survive lost connections and
// restarts of the daemons.
#ifndef MOUNTFLOW_NODE_AGENT_END_REPORTS_HPP_
#define MOUNTFLOW_NODE_AGENT_END_REPORTS_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "node_agent/submitted_task.hpp"

namespace mountflow::node_agent {

// The report that the task of an attempt has ended.
struct EndReport {
  std::string attempt;
  std::string bytes;  // the encoded JobObit
};

// The unacknowledged end reports of a node, by daemon. Not thread-safe.
class EndReports {
 public:
  // `max_reports` is the limit for each daemon. When it is exceeded, the oldest report is dropped and counted
  // in dropped_reports().
  explicit EndReports(std::size_t max_reports) : max_reports_(max_reports) {}

  // Sets the address at which the daemon receives reports. An empty address changes nothing.
  void SetAddress(const std::string& daemon, std::string_view address);
  void Add(EndReport report, SubmittedTask task);
  // Removes the `count` oldest reports of the daemon, which has acknowledged them.
  void Acknowledge(const std::string& daemon, std::size_t count);

  // Returns the names of the daemons that have unacknowledged reports.
  [[nodiscard]] std::vector<std::string> ServersWithReports() const;
  [[nodiscard]] std::string AddressOf(const std::string& daemon) const;  // empty if unknown
  // Returns the unacknowledged reports of the daemon, oldest first. The reference is valid until a report is
  // added or acknowledged.
  [[nodiscard]] const std::deque<EndReport>& ReportsFor(const std::string& daemon) const;
  // Returns the ended tasks whose reports are not acknowledged yet, by attempt.
  [[nodiscard]] const std::map<std::string, SubmittedTask>& tasks() const { return tasks_; }
  [[nodiscard]] std::uint64_t dropped_reports() const { return dropped_reports_; }

 private:
  struct Daemon {
    std::string address;
    std::deque<EndReport> reports;
  };
  std::size_t max_reports_;
  std::map<std::string, Daemon> daemons_;
  std::map<std::string, SubmittedTask> tasks_;
  std::uint64_t dropped_reports_ = 0;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_END_REPORTS_HPP_
