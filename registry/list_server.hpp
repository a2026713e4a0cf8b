// The stand-in node list on a socket: Store or EtcdStore behind an HTTP port.
#ifndef MOUNTFLOW_REGISTRY_LIST_SERVER_HPP_
#define MOUNTFLOW_REGISTRY_LIST_SERVER_HPP_

#include <map>
#include <memory>
#include <string>

#include "http/message.hpp"
#include "net/loop.hpp"
#include "registry/catalog.hpp"
#include "registry/etcd_store.hpp"
#include "registry/store.hpp"
#include "tls/keys.hpp"

namespace mountflow::registry {

class ListServer : public net::Handler {
 public:
  ListServer(net::Loop* loop, bool etcd) : loop_(loop), etcd_(etcd) {}
  // With TLS where `tls` has files.
  bool Start(const std::string& address, Micros delay, const tls::Options& tls, std::string* error);
  int port() const { return loop_->PortOf(listener_); }

  void OnAccepted(net::ListenerId, net::ConnId conn, const net::PeerInfo&) override;
  void OnReceived(net::ConnId conn, std::string_view bytes) override;
  void OnClosed(net::ConnId conn, const std::string&) override;

 private:
  // PUT /v1/break: scripted trouble, as the rehearsal kit asks for it. leader=true|false; restore=N (N
  // revisions back); compact=true; empty=PREFIX; flood=N (changes of fifty entries under prefix=P;
  // leave=true: they stay).
  std::string Break(Micros now, const http::Message& request);
  void Pump();
  net::Loop* loop_;
  net::ListenerId listener_ = 0;
  std::map<net::ConnId, http::Reader> readers_;
  bool etcd_;
  Store store_;
  Catalog catalog_;
  EtcdStore etcd_store_;
  std::uint64_t timer_ = 0;
  std::unique_ptr<tls::Keys> keys_;
};

}  // namespace mountflow::registry

#endif  // MOUNTFLOW_REGISTRY_LIST_SERVER_HPP_
