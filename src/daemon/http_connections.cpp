#include "daemon/http_connections.hpp"

#include <utility>
#include <vector>

#include "daemon/peer.hpp"

namespace mountflow::daemon {
namespace {

constexpr int kServiceUnavailable = 503;

std::string PlainTextReply(int status, const std::string& text, bool keep_alive) {
  const std::vector<std::pair<std::string, std::string>> headers = {{"Content-Type", "text/plain"}};
  return http::WriteReply(status, headers, text + "\n", keep_alive);
}

}  // namespace

void HttpConnections::OnAccepted(event_loop::ListenerId /*listener*/, event_loop::ConnId connection,
                                 const event_loop::PeerInfo& info) {
  if (connections_.size() >= kMaxHttpConnections) return loop_->Abort(connection);
  http::Reader reader(http::Reader::Side::kRequests, kMaxHttpBodyBytes);
  connections_.emplace(connection, Connection{std::move(reader), IdentifyPeer(info)});
}

void HttpConnections::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  const bool well_formed = it->second.reader.Feed(bytes);
  const bool keep_alive = AnswerRequests(connection, &it->second);
  if (well_formed && keep_alive) return;
  if (keep_alive) AnswerMalformed(connection, it->second.reader);
  connections_.erase(it);
}

void HttpConnections::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  connections_.erase(connection);
}

bool HttpConnections::AnswerRequests(event_loop::ConnId id, Connection* connection) {
  auto& requests = connection->reader.messages();
  while (!requests.empty()) {
    const http::Message request = std::move(requests.front());
    requests.pop_front();
    HttpResponse response =
        http_api_->Handle(loop_->Now(), request, connection->peer, loop_->PreviousTurnStart());
    SendOrHold({id, std::move(response.bytes), !request.keep_alive}, response.reports_stored_state);
    if (!request.keep_alive) return false;
  }
  return true;
}

void HttpConnections::AnswerMalformed(event_loop::ConnId id, const http::Reader& reader) {
  SendOrHold({id, PlainTextReply(reader.status(), "expected " + reader.error(), false), true}, false);
}

// Caution: a reply that need not wait for storage must not overtake a held reply on the same connection.
void HttpConnections::SendOrHold(HttpReply reply, bool reports_stored_state) {
  if (!durable_state_->is_open()) return Send(reply);
  if (reports_stored_state && durable_state_->IsFull()) {
    reply.bytes = PlainTextReply(kServiceUnavailable, durable_state_->Rejection(), !reply.close);
    reports_stored_state = false;
  }
  if (!reports_stored_state && !held_replies_->HoldsHttpConnection(reply.connection)) return Send(reply);
  loop_->PauseReading(reply.connection, true);
  held_replies_->AddHttpReply(std::move(reply));
}

void HttpConnections::Send(const HttpReply& reply) {
  loop_->Send(reply.connection, reply.bytes);
  if (reply.close) loop_->Close(reply.connection, true);
}

void HttpConnections::SendHeld(const HttpReply& reply) {
  Send(reply);
  if (held_replies_->FinishHttpReply(reply.connection)) loop_->PauseReading(reply.connection, false);
}

}  // namespace mountflow::daemon
