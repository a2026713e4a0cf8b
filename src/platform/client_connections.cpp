#include "platform/client_connections.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::platform {
namespace {

// The four numbers of IP:PORT as one; what has another form counts as one host.
Host HostOf(const std::string& address) {
  Host host = 0, part = 0;
  for (const char c : address) {
    if (c >= '0' && c <= '9') {
      part = part * 10 + static_cast<Host>(c - '0');
    } else {
      host = host << 8 | (part & 255);
      part = 0;
      if (c == ':') break;
    }
  }
  return host;
}

}  // namespace

void ClientConnections::Accept(Micros now, ConnId conn, const std::string& address) {
  if (conns_.size() >= most_) {
    // First one that said nothing, the oldest; then the one whose last word is longest ago and that waits for
    // nothing: some ask once and keep their connection for good, and new ones must still come in. One whose
    // tasks still stand comes last: word of them might find no other way.
    ConnId victim = 0;
    auto least = std::make_pair(true, kNever);
    for (const auto& [id, c] : conns_) {
      const auto rank = std::make_pair(tasks_->standing_on(id) > 0, c.spoke);
      if (rank >= least || tasks_->open_on(id) > 0) continue;
      victim = id;
      least = rank;
    }
    if (victim == 0) {
      return port_->Close(conn, false);
    }
    Cut(now, victim,
        least.second == 0 ? "silent, and all are taken" : "unused for longest, and all are taken");
  }
  if (trace_) trace_(now, "owner " + std::to_string(conn) + " from " + address);
  Conn& c = conns_[conn];
  c.host = HostOf(address);
  c.since = now;
}

void ClientConnections::OnBytes(Micros now, ConnId conn, std::string_view bytes) {
  const auto it = conns_.find(conn);
  if (it == conns_.end()) return;
  it->second.reader.Feed(bytes);
  Take(now, conn);
}

bool ClientConnections::Full(ConnId conn) const {
  const auto it = conns_.find(conn);
  return it != conns_.end() && it->second.waits;
}

void ClientConnections::Take(Micros now, ConnId conn) {
  ClientMessage message;
  for (std::size_t i = 0; i < kMessagesTurn; ++i) {
    const auto it = conns_.find(conn);
    if (it == conns_.end()) return;
    Conn& c = it->second;
    switch (c.reader.Next(&message)) {
      case ClientMessageReader::State::kMore:
        c.partial_at = !c.reader.within_message() ? 0 : c.partial_at != 0 ? c.partial_at : now;
        c.waits = false;
        waiting_.erase(conn);
        return;
      case ClientMessageReader::State::kBroken:
        return Cut(now, conn, c.reader.error());
      case ClientMessageReader::State::kUnusable: {
        c.spoke = now;
        c.partial_at = 0;
        ClientMessage stop;
        stop.kind = ClientMessageKind::kStop;
        stop.uid = message.uid;
        stop.cause = kCauseBad;
        // An id that is in use keeps its own answer; a second one for it would break that.
        if (tasks_->Holds(message.uid)) return Cut(now, conn, "what cannot be used, under an id in use");
        Send(conn, stop);
        break;
      }
      case ClientMessageReader::State::kMessage:
        c.spoke = now;
        c.partial_at = 0;
        if (!One(now, conn, c, message)) return;
        break;
    }
  }
  const auto it = conns_.find(conn);
  if (it == conns_.end()) return;
  it->second.waits = true;
  waiting_.insert(conn);
}

bool ClientConnections::One(Micros now, ConnId conn, Conn& c, const ClientMessage& message) {
  switch (message.kind) {
    case ClientMessageKind::kLaunch: {
      const Dispatcher::Took took = tasks_->SetUp(now, conn, c.host, message);
      if (took == Dispatcher::Took::kTwice) {
        // An answer to the second would be taken for one to the first.
        Cut(now, conn, "a second set-up under an id in use");
        return false;
      }
      if (took == Dispatcher::Took::kRunning) Prove(conn, c);
      Deliver(now);
      return conns_.count(conn) > 0;
    }
    case ClientMessageKind::kStop:
      tasks_->Stop(now, conn, message.uid);
      Deliver(now);
      return conns_.count(conn) > 0;
    case ClientMessageKind::kHealthCheck: {
      ClientMessage tested;
      tested.kind = ClientMessageKind::kHealthCheckReply;
      tested.uid = message.uid;
      tested.cause = ready_ ? 1 : 0;
      Send(conn, tested);
      return true;
    }
    default:
      return true;  // free words; they mean nothing here
  }
}

