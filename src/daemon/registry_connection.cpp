#include "daemon/registry_connection.hpp"

#include <variant>
#include <vector>

namespace mountflow::daemon {

void RegistryConnection::Poll() {
  client_->Tick(loop_->Now());
  for (;;) {
    const std::vector<discovery::ClientAction> actions = std::exchange(client_->actions(), {});
    if (actions.empty()) return;
    for (const discovery::ClientAction& action : actions) CarryOut(action);
  }
}

void RegistryConnection::CarryOut(const discovery::ClientAction& action) {
  if (const auto* open = std::get_if<discovery::OpenConnection>(&action)) {
    connection_ = loop_->Connect(open->address, this, 0, keys_->Session(open->address));
  } else if (const auto* send = std::get_if<discovery::SendBytes>(&action)) {
    loop_->Send(connection_, send->bytes);
  } else {
    loop_->Close(std::exchange(connection_, 0));
  }
}

void RegistryConnection::OnConnected(event_loop::ConnId connection) {
  if (connection == connection_) client_->Connected(loop_->Now());
}

void RegistryConnection::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  if (connection == connection_) client_->Received(loop_->Now(), bytes);
}

void RegistryConnection::OnClosed(event_loop::ConnId connection, const std::string& reason) {
  if (connection != connection_) return;
  connection_ = 0;
  client_->Closed(loop_->Now(), reason);
  if (on_closed_) on_closed_();
}

}  // namespace mountflow::daemon
