#include "registry/list_server.hpp"

#include <algorithm>

namespace mountflow::registry {

bool ListServer::Start(const std::string& address, Micros delay, const tls::Options& tls,
                       std::string* error) {
  store_.SetDelay(delay);
  keys_ = std::make_unique<tls::Keys>(tls, tls::Side::kServer);
  if (!keys_->Start(loop_->Now(), error)) return false;
  net::Loop::Filters filters;
  if (keys_->on()) {
    filters = [this] {
      keys_->Poll(loop_->Now());
      return keys_->Session("");
    };
  }
  listener_ = loop_->Listen(address, this, error, std::move(filters));
  return listener_ != 0;
}

void ListServer::OnAccepted(net::ListenerId, net::ConnId conn, const net::PeerInfo&) {
  readers_.emplace(conn, http::Reader(http::Reader::Side::kRequests, 1 << 20));
}

void ListServer::OnReceived(net::ConnId conn, std::string_view bytes) {
  const auto it = readers_.find(conn);
  if (it == readers_.end()) return;
  const bool good = it->second.Feed(bytes);
  auto& requests = it->second.messages();
  while (!requests.empty()) {
    if (etcd_) {
      etcd_store_.Handle(loop_->Now(), conn, requests.front());
    } else {
      store_.Handle(loop_->Now(), conn, requests.front());
    }
    requests.pop_front();
  }
  if (!good) loop_->Send(conn, http::WriteReply(it->second.status(), {}, it->second.error(), false));
  Pump();
}

void ListServer::OnClosed(net::ConnId conn, const std::string&) {
  readers_.erase(conn);
  store_.Forget(conn);
  etcd_store_.Forget(conn);
}

void ListServer::Pump() {
  store_.Tick(loop_->Now());
  etcd_store_.Tick(loop_->Now());
  for (const EtcdStore::Sent& sent : etcd_store_.Take()) {
    loop_->Send(sent.conn, sent.bytes);
    if (sent.close) loop_->Close(sent.conn, true);
  }
  for (const Store::Ready& ready : store_.Take()) loop_->Send(ready.reader, ready.reply);
  if (timer_ != 0) loop_->CancelTimer(timer_);
  timer_ = 0;
  const Micros next = std::min(store_.NextTimer(), etcd_store_.NextTimer());
  if (next != ~Micros{0}) {
    timer_ = loop_->At(next, [this] {
      timer_ = 0;
      Pump();
    });
  }
}

}  // namespace mountflow::registry