void ClientConnections::Send(ConnId conn, const ClientMessage& message) {
  port_->Send(conn, EncodeClientMessage(message));
}

void ClientConnections::Cut(Micros now, ConnId conn, const std::string& why) {
  port_->Log("owner's connection closed: " + why);
  port_->Close(conn, true);
  OnClosed(now, conn);
}

void ClientConnections::OnClosed(Micros now, ConnId conn) {
  const auto it = conns_.find(conn);
  if (it == conns_.end()) return;
  if (trace_) trace_(now, "owner " + std::to_string(conn) + " left");
  conns_.erase(it);
  waiting_.erase(conn);
  tasks_->OwnerLeft(now, conn);
  Deliver(now);
}

std::vector<ConnId> ClientConnections::Work(Micros now) {
  const std::vector<ConnId> waiting(waiting_.begin(), waiting_.end());
  std::vector<ConnId> taken;
  for (const ConnId conn : waiting) {
    Take(now, conn);
    if (waiting_.count(conn) == 0) taken.push_back(conn);
  }
  return taken;
}

bool ClientConnections::Owes() const {
  return !waiting_.empty() || !owed_.empty() ||
         std::any_of(conns_.begin(), conns_.end(), [this](const auto& c) {
           return !port_->AllWritten(c.first) && !port_->HungUp(c.first);
         });
}

// An answer goes on the connection of its set-up alone. No connection owns a task that stands: word of it
// goes there too, else on the newest one from the same host on which something was placed; 0: nowhere. What
// is written to a connection whose owner has just closed it is lost, and the task would stand for ever: such
// a one is none.
ConnId ClientConnections::WayTo(const ClientNotification& out) const {
  if (conns_.count(out.conn) > 0 && (!out.anywhere || !port_->HungUp(out.conn))) return out.conn;
  for (auto it = conns_.rbegin(); out.anywhere && it != conns_.rend(); ++it) {
    if (it->second.proven && it->second.host == out.host && !port_->HungUp(it->first)) return it->first;
  }
  return 0;
}

void ClientConnections::Deliver(Micros now) {
  for (std::vector<ClientNotification> outs = tasks_->Take(); !outs.empty(); outs = tasks_->Take()) {
    for (ClientNotification& out : outs) {
      const ConnId to = WayTo(out);
      if (trace_ && out.anywhere) {
        trace_(now, "word of " + WriteHex(out.message.uid) +
                        (to == 0          ? " waits for a connection of its host"
                         : to == out.conn ? " goes to its connection"
                                          : " goes to another connection of its host"));
      }
      if (to != 0) {
        Send(to, out.message);
        if (out.message.kind == ClientMessageKind::kAnswer) Prove(to, conns_.at(to));
      } else if (out.anywhere && owed_.size() < kMostOwedWord) {
        owed_.push_back({now + kOwedWord, out.host, std::move(out.message)});
      } else if (out.anywhere) {
        port_->Log("word of a task dropped: too much waits for connections of owners");
      }
    }
  }
}

// Word that waited for a connection of this host goes here now.
void ClientConnections::Prove(ConnId conn, Conn& c) {
  c.proven = true;
  std::deque<Owed> rest;
  for (Owed& one : owed_) {
    if (one.host == c.host) {
      Send(conn, one.message);
    } else {
      rest.push_back(std::move(one));
    }
  }
  owed_.swap(rest);
}

Micros ClientConnections::DueOf(const Conn& c) const {
  if (c.spoke == 0) return c.since + kFirstWait;
  return c.partial_at != 0 ? c.partial_at + kLineWait : kNever;
}

Micros ClientConnections::NextDue() const {
  Micros due = owed_.empty() ? kNever : owed_.front().until;
  for (const auto& [id, c] : conns_) due = std::min(due, DueOf(c));
  return due;
}

void ClientConnections::Tick(Micros now) {
  std::vector<ConnId> due;
  for (const auto& [id, c] : conns_) {
    if (DueOf(c) <= now) due.push_back(id);
  }
  for (const ConnId conn : due) {
    const auto it = conns_.find(conn);
    if (it == conns_.end()) continue;
    if (it->second.spoke != 0 && tasks_->open_on(conn) > 0) {
      it->second.partial_at = now;  // not while answers are owed on it
    } else {
      Cut(now, conn, it->second.spoke == 0 ? "no message in time" : "a message that does not end");
    }
  }
  for (; !owed_.empty() && owed_.front().until <= now; owed_.pop_front()) {
    port_->Log("word of a task found no connection of its owner");
  }
}

}  // namespace mountflow::platform
