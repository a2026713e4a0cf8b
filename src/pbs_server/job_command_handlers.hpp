// Handlers of requests that act on one job: delete, hold, release, modify, move, rerun, signal.
#ifndef MOUNTFLOW_PBS_SERVER_JOB_COMMAND_HANDLERS_HPP_
#define MOUNTFLOW_PBS_SERVER_JOB_COMMAND_HANDLERS_HPP_

#include "pbs_server/request_handler.hpp"

namespace mountflow::pbs_server {

[[nodiscard]] OutgoingReply DeleteJob(const RequestContext& context, const pbs_protocol::Request& request);
// HoldJob and ReleaseJob change operator and system holds (types "o" and "s") for managers only.
[[nodiscard]] OutgoingReply HoldJob(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply ReleaseJob(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply ModifyJob(const RequestContext& context, const pbs_protocol::Request& request);
// Moves a job to another queue.
[[nodiscard]] OutgoingReply MoveJob(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply RerunJob(const RequestContext& context, const pbs_protocol::Request& request);
[[nodiscard]] OutgoingReply SignalJob(const RequestContext& context, const pbs_protocol::Request& request);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_JOB_COMMAND_HANDLERS_HPP_
