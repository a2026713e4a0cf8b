// Reads the JSON of a submission (POST /v1/jobs). Its members correspond to attributes of the batch protocol
// and are checked by the same rules.
#ifndef MOUNTFLOW_DAEMON_HTTP_SUBMISSION_HPP_
#define MOUNTFLOW_DAEMON_HTTP_SUBMISSION_HPP_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "daemon/http_problem.hpp"
#include "job_manager/job.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

// Returns the job that `user` submits with `body`. On failure, the problem names the first member that is
// unknown or invalid.
[[nodiscard]] tl::expected<job_manager::JobSpec, HttpProblem> ReadSubmission(
    std::string_view body, const std::string& user, const pbs_server::PbsServerOptions& options);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HTTP_SUBMISSION_HPP_
