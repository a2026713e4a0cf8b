// The state that attempt sessions and control sessions share.
#ifndef MOUNTFLOW_NODE_SESSIONS_SESSION_CONTEXT_HPP_
#define MOUNTFLOW_NODE_SESSIONS_SESSION_CONTEXT_HPP_

#include <vector>

#include "job_manager/job_manager.hpp"
#include "job_manager/messages.hpp"
#include "node_sessions/session_connections.hpp"
#include "node_sessions/session_types.hpp"
#include "pbs_server/vocabulary.hpp"

namespace mountflow::node_sessions {

// Does not own the job manager, which must outlive it.
struct SessionContext {
  const job_manager::JobManager* job_manager = nullptr;
  pbs_server::Vocabulary vocabulary;
  NodeSessionOptions options;
  SessionConnections connections;
  std::vector<job_manager::NodeMessage> messages;  // messages for the job manager, in order
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_SESSION_CONTEXT_HPP_
