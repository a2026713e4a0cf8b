// Owns the jobs of this daemon: live jobs, which are not complete, and the most recent complete ones (the
// history). Counts the jobs by state, and the bytes of the scripts of live jobs.
//
// References to a job stay valid until the job is forgotten or discarded.
//
// Bounds: the caller checks IsFull and HasSpaceForScript before it creates a job, and limits the history with
// PopOldestComplete and Forget.
//
// Changed by JobManager only, and read by JobJournal; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_TABLE_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_TABLE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

// The number of jobs in each state.
struct Counts {
  std::size_t queued = 0;
  std::size_t held = 0;
  std::size_t waiting = 0;
  std::size_t running = 0;
  std::size_t exiting = 0;
  std::size_t complete = 0;
};

// Upper bounds of a JobTable.
struct JobTableLimits {
  std::size_t jobs = 0;          // live jobs
  std::size_t script_bytes = 0;  // total size of the scripts of live jobs
};

class JobTable {
 public:
  // The first number that NewNumber returns is `last_number` + 1.
  JobTable(JobTableLimits limits, std::uint64_t last_number);

  std::uint64_t NewNumber() { return ++last_number_; }
  // Ensures that NewNumber returns only numbers above `number` from now on.
  void ReserveNumbersUpTo(std::uint64_t number);
  bool WasIssued(std::uint64_t number) const { return number <= last_number_; }

  // Returns nullptr if the job is not in the table.
  Job* Find(std::uint64_t number);
  const Job* Find(std::uint64_t number) const;
  const std::map<std::uint64_t, Job>& jobs() const { return jobs_; }

  // Reports whether the number of live jobs has reached its limit.
  bool IsFull() const { return live_ >= limits_.jobs; }
  bool HasSpaceForScript(std::size_t bytes) const { return script_bytes_ + bytes <= limits_.script_bytes; }
  // Returns the number of live jobs.
  std::size_t live() const { return live_; }
  const Counts& counts() const { return counts_; }

  // Returns the job with this number, and creates it if there is none. A new job is not part of the counts
  // until Count is called.
  Job& FindOrCreate(std::uint64_t number);
  // Adds a new job to the counts. Its state and specification must be set.
  void Count(const Job& job);
  void SetState(Job* job, JobState state);
  // Moves a live job that has just become complete to the history, and frees its script.
  void Retire(Job* job);

  // ---- History ----
  void AppendToHistory(std::uint64_t number) { history_.push_back(number); }
  std::size_t history_size() const { return history_.size(); }
  // Returns the oldest job of the history, which must not be empty.
  std::uint64_t OldestComplete() const { return history_.front(); }
  // Removes the oldest job from the history, which must not be empty, and returns its number. The job itself
  // stays in the table until Forget is called.
  std::uint64_t PopOldestComplete();
  // Removes a complete job that is part of the counts.
  void Forget(std::uint64_t number);

  // ---- Recovery ----
  // Removes a job that is not part of the counts yet.
  void Discard(std::uint64_t number) { jobs_.erase(number); }
  // Removes all jobs for which `unwanted` returns true; they must not be part of the counts.
  void DiscardIf(const std::function<bool(std::uint64_t)>& unwanted);

 private:
  std::size_t& CountOf(JobState state);

  JobTableLimits limits_;
  std::uint64_t last_number_;
  std::map<std::uint64_t, Job> jobs_;  // by number
  std::deque<std::uint64_t> history_;  // numbers of complete jobs, oldest first
  std::size_t live_ = 0;               // number of jobs that are not complete
  std::size_t script_bytes_ = 0;       // total size of the scripts of live jobs
  Counts counts_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_TABLE_HPP_
