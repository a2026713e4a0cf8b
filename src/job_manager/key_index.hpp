// Maps idempotency keys to jobs. Keys are separate for each user: two users may use the same key.
//
// Bound: at most one entry for each job that has a key. The caller removes the entry of a job that it
// forgets.
//
// Used by JobManager only; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_KEY_INDEX_HPP_
#define MOUNTFLOW_JOB_MANAGER_KEY_INDEX_HPP_

#include <cstdint>
#include <map>
#include <string>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

// Joins a user and a key into one text, separated by a zero byte. The result is unambiguous because the name
// of a user contains no zero byte.
std::string QualifiedKey(const std::string& user, const std::string& key);

class KeyIndex {
 public:
  // Maps the key of `spec` to the job, and replaces an earlier job with the same key. Does nothing if `spec`
  // has no key.
  void Add(std::uint64_t job, const JobSpec& spec);
  // Removes the key of `spec`, unless it is mapped to another job.
  void Remove(std::uint64_t job, const JobSpec& spec);
  // Returns the job with this key, or 0 if there is none.
  std::uint64_t Find(const std::string& user, const std::string& key) const;
  std::size_t size() const { return jobs_.size(); }

 private:
  std::map<std::string, std::uint64_t> jobs_;  // by QualifiedKey
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_KEY_INDEX_HPP_
