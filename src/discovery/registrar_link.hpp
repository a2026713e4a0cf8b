// Carries a Registrar's requests over a kept connection: the shell's part.
#ifndef MOUNTFLOW_DISCOVERY_REGISTRAR_LINK_HPP_
#define MOUNTFLOW_DISCOVERY_REGISTRAR_LINK_HPP_

#include <memory>
#include <string>

#include "discovery/registrar.hpp"
#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tls/keys.hpp"

namespace mountflow::discovery {

class RegistrarLink : public event_loop::ConnectionHandler {
 public:
  RegistrarLink(event_loop::EventLoop* loop, Registrar* registrar, tls::Keys* keys)
      : loop_(loop), registrar_(registrar), keys_(keys) {}
  ~RegistrarLink() override;
  void Poll();  // sends what is due; call each turn

  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override;

 private:
  void Drop();
  void Fail(const std::string& why);
  event_loop::EventLoop* loop_;
  Registrar* registrar_;
  tls::Keys* keys_;
  event_loop::ConnId conn_ = 0;
  std::string endpoint_;
  std::unique_ptr<http::Reader> reader_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_REGISTRAR_LINK_HPP_
