#include "daemon/node_connections.hpp"

#include <variant>

namespace mountflow::daemon {
namespace {

// The node sessions number their connections themselves. This offset keeps their numbers distinct from those
// that the event loop assigns.
constexpr event_loop::ConnId kFirstConnection = 1ULL << 62;

}  // namespace

void NodeConnections::CarryOut(const std::vector<node_sessions::SessionAction>& actions) {
  for (const node_sessions::SessionAction& action : actions) {
    if (const auto* open = std::get_if<node_sessions::OpenConn>(&action)) {
      loop_->Connect(open->address, this, kFirstConnection + open->conn);
    } else if (const auto* send = std::get_if<node_sessions::SendBytes>(&action)) {
      loop_->Send(kFirstConnection + send->conn, send->bytes);
    } else if (const auto* close = std::get_if<node_sessions::CloseConn>(&action)) {
      loop_->Close(kFirstConnection + close->conn);
    }
  }
}

void NodeConnections::OnConnected(event_loop::ConnId connection) {
  const ScopedCpuTimer timer(profile_, &CpuTimes::node_sessions);
  sessions_->Connected(loop_->Now(), connection - kFirstConnection);
}

void NodeConnections::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const ScopedCpuTimer timer(profile_, &CpuTimes::node_sessions);
  sessions_->Received(loop_->Now(), connection - kFirstConnection, bytes);
}

void NodeConnections::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  sessions_->Closed(loop_->Now(), connection - kFirstConnection);
}

}  // namespace mountflow::daemon
