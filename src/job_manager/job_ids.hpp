// Names of jobs and attempts on the wire: NUMBER.SERVER and NUMBER.SERVER/ATTEMPT.
//
// Reading is safe on any thread.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_IDS_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_IDS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

class JobIds {
 public:
  // `server` is the name of this daemon.
  explicit JobIds(std::string server);

  std::string JobId(std::uint64_t job) const;
  // Accepts an id of this server, with its name or without; 0 for any other text.
  std::uint64_t ParseJobId(std::string_view id) const;

  std::string AttemptName(const AttemptId& attempt) const;
  // Accepts names of any server and sets both results; false leaves them unspecified.
  [[nodiscard]] static bool ParseAttemptName(std::string_view name, AttemptId* id, std::string* server);

 private:
  std::string server_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_IDS_HPP_
