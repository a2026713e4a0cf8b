#include "discovery/registrar_connection.hpp"

#include <utility>

namespace mountflow::discovery {
namespace {

constexpr std::size_t kMaxReplyBytes = 1U << 20U;

}  // namespace

RegistrarConnection::~RegistrarConnection() { Close(); }

void RegistrarConnection::Close() {
  if (connection_ != 0) loop_->Close(std::exchange(connection_, 0));
}

void RegistrarConnection::Fail(const std::string& reason) {
  Close();
  registrar_->OnFailure(loop_->Now(), reason);
}

void RegistrarConnection::Poll() {
  const Micros now = loop_->Now();
  if (registrar_->IsOverdue(now)) Fail("no answer in time");
  const auto request = registrar_->NextRequest(now);
  if (!request) return;
  if (connection_ == 0 || request->endpoint != endpoint_) Connect(request->endpoint);
  loop_->Send(connection_, request->bytes);
}

void RegistrarConnection::Connect(const std::string& endpoint) {
  Close();
  endpoint_ = endpoint;
  connection_ = loop_->Connect(endpoint_, this, 0, keys_->Session(endpoint_));
  reader_ = std::make_unique<http::Reader>(http::Reader::Side::kReplies, kMaxReplyBytes);
}

void RegistrarConnection::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  if (connection != connection_) return;
  if (!reader_->Feed(bytes)) return Fail("expected " + reader_->error());
  while (connection == connection_ && !reader_->messages().empty()) {
    const http::Message reply = std::move(reader_->messages().front());
    reader_->messages().pop_front();
    registrar_->OnReply(loop_->Now(), reply);
    if (!reply.keep_alive) Close();
  }
}

void RegistrarConnection::OnClosed(event_loop::ConnId connection, const std::string& reason) {
  if (connection != connection_) return;
  connection_ = 0;
  registrar_->OnFailure(loop_->Now(), reason);
}

}  // namespace mountflow::discovery
