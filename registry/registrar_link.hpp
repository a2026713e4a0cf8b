// Carries a Registrar's requests over a kept connection: the shell's part.
#ifndef MOUNTFLOW_REGISTRY_REGISTRAR_LINK_HPP_
#define MOUNTFLOW_REGISTRY_REGISTRAR_LINK_HPP_

#include <memory>
#include <string>

#include "http/message.hpp"
#include "net/loop.hpp"
#include "registry/registrar.hpp"
#include "tls/keys.hpp"

namespace mountflow::registry {

class RegistrarLink : public net::Handler {
 public:
  RegistrarLink(net::Loop* loop, Registrar* registrar, tls::Keys* keys)
      : loop_(loop), registrar_(registrar), keys_(keys) {}
  ~RegistrarLink() override;
  void Poll();  // sends what is due; call each turn

  void OnReceived(net::ConnId conn, std::string_view bytes) override;
  void OnClosed(net::ConnId conn, const std::string& reason) override;

 private:
  void Drop();
  void Fail(const std::string& why);
  net::Loop* loop_;
  Registrar* registrar_;
  tls::Keys* keys_;
  net::ConnId conn_ = 0;
  std::string endpoint_;
  std::unique_ptr<http::Reader> reader_;
};

}  // namespace mountflow::registry

#endif  // MOUNTFLOW_REGISTRY_REGISTRAR_LINK_HPP_
