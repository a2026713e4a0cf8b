// The requests of a control connection, and the interpretation of their replies.
#ifndef MOUNTFLOW_NODE_SESSIONS_CONTROL_EXCHANGE_HPP_
#define MOUNTFLOW_NODE_SESSIONS_CONTROL_EXCHANGE_HPP_

#include <optional>
#include <string>
#include <variant>

#include "job_manager/messages.hpp"
#include "mountflow/scheduler.hpp"
#include "node_sessions/session_context.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_sessions {

// All requests to a node except those that start attempts. Each gets one reply, in order. The job manager
// gets these messages:
//
//   request           sent as        message on a reply   message without a reply
//   StopAttempt       DeleteJob      StopAnswered         StopFailed
//   SignalAttempt     SignalJob      none                 none
//   QueryAttempt      StatusJob      QueryAnswered        QueryFailed
//   ReconcileNode     StatusJob      NodeReconciled       ReconcileFailed
//   FindKey           SelectJobs     FindKeyAnswered      FindKeyAnswered without `reached`
//   CheckNodeHealth   StatusServer   NodeHealthChecked    NodeHealthChecked without `answered`
using ControlRequest =
    std::variant<job_manager::StopAttempt, job_manager::SignalAttempt, job_manager::QueryAttempt,
                 job_manager::ReconcileNode, job_manager::FindKey, job_manager::CheckNodeHealth>;

// A request whose reply is awaited.
struct PendingControl {
  ControlRequest request;
  Micros sent = 0;  // time at which the request was sent
};

// Returns the encoded batch request.
[[nodiscard]] std::string EncodeControl(const SessionContext& context, const ControlRequest& request);
// Returns the message to the job manager for a reply to `pending`, which arrived from `node` at `now`;
// nothing if there is none.
[[nodiscard]] std::optional<job_manager::NodeMessage> ReadControlReply(const SessionContext& context,
                                                                       Micros now, NodeId node,
                                                                       const PendingControl& pending,
                                                                       const pbs_protocol::Reply& reply);
// Returns the message to the job manager for a request that will get no reply; nothing if there is none.
[[nodiscard]] std::optional<job_manager::NodeMessage> ControlFailure(NodeId node,
                                                                     const ControlRequest& request);

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_CONTROL_EXCHANGE_HPP_
