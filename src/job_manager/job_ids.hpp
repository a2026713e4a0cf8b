// Formats and parses the names of jobs and attempts on the wire: NUMBER.SERVER and NUMBER.SERVER/ATTEMPT.
//
// A JobIds object does not change after construction, so all its functions may be called on any thread.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_IDS_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_IDS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

class JobIds {
 public:
  // `server` is the name of this daemon, which is part of each id.
  explicit JobIds(std::string server);

  std::string JobId(std::uint64_t job) const;
  // Parses a job id of this server, with or without the server's name. Returns 0 for any other text.
  std::uint64_t ParseJobId(std::string_view id) const;

  std::string AttemptName(const AttemptId& attempt) const;
  // Parses an attempt name of any server into `*id` and `*server`. Returns false if the text is not an
  // attempt name; the values of `*id` and `*server` are then unspecified.
  [[nodiscard]] static bool ParseAttemptName(std::string_view name, AttemptId* id, std::string* server);

 private:
  std::string server_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_IDS_HPP_
