// Sends the requests of a Registrar over a connection of the event loop.
#ifndef MOUNTFLOW_DISCOVERY_REGISTRAR_CONNECTION_HPP_
#define MOUNTFLOW_DISCOVERY_REGISTRAR_CONNECTION_HPP_

#include <memory>
#include <string>
#include <string_view>

#include "discovery/registrar.hpp"
#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tls/keys.hpp"

namespace mountflow::discovery {

// Owns at most one connection, which stays open between requests. The loop, the registrar and the keys must
// outlive this object.
class RegistrarConnection : public event_loop::ConnectionHandler {
 public:
  RegistrarConnection(event_loop::EventLoop* loop, Registrar* registrar, tls::Keys* keys)
      : loop_(loop), registrar_(registrar), keys_(keys) {}
  RegistrarConnection(const RegistrarConnection&) = delete;
  RegistrarConnection& operator=(const RegistrarConnection&) = delete;
  ~RegistrarConnection() override;

  // Handles a request timeout and sends the request that is due. Must be called in each iteration of the
  // loop.
  void Poll();

  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  void Connect(const std::string& endpoint);
  void Close();
  void Fail(const std::string& reason);

  event_loop::EventLoop* loop_;
  Registrar* registrar_;
  tls::Keys* keys_;
  event_loop::ConnId connection_ = 0;  // 0: none
  std::string endpoint_;
  std::unique_ptr<http::Reader> reader_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRAR_CONNECTION_HPP_
