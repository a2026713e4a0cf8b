// Tracks which jobs changed since TakeRecords was last called, and writes their records. Several changes of a
// job between two calls result in one record of each kind.
//
// Bound: at most two entries for each changed job and one for each forgotten job, until TakeRecords clears
// them. Without durability nothing is tracked.
//
// Used by JobManager only; not thread-safe.
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
  // If `durable` is false, changes are not tracked and TakeRecords returns nothing.
  explicit JobJournal(bool durable) : durable_(durable) {}

  void MarkSpecChanged(std::uint64_t job);
  void MarkStateChanged(std::uint64_t job);
  void MarkForgotten(std::uint64_t job);

  // Returns the records of all changes and clears them. The records are in the order in which they must be
  // written: specifications, states, forgotten jobs.
  std::vector<std::string> TakeRecords(const JobTable& jobs, const NodeTable& nodes);
  // Returns the records of all jobs, joined into one text that ForEachRecord reads.
  static std::string Snapshot(const JobTable& jobs, const NodeTable& nodes);

 private:
  bool durable_;
  std::set<std::uint64_t> changed_specs_;
  std::set<std::uint64_t> changed_states_;
  std::set<std::uint64_t> forgotten_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_JOURNAL_HPP_
