// Handler of job obituaries: reports from nodes that an attempt has ended.
#ifndef MOUNTFLOW_PBS_SERVER_OBITUARY_HANDLER_HPP_
#define MOUNTFLOW_PBS_SERVER_OBITUARY_HANDLER_HPP_

#include "pbs_server/request_handler.hpp"

namespace mountflow::pbs_server {

// Handles a job obituary. Because any user could send one, it is rejected if the user of the connection is
// known and the peer is not local (see Peer::local).
[[nodiscard]] OutgoingReply HandleJobObituary(const RequestContext& context,
                                              const pbs_protocol::Request& request);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_OBITUARY_HANDLER_HPP_
