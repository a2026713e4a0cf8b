// With durable state: commits what a turn of the event loop changed, and sends the turn's replies and
// messages to nodes once that is durable. So no client and no node learns of anything that a crash would
// undo.
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

// Not thread-safe: used by the event loop's thread alone.
class TurnCommitter {
 public:
  // What it works between; all must outlive it.
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

  // Commits the records of the job manager and of the ledger, holds the replies of the turn, and sends those
  // of all turns that are durable now. True when a batch connection was flushed: its session may have more to
  // do.
  [[nodiscard]] bool CommitTurn();

 private:
  [[nodiscard]] bool SendDurableTurns();

  Parts parts_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_TURN_COMMITTER_HPP_
