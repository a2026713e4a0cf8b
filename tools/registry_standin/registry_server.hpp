// A fake registry that listens on a socket: one of the protocols on an HTTP port, with TLS if key files are
// configured.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REGISTRY_SERVER_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REGISTRY_SERVER_HPP_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <variant>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tls/keys.hpp"
#include "tools/registry_standin/registry_backend.hpp"

namespace mountflow::registry_standin {

// The reason why the server could not start: an error in its key files or in the address.
using RegistryServerError = std::variant<tls::TlsError, event_loop::EventLoopError>;

[[nodiscard]] std::string Describe(const RegistryServerError& error);

// Serves one registry backend over HTTP. Must be used only on the event loop's thread.
class RegistryServer : public event_loop::ConnectionHandler {
 public:
  // `loop` is not owned and must outlive the server.
  RegistryServer(event_loop::EventLoop* loop, std::unique_ptr<RegistryBackend> backend)
      : loop_(loop), backend_(std::move(backend)) {}

  // Listens at IP:PORT; port 0 selects any free port. Must be called at most once.
  [[nodiscard]] tl::expected<void, RegistryServerError> Start(const std::string& address,
                                                              const tls::Options& tls);
  [[nodiscard]] int port() const { return loop_->PortOf(listener_); }

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId connection,
                  const event_loop::PeerInfo& peer) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  void Handle(event_loop::ConnId connection, const http::Message& request);
  // Runs the registry's due work, sends its replies and sets the timer.
  void Dispatch();
  void SetTimer();

  event_loop::EventLoop* const loop_;
  const std::unique_ptr<RegistryBackend> backend_;
  std::unique_ptr<tls::Keys> keys_;
  event_loop::ListenerId listener_ = 0;
  std::map<event_loop::ConnId, http::Reader> readers_;
  std::uint64_t timer_ = 0;  // 0: no timer is set
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REGISTRY_SERVER_HPP_
