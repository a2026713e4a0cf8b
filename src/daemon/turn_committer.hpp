// Commits the changes of each turn of the event loop, and sends the turn's replies and node messages once
// they are durable. Thus no client and no node sees a change that a crash could undo. Used only with durable
// state.
#ifndef MOUNTFLOW_DAEMON_TURN_COMMITTER_HPP_
#define MOUNTFLOW_DAEMON_TURN_COMMITTER_HPP_

#include "admission/admission.hpp"
#include "daemon/batch_connections.hpp"
#include "daemon/durable_state.hpp"
#include "daemon/held_replies.hpp"
#include "daemon/http_connections.hpp"
#include "daemon/node_connections.hpp"
#include "event_loop/event_loop.hpp"
#include "node_sessions/node_sessions.hpp"

namespace mountflow::daemon {

// Commits turns and releases their output. Not thread-safe: may be used by the event loop's thread only.
class TurnCommitter {
 public:
  // The components that are connected; all of them must outlive the TurnCommitter.
  struct Parts {
    event_loop::EventLoop* loop;
    DurableState* durable_state;
    HeldReplies* held_replies;
    node_sessions::NodeSessions* node_sessions;
    NodeConnections* node_connections;
    BatchConnections* batch_connections;
    HttpConnections* http_connections;
    admission::AdmissionController* admission;
  };
  explicit TurnCommitter(const Parts& parts) : parts_(parts) {}

  // Commits the records of the job manager and of the ledger, holds the replies of the turn, and sends the
  // replies of all turns that have become durable. Returns true if a batch connection was flushed, because
  // its session may then have more output.
  [[nodiscard]] bool CommitTurn();

 private:
  [[nodiscard]] bool SendDurableTurns();

  Parts parts_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_TURN_COMMITTER_HPP_
