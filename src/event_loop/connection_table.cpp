#include "event_loop/connection_table.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace mountflow::event_loop {
namespace {

constexpr Micros kFlushTimeout = 10'000'000;
constexpr Micros kHandshakeTimeout = 10'000'000;  // for accepted connections

}  // namespace

ConnectionTable::ConnectionTable(LoopContext* context) : context_(context), read_buffer_(kMaxReadBytes) {}

void ConnectionTable::set_max_closing(std::size_t max) { max_closing_ = std::max<std::size_t>(1, max); }

void ConnectionTable::set_max_read_bytes(std::size_t bytes) {
  max_read_bytes_ = std::clamp<std::size_t>(bytes, 1, kMaxReadBytes);
}

Connection* ConnectionTable::Find(ConnId id) const {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

// ---- Adding and removing ----

Connection& ConnectionTable::Add(ConnId id, int fd, ConnectionHandler* handler, ConnectionState state) {
  std::unique_ptr<Connection>& slot = connections_[id];
  slot = std::make_unique<Connection>(context_->libev, this, id, fd, handler, state);
  return *slot;
}

void ConnectionTable::AddConnecting(ConnId id, int fd, ConnectionHandler* handler,
                                    std::unique_ptr<ConnectionFilter> filter) {
  Add(id, fd, handler, ConnectionState::kConnecting).set_filter(std::move(filter));
}

void ConnectionTable::AddAccepted(ListenerId listener, int fd, ConnectionHandler* handler,
                                  const PeerInfo& peer, const FilterFactory& filters) {
  const ConnId id = context_->NewId();
  Connection& connection = Add(id, fd, handler, ConnectionState::kEstablished);
  if (!filters) {
    handler->OnAccepted(listener, id, peer);
    return;
  }
  if (accept_pending_ < kMaxHandshakes) connection.set_filter(filters());
  if (connection.filter() == nullptr) {
    Remove(id, CloseMode::kReset);
    return;
  }
  connection.set_accepted(listener, peer);
  StartHandshake(connection);
}

void ConnectionTable::Remove(ConnId id, CloseMode mode) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection& connection = *found->second;
  if (connection.accept_pending()) --accept_pending_;
  if (connection.flushing()) flushing_.remove(id);
  if (mode == CloseMode::kReset) connection.ResetOnClose();
  connections_.erase(found);
}

void ConnectionTable::Fail(const Connection& connection, const std::string& reason) {
  const bool handler_knows = !connection.flushing() && !connection.accept_pending();
  ConnectionHandler* handler = connection.handler();
  const ConnId id = connection.id();
  Remove(id, CloseMode::kOrderly);
  if (handler_knows) handler->OnClosed(id, reason);
}

void ConnectionTable::FailLater(const Connection& connection, std::string reason, CloseMode mode) {
  ConnectionHandler* handler = connection.handler();
  const ConnId id = connection.id();
  Remove(id, mode);
  context_->AddTimer(context_->clock.Now(),
                     [handler, id, reason = std::move(reason)] { handler->OnClosed(id, reason); });
}

// ---- Events of the sockets ----

void ConnectionTable::OnIoEvents(std::uint64_t id, IoEvents events) {
  Connection* connection = Find(id);
  if (connection == nullptr) return;
  if (connection->state() == ConnectionState::kConnecting) {
    FinishConnecting(*connection);
    return;
  }
  if (events.writable) {
    ContinueWriting(*connection);
    connection = Find(id);  // the handler may have closed it
    if (connection == nullptr) return;
  }
  if (events.readable && !connection->flushing() && !connection->reading_paused()) Read(*connection);
}

void ConnectionTable::FinishConnecting(Connection& connection) {
  if (const std::error_code error = connection.ConnectError()) {
    Fail(connection, error.message());
    return;
  }
  connection.set_state(ConnectionState::kEstablished);
  if (connection.filter() != nullptr) {
    StartHandshake(connection);
    return;
  }
  connection.UpdateWatch();
  connection.handler()->OnConnected(connection.id());
}

void ConnectionTable::ContinueWriting(Connection& connection) {
  if (const std::error_code error = connection.Write()) {
    Fail(connection, error.message());
    return;
  }
  const bool all_written = connection.AllWritten();
  if (all_written && connection.flushing()) {
    Remove(connection.id(), CloseMode::kOrderly);
    return;
  }
  connection.UpdateWatch();
  if (all_written && !connection.handshaking()) connection.handler()->OnSent(connection.id());
}

void ConnectionTable::Read(Connection& connection) {
  const std::ptrdiff_t count = connection.Read(read_buffer_.data(), max_read_bytes_);
  if (count > 0) {
    const std::string_view bytes(read_buffer_.data(), static_cast<std::size_t>(count));
    if (connection.filter() != nullptr) {
      ReceiveThroughFilter(connection, bytes);
    } else {
      connection.handler()->OnReceived(connection.id(), bytes);
    }
    return;
  }
  if (count == 0) {
    Fail(connection, "closed by peer");
    return;
  }
  if (errno == EAGAIN || errno == EINTR) return;
  Fail(connection, std::error_code(errno, std::generic_category()).message());
}

