// Which jobs changed since their records were last taken, and the records of them. Later changes of a job
// before the records are taken cost nothing more.
//
// Bound: one entry a job, and one a forgotten job, until TakeRecords. Without durability nothing is tracked.
//
// Called by JobManager alone; not safe to share between threads.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_JOURNAL_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_JOURNAL_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "job_manager/job_table.hpp"
#include "job_manager/node_table.hpp"

namespace mountflow::job_manager {

class JobJournal {
 public:
  explicit JobJournal(bool durable) : durable_(durable) {}

  void MarkSpecChanged(std::uint64_t job);
  void MarkStateChanged(std::uint64_t job);
  void MarkForgotten(std::uint64_t job);

  // In the order in which they must be written: specifications, states, forgotten jobs.
  std::vector<std::string> TakeRecords(const JobTable& jobs, const NodeTable& nodes);
  // All jobs, as records joined to one text (ForEachRecord).
  static std::string Snapshot(const JobTable& jobs, const NodeTable& nodes);

 private:
  bool durable_;
  std::set<std::uint64_t> changed_specs_;
  std::set<std::uint64_t> changed_states_;
  std::set<std::uint64_t> forgotten_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_JOURNAL_HPP_
