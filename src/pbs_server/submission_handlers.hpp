// Handlers of the four requests of a submission, and its admission.
//
// A connection has at most one submission in progress; another one is rejected with kTooMany. Its script has
// at most `max_script_bytes`; a longer script is rejected with kBadValue, and the submission is discarded.
#ifndef MOUNTFLOW_PBS_SERVER_SUBMISSION_HANDLERS_HPP_
#define MOUNTFLOW_PBS_SERVER_SUBMISSION_HANDLERS_HPP_

#include "admission/admission.hpp"
#include "pbs_server/request_handler.hpp"

namespace mountflow::pbs_server {

// In the requests after QueueJob, the client gives the job id or leaves it empty. An empty id means the
// submission in progress, so a client can pipeline the four requests.
[[nodiscard]] OutgoingReply QueueJob(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply AddJobScript(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply PrepareCommit(const RequestContext& context,
                                          const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply CommitJob(const RequestContext& context, const pbs_protocol::Request& request);

// Returns the time at which the client of a QueueJob request stops waiting. It follows from the attributes of
// the request and the time limit of the queue, or `max_wait` if the queue is unknown. Malformed attributes
// are ignored here; QueueJob reports them.
[[nodiscard]] Micros ClientDeadline(const pbs_protocol::Request& request, Micros arrived_at,
                                    const job_manager::JobManager& job_manager,
                                    const PbsServerOptions& options);

// Returns the reply to a submission that was rejected by admission control. If the client should retry later,
// the text and the auxiliary field state the delay in milliseconds.
[[nodiscard]] OutgoingReply AdmissionRejection(const admission::AdmissionDecision& decision);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_SUBMISSION_HANDLERS_HPP_
