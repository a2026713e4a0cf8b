#include "node_agent/end_reports.hpp"

#include <utility>

namespace mountflow::node_agent {

void EndReports::SetAddress(const std::string& daemon, std::string_view address) {
  if (!address.empty()) daemons_[daemon].address = address;
}

void EndReports::Add(EndReport report, SubmittedTask task) {
  Daemon& daemon = daemons_[task.daemon];
  task.script.clear();
  tasks_[report.attempt] = std::move(task);
  daemon.reports.push_back(std::move(report));
  if (daemon.reports.size() <= max_reports_) return;
  tasks_.erase(daemon.reports.front().attempt);
  daemon.reports.pop_front();
  ++dropped_reports_;
}

void EndReports::Acknowledge(const std::string& daemon, std::size_t count) {
  const auto found = daemons_.find(daemon);
  if (found == daemons_.end()) return;
  std::deque<EndReport>& reports = found->second.reports;
  for (; count > 0 && !reports.empty(); --count) {
    tasks_.erase(reports.front().attempt);
    reports.pop_front();
  }
}

std::vector<std::string> EndReports::ServersWithReports() const {
  std::vector<std::string> names;
  for (const auto& [name, daemon] : daemons_) {
    if (!daemon.reports.empty()) names.push_back(name);
  }
  return names;
}

std::string EndReports::AddressOf(const std::string& daemon) const {
  const auto found = daemons_.find(daemon);
  return found == daemons_.end() ? "" : found->second.address;
}

const std::deque<EndReport>& EndReports::ReportsFor(const std::string& daemon) const {
  static const std::deque<EndReport> kNoReports;
  const auto found = daemons_.find(daemon);
  return found == daemons_.end() ? kNoReports : found->second.reports;
}

}  // namespace mountflow::node_agent
