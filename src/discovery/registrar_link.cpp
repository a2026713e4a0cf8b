#include "discovery/registrar_link.hpp"

#include <utility>

namespace mountflow::discovery {

RegistrarLink::~RegistrarLink() { Drop(); }

void RegistrarLink::Drop() {
  if (conn_ != 0) loop_->Close(std::exchange(conn_, 0));
}

void RegistrarLink::Fail(const std::string& why) {
  Drop();
  registrar_->OnFailure(loop_->Now(), why);
}

void RegistrarLink::Poll() {
  const Micros now = loop_->Now();
  if (registrar_->Overdue(now)) Fail("no answer in time");
  const auto request = registrar_->Next(now);
  if (!request) return;
  if (conn_ == 0 || request->endpoint != endpoint_) {
    Drop();
    endpoint_ = request->endpoint;
    conn_ = loop_->Connect(endpoint_, this, 0, keys_->Session(endpoint_));
    reader_ = std::make_unique<http::Reader>(http::Reader::Side::kReplies, 1 << 20);
  }
  loop_->Send(conn_, request->bytes);
}

void RegistrarLink::OnReceived(event_loop::ConnId conn, std::string_view bytes) {
  if (conn != conn_) return;
  if (!reader_->Feed(bytes)) return Fail("expected " + reader_->error());
  while (conn == conn_ && !reader_->messages().empty()) {
    const http::Message reply = std::move(reader_->messages().front());
    reader_->messages().pop_front();
    registrar_->OnReply(loop_->Now(), reply);
    if (!reply.keep_alive) Drop();
  }
}

void RegistrarLink::OnClosed(event_loop::ConnId conn, const std::string& reason) {
  if (conn != conn_) return;
  conn_ = 0;
  registrar_->OnFailure(loop_->Now(), reason);
}

}  // namespace mountflow::discovery
