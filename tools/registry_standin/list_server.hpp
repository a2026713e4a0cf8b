// The stand-in node list on a socket: Store or EtcdStore behind an HTTP port.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_LIST_SERVER_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_LIST_SERVER_HPP_

#include <map>
#include <memory>
#include <string>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tls/keys.hpp"
#include "tools/registry_standin/catalog.hpp"
#include "tools/registry_standin/etcd_store.hpp"
#include "tools/registry_standin/store.hpp"

namespace mountflow::discovery {

class ListServer : public event_loop::ConnectionHandler {
 public:
  ListServer(event_loop::EventLoop* loop, bool etcd) : loop_(loop), etcd_(etcd) {}
  // With TLS where `tls` has files.
  bool Start(const std::string& address, Micros delay, const tls::Options& tls, std::string* error);
  int port() const { return loop_->PortOf(listener_); }

  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override;
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId conn, const std::string&) override;

 private:
  // PUT /v1/break: scripted trouble, as the rehearsal kit asks for it. leader=true|false; restore=N (N
  // revisions back); compact=true; empty=PREFIX; flood=N (changes of fifty entries under prefix=P;
  // leave=true: they stay).
  std::string Break(Micros now, const http::Message& request);
  void Pump();
  event_loop::EventLoop* loop_;
  event_loop::ListenerId listener_ = 0;
  std::map<event_loop::ConnId, http::Reader> readers_;
  bool etcd_;
  Store store_;
  Catalog catalog_;
  EtcdStore etcd_store_;
  std::uint64_t timer_ = 0;
  std::unique_ptr<tls::Keys> keys_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_LIST_SERVER_HPP_
