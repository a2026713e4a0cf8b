#include "tools/registry_standin/registry_server.hpp"

#include "tools/registry_standin/fault_control.hpp"

namespace mountflow::registry_standin {
namespace {

constexpr std::size_t kMaxRequestBody = 1 << 20;  // bytes

}  // namespace

std::string Describe(const RegistryServerError& error) {
  return std::visit([](const auto& cause) { return Describe(cause); }, error);
}

tl::expected<void, RegistryServerError> RegistryServer::Start(const std::string& address,
                                                              const tls::Options& tls) {
  keys_ = std::make_unique<tls::Keys>(tls, tls::Side::kServer);
  const auto keys_loaded = keys_->Start(loop_->Now());
  if (!keys_loaded) return tl::unexpected(RegistryServerError(keys_loaded.error()));
  event_loop::FilterFactory filters;
  if (keys_->on()) {
    filters = [this] {
      keys_->Poll(loop_->Now());
      return keys_->Session("");
    };
  }
  const auto listener = loop_->Listen(address, this, std::move(filters));
  if (!listener) return tl::unexpected(RegistryServerError(listener.error()));
  listener_ = *listener;
  return {};
}

void RegistryServer::OnAccepted(event_loop::ListenerId /*listener*/, event_loop::ConnId connection,
                                const event_loop::PeerInfo& /*peer*/) {
  readers_.emplace(connection, http::Reader(http::Reader::Side::kRequests, kMaxRequestBody));
}

void RegistryServer::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const auto it = readers_.find(connection);
  if (it == readers_.end()) return;
  http::Reader& reader = it->second;
  const bool is_valid = reader.Feed(bytes);
  for (auto& requests = reader.messages(); !requests.empty(); requests.pop_front()) {
    Handle(connection, requests.front());
  }
  if (!is_valid) loop_->Send(connection, http::WriteReply(reader.status(), {}, reader.error(), false));
  Dispatch();
}

void RegistryServer::Handle(event_loop::ConnId connection, const http::Message& request) {
  if (!IsFaultRequest(request)) return backend_->Handle(loop_->Now(), connection, request);
  InjectFaults(loop_->Now(), request, backend_.get());
  loop_->Send(connection, http::WriteReply(200, {}, "", request.keep_alive));
}

void RegistryServer::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  readers_.erase(connection);
  backend_->Forget(connection);
}

void RegistryServer::Dispatch() {
  backend_->Tick(loop_->Now());
  for (const Reply& reply : backend_->Take()) {
    loop_->Send(reply.connection, reply.bytes);
    if (reply.close_after) loop_->Close(reply.connection, true);
  }
  SetTimer();
}

void RegistryServer::SetTimer() {
  if (timer_ != 0) loop_->CancelTimer(timer_);
  timer_ = 0;
  const Micros next = backend_->NextTimer();
  if (next == kNoTimer) return;
  timer_ = loop_->AddTimer(next, [this] {
    timer_ = 0;
    Dispatch();
  });
}

}  // namespace mountflow::registry_standin
