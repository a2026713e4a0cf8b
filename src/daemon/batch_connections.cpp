#include "daemon/batch_connections.hpp"

#include <utility>

#include "daemon/peer.hpp"

namespace mountflow::daemon {

void BatchConnections::OnAccepted(event_loop::ListenerId /*listener*/, event_loop::ConnId connection,
                                  const event_loop::PeerInfo& info) {
  if (pbs_server_->connections() >= kMaxBatchConnections) return loop_->Abort(connection);
  pbs_server_->Open(connection, IdentifyPeer(info));
}

void BatchConnections::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const ScopedCpuTimer timer(profile_, &CpuTimes::pbs_server);
  pbs_server_->Receive(loop_->Now(), connection, bytes, loop_->PreviousTurnStart());
  if (!pbs_server_->WantsRead(connection)) loop_->PauseReading(connection, true);
}

void BatchConnections::OnSent(event_loop::ConnId connection) { Flush(connection); }

void BatchConnections::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  pbs_server_->Close(loop_->Now(), connection);
}

void BatchConnections::Flush(event_loop::ConnId connection) {
  if (held_replies_->HoldsBatchConnection(connection)) return;
  std::string* output = pbs_server_->OutputOf(connection);
  if (output == nullptr) return;
  // The event loop takes output only when it has no unsent bytes of the connection. Other output stays in the
  // session and counts towards the session's limit.
  if (loop_->UnsentBytes(connection) == 0 && !output->empty()) {
    loop_->Send(connection, std::exchange(*output, {}));
  }
  if (pbs_server_->WantsClose(connection) && output->empty()) {
    loop_->Close(connection, true);
    pbs_server_->Close(loop_->Now(), connection);
    return;
  }
  pbs_server_->Resume(loop_->Now(), connection);
  loop_->PauseReading(connection, !pbs_server_->WantsRead(connection));
}

void BatchConnections::FlushOrHold(event_loop::ConnId connection) {
  const bool may_go_now =
      pbs_server_->IsIndependentOfJobState(connection) && !held_replies_->HoldsBatchConnection(connection);
  if (may_go_now) {
    Flush(connection);
  } else {
    held_replies_->AddBatchConnection(connection);
  }
}

}  // namespace mountflow::daemon
