// Dispatch of requests to their handlers, by request type. The handlers, which reply without waiting, are
// defined in submission_handlers, status_handlers, job_command_handlers and obituary_handler.
#ifndef MOUNTFLOW_PBS_SERVER_REQUEST_HANDLER_HPP_
#define MOUNTFLOW_PBS_SERVER_REQUEST_HANDLER_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "job_manager/job_manager.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/pbs_server_options.hpp"
#include "pbs_server/request_error_log.hpp"

namespace mountflow::pbs_server {

// A submission between its QueueJob and its Commit. The job manager has no job for it yet.
struct PendingSubmission {
  std::uint64_t number = 0;  // job number
  std::string id;
  job_manager::JobSpec spec;
};

// Context in which a handler runs. Valid during one request.
struct RequestContext {
  Micros now;
  job_manager::JobManager& job_manager;
  const PbsServerOptions& options;
  const Peer& peer;
  std::optional<PendingSubmission>& submission;  // the connection's submission in progress
  RequestErrorLog& request_errors;
  std::string user;  // user that the request acts for, without a host name

  // Returns the user to pass to the job manager's commands. It is empty for managers, who may act on all
  // jobs.
  [[nodiscard]] std::string ActingUser() const { return options.managers.count(user) > 0 ? "" : user; }
};

// A reply, and whether it may be sent before pending writes are durable.
struct OutgoingReply {
  pbs_protocol::Reply reply;
  // Whether the reply reveals nothing that the job manager stores. It may then be sent before pending writes
  // are durable.
  bool independent_of_job_state = false;
};

// Returns a reply without a body.
[[nodiscard]] pbs_protocol::Reply MakeReply(pbs_protocol::Code code);
// Returns a reply with a text.
[[nodiscard]] pbs_protocol::Reply MakeReply(pbs_protocol::Code code, std::string text);
// Returns a reply that reports success and carries a job id.
[[nodiscard]] pbs_protocol::Reply MakeReply(pbs_protocol::Choice choice, std::string id);

// Handles a request of any type except kDisconnect. Replies kUnknownRequest to a type without a handler.
[[nodiscard]] OutgoingReply HandleRequest(const RequestContext& context,
                                          const pbs_protocol::Request& request);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_REQUEST_HANDLER_HPP_
