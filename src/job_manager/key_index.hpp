// Which job has an idempotency key. A key belongs to its user: two users may use the same.
//
// Bound: one entry a job with a key, so at most as many as there are jobs; the caller removes the entry of a
// job that it forgets.
//
// Called by JobManager alone; not safe to share between threads.
#ifndef MOUNTFLOW_JOB_MANAGER_KEY_INDEX_HPP_
#define MOUNTFLOW_JOB_MANAGER_KEY_INDEX_HPP_

#include <cstdint>
#include <map>
#include <string>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

// A user and a key as one text, unambiguous because a user's name has no zero byte.
std::string QualifiedKey(const std::string& user, const std::string& key);

class KeyIndex {
 public:
  // The job takes the key from whatever job had it. A specification without a key is left out.
  void Add(std::uint64_t job, const JobSpec& spec);
  // Does nothing if another job has taken the key.
  void Remove(std::uint64_t job, const JobSpec& spec);
  // 0: no job has it.
  std::uint64_t Find(const std::string& user, const std::string& key) const;
  std::size_t size() const { return jobs_.size(); }

 private:
  std::map<std::string, std::uint64_t> jobs_;  // by QualifiedKey
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_KEY_INDEX_HPP_
