// Connects the sessions of the PBS server to TCP connections of the event loop.
//
// At most kMaxBatchConnections connections are open at a time; further ones are reset. Output that a peer
// does not read stays in its session, and the daemon stops reading from that connection until the output has
// been taken (see pbs_server/pbs_server.hpp).
#ifndef MOUNTFLOW_DAEMON_BATCH_CONNECTIONS_HPP_
#define MOUNTFLOW_DAEMON_BATCH_CONNECTIONS_HPP_

#include <cstddef>
#include <string>
#include <string_view>

#include "daemon/cpu_profile.hpp"
#include "daemon/held_replies.hpp"
#include "event_loop/event_loop.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

inline constexpr std::size_t kMaxBatchConnections = 16'384;

// Accepts batch connections, passes received bytes to the PBS server and sends its output. Not thread-safe:
// may be used by the event loop's thread only. All pointers must outlive this object.
class BatchConnections : public event_loop::ConnectionHandler {
 public:
  BatchConnections(event_loop::EventLoop* loop, pbs_server::PbsServer* pbs_server, HeldReplies* held_replies,
                   CpuProfile* profile)
      : loop_(loop), pbs_server_(pbs_server), held_replies_(held_replies), profile_(profile) {}

  // Sends the output of a session. Does nothing while a turn that is not durable yet holds output of this
  // session.
  void Flush(event_loop::ConnId connection);
  // Used with durable state. Sends the session's output at once if it does not depend on stored state;
  // otherwise holds it until the current turn is durable.
  void FlushOrHold(event_loop::ConnId connection);

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId connection,
                  const event_loop::PeerInfo& info) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnSent(event_loop::ConnId connection) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  event_loop::EventLoop* loop_;
  pbs_server::PbsServer* pbs_server_;
  HeldReplies* held_replies_;
  CpuProfile* profile_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_BATCH_CONNECTIONS_HPP_
