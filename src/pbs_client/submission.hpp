// Submission of a job to one of several batch servers, with retries.
#ifndef MOUNTFLOW_PBS_CLIENT_SUBMISSION_HPP_
#define MOUNTFLOW_PBS_CLIENT_SUBMISSION_HPP_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::pbs_client {

struct Submission {
  std::string user;
  std::string destination;  // queue name; empty for the default queue
  pbs_protocol::Attributes attributes;
  std::string script;
  std::string key;                     // deduplicates retries; without a key, a lost commit is not retried
  Micros answer_timeout = 10'000'000;  // limit of one attempt at one server
  Micros client_time = 0;              // from connecting until the job's deadline; 0 for no deadline
  unsigned max_attempts = 1;           // attempts at all servers, which are tried in turn
};

struct SubmittedJob {
  std::string id;
  std::string server;            // address of the server that has the job
  bool already_existed = false;  // whether an earlier submission created the job
};

struct SubmitError {
  // Code of the last reply that rejected the submission; kNone if no server rejected it.
  pbs_protocol::Code reply_code = pbs_protocol::Code::kNone;
  std::string reason;  // why the last attempt failed
};

// Returns the reason, preceded by the meaning of the reply code unless the two are equal.
[[nodiscard]] std::string Describe(const SubmitError& error);

// Submits a job with the requests QueueJob, JobScript, RdytoCommit and Commit. Blocks until a server has
// accepted the job, has rejected it for good, or no attempts are left.
//
// If the reply to a commit is lost, the job may exist. The next attempt, which may use the same server, sends
// the same key and states that it is a retry and until when the job of the earlier attempt may still start,
// so that the server can wait for it. If a server rejects a submission with a time to retry, the next attempt
// is delayed by that time.
[[nodiscard]] tl::expected<SubmittedJob, SubmitError> Submit(const std::vector<std::string>& servers,
                                                             const Submission& submission);

}  // namespace mountflow::pbs_client

#endif  // MOUNTFLOW_PBS_CLIENT_SUBMISSION_HPP_
