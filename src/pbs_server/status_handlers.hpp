// Handlers of status requests for jobs, queues and the server, and of requests that select jobs.
//
// A reply contains at most kMaxObjects objects or ids; any more are omitted.
#ifndef MOUNTFLOW_PBS_SERVER_STATUS_HANDLERS_HPP_
#define MOUNTFLOW_PBS_SERVER_STATUS_HANDLERS_HPP_

#include "pbs_server/final_answer_waits.hpp"
#include "pbs_server/request_handler.hpp"

namespace mountflow::pbs_server {

// Replies with the status of one job, of the jobs of a queue, or of all jobs, depending on the request's id.
// Complete jobs of a queue or of the server are included only with the extension "x".
[[nodiscard]] OutgoingReply StatusJobs(const RequestContext& context, const pbs_protocol::Request& request);
// Replies with the status of one queue, or of all queues if the id is empty.
[[nodiscard]] OutgoingReply StatusQueues(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply StatusServer(const RequestContext& context, const pbs_protocol::Request& request);
// Replies with the ids of the jobs that satisfy all attributes of the request. Complete jobs are included
// only if the criterion on `job_state` lists their state.
[[nodiscard]] OutgoingReply SelectJobs(const RequestContext& context, const pbs_protocol::Request& request);

// Returns a status reply with all attributes of one job, or kUnknownJob.
[[nodiscard]] OutgoingReply StatusOfJob(const job_manager::JobManager& job_manager, std::uint64_t number,
                                        const Vocabulary& vocabulary);

// Returns the wait that a StatusJob request demands by its extension, "wait=answer" or "wait=end", optionally
// followed by ",seconds=N". Returns nothing if the request demands no wait, names no known job, or waits for
// an event that has happened already.
[[nodiscard]] std::optional<FinalAnswerWaits::Wait> RequestedWait(const RequestContext& context,
                                                                  const pbs_protocol::Request& request);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_STATUS_HANDLERS_HPP_