// ---- Filters ----

void ConnectionTable::StartHandshake(Connection& connection) {
  connection.set_handshaking(true);
  if (connection.accept_pending()) ++accept_pending_;
  connection.filter()->Start(connection.write_tail());
  if (const std::error_code error = connection.Write()) {
    Fail(connection, error.message());
    return;
  }
  connection.UpdateWatch();
  if (!connection.accept_pending()) return;  // the user applies its own time limit to Connect()
  const ConnId id = connection.id();
  context_->AddTimer(context_->clock.Now() + kHandshakeTimeout, [this, id] {
    const Connection* late = Find(id);
    if (late != nullptr && late->handshaking()) Remove(id, CloseMode::kReset);
  });
}

// Each call of the handler may close the connection.
void ConnectionTable::ReceiveThroughFilter(Connection& connection, std::string_view bytes) {
  const ConnId id = connection.id();
  ConnectionHandler* handler = connection.handler();
  std::string plain;
  const bool filter_is_open = connection.filter()->Receive(bytes, &plain, connection.write_tail());
  const std::string filter_error = connection.filter()->error();
  if (const std::error_code error = connection.Write()) {
    Fail(connection, error.message());
    return;
  }
  connection.UpdateWatch();
  if (connection.handshaking() && connection.filter()->ready() && !FinishHandshake(connection)) return;
  if (!plain.empty()) handler->OnReceived(id, plain);
  if (filter_is_open) return;
  if (const Connection* remaining = Find(id)) Fail(*remaining, filter_error);
}

bool ConnectionTable::FinishHandshake(Connection& connection) {
  const ConnId id = connection.id();
  const bool accepted = connection.accept_pending();
  connection.set_handshaking(false);
  if (accepted) {
    --accept_pending_;
    connection.handler()->OnAccepted(connection.accepted_by(), id, connection.peer());
  } else {
    connection.handler()->OnConnected(id);
  }
  if (Find(id) == nullptr) return false;
  if (connection.HasDelayedBytes() && (!connection.AppendDelayed() || connection.Write())) {
    const std::string reason = connection.filter()->error();  // a copy, because Fail destroys the filter
    Fail(connection, reason);
    return false;
  }
  connection.UpdateWatch();
  return true;
}

// ---- Calls by the user ----

void ConnectionTable::Send(ConnId id, std::string_view bytes) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->flushing()) return;
  if (connection->UnsentBytes() + bytes.size() > max_unsent_bytes_) {
    FailLater(*connection, "does not read what is sent", CloseMode::kReset);
    return;
  }
  if (!connection->Append(bytes)) {
    FailLater(*connection, connection->filter()->error(), CloseMode::kOrderly);
    return;
  }
  if (!connection->CanWrite()) return;
  if (const std::error_code error = connection->Write()) {
    FailLater(*connection, error.message(), CloseMode::kOrderly);
    return;
  }
  connection->UpdateWatch();
}

std::size_t ConnectionTable::UnsentBytes(ConnId id) const {
  const Connection* connection = Find(id);
  return connection == nullptr ? 0 : connection->UnsentBytes();
}

bool ConnectionTable::AllWritten(ConnId id) const {
  const Connection* connection = Find(id);
  return connection != nullptr && connection->UnsentBytes() == 0;
}

bool ConnectionTable::PeerClosed(ConnId id) const {
  const Connection* connection = Find(id);
  return connection == nullptr || connection->PeerClosed();
}

void ConnectionTable::PauseReading(ConnId id, bool pause) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->reading_paused() == pause) return;
  connection->set_reading_paused(pause);
  connection->UpdateWatch();
}

void ConnectionTable::Close(ConnId id, bool flush) {
  Connection* connection = Find(id);
  if (connection == nullptr) return;
  if (connection->flushing() && flush) return;
  const bool connecting = connection->state() == ConnectionState::kConnecting;
  if (connection->filter() != nullptr && !connecting) {
    connection->filter()->Finish(connection->write_tail());
    if (connection->Write()) {
      Remove(id, CloseMode::kOrderly);
      return;
    }
  }
  if (!flush || connecting || connection->AllWritten()) {
    Remove(id, CloseMode::kOrderly);
    return;
  }
  StartFlushing(*connection);
}

// The connection no longer counts for the user, but its descriptor stays open until the peer has read all
// bytes. Bounds the number of such connections, because a hundred peers that do not read would otherwise
// leave no descriptors for others. Also bounds the time for each of them.
void ConnectionTable::StartFlushing(Connection& connection) {
  const ConnId id = connection.id();
  connection.set_state(ConnectionState::kFlushing);
  connection.UpdateWatch();
  flushing_.push_back(id);
  if (flushing_.size() > max_closing_) Remove(flushing_.front(), CloseMode::kReset);
  context_->AddTimer(context_->clock.Now() + kFlushTimeout, [this, id] { Remove(id, CloseMode::kReset); });
}

}  // namespace mountflow::event_loop
