#include "platform/node_connections.hpp"

#include <algorithm>
#include <utility>

#include "platform/client_codec.hpp"

namespace mountflow::platform {

namespace {
constexpr std::uint8_t kGivenUp = 16;
}

NodeConnections::Link& NodeConnections::Of(NodeId machine) {
  Link& link = links_[machine];
  link.node = machine;
  return link;
}

void NodeConnections::Emit(NodeConnectionEvent::Kind kind, const Link& link, RequestUid uid) {
  NodeConnectionEvent event;
  event.kind = kind;
  event.node = link.node;
  event.uid = uid;
  events_.push_back(std::move(event));
}

std::vector<NodeConnectionEvent> NodeConnections::Take() { return std::exchange(events_, {}); }

bool NodeConnections::Needed(const Link& link) const {
  return !link.flights.empty() || link.standing > 0 || !link.owed.empty();
}

void NodeConnections::Know(Micros now, NodeId machine, const std::string& address) {
  // A new machine at the address of an old one: a connection made there reaches the new one, and what stood
  // at the old one is cut, as two processes cannot share an address. The new one would pass every test and
  // never say so.
  std::vector<NodeId> replaced;
  for (const auto& [id, other] : links_) {
    if (id != machine && (other.address == address || (other.conn != 0 && other.connected_to == address)))
      replaced.push_back(id);
  }
  for (const NodeId id : replaced) {
    Link& other = links_.at(id);
    other.address.clear();
    if (other.conn != 0 && (!other.up || other.reopened))
      Cut(now, other, "another machine has its address", other.up);
    if (other.conn == 0) Lose(other);
    Forget(id);
  }
  Link& link = Of(machine);
  link.listed = true;
  if (link.address == address) return;
  link.address = address;
  if (link.conn != 0) Cut(now, link, "its address changed", link.up);
}

void NodeConnections::Gone(Micros now, NodeId machine) {
  const auto it = links_.find(machine);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.listed = false;
  link.address.clear();
  // While the connection is up, the machine still tells how its tasks end.
  if (link.conn != 0 && link.up) return;
  if (link.conn != 0) return Cut(now, link, "it is gone", false);
  Lose(link);
  Forget(machine);
}

void NodeConnections::Forget(NodeId machine) {
  const auto it = links_.find(machine);
  if (it == links_.end() || it->second.listed || it->second.conn != 0 || Needed(it->second)) return;
  links_.erase(it);
}

void NodeConnections::Lose(Link& link) {
  link.owed.clear();
  if (link.standing > 0) Emit(NodeConnectionEvent::Kind::kMachineLost, link, 0);
}

bool NodeConnections::MakeRoom(Micros now, bool for_set_up) {
  if (by_conn_.size() < options_.most_connections) return true;
  // Without a set-up in flight: first one that nothing needs, then one that has told how its tasks are,
  // unused for longest; it is asked again in its turn. One that was not heard yet gives way to a set-up
  // alone: else many that wait would close each other's connections before any comes up, and sound machines
  // would count as lost.
  Link* oldest = nullptr;
  std::pair<int, Micros> least;
  for (auto& [id, link] : links_) {
    if (link.conn == 0 || !link.flights.empty()) continue;
    const bool needed = Needed(link);
    if (needed && !link.spoke && !for_set_up) continue;
    const std::pair<int, Micros> rank{!needed ? 0 : link.spoke ? 1 : 2, link.used};
    if (oldest == nullptr || rank < least) oldest = &link, least = rank;
  }
  if (oldest == nullptr) return false;
  port_->Close(oldest->conn, true);
  Drop(now, *oldest, oldest->up);
  oldest->retry_at = now + kTurn;
  return true;
}

void NodeConnections::Connect(Micros now, Link& link, bool for_set_up) {
  if (link.conn != 0 || link.address.empty()) return;
  if (!MakeRoom(now, for_set_up)) {
    link.retry_at = now + kRoomWait;
    return;
  }
  link.conn = port_->Connect(link.address);
  link.connected_to = link.address;
  by_conn_[link.conn] = link.node;
  link.up = link.spoke = false;
  link.connect_by = now + options_.connect_timeout;
  link.reader = {};
  link.tested = link.partial_at = 0;
  if (link.heard == 0) link.heard = now;
}

void NodeConnections::SetUp(Micros now, NodeId machine, RequestUid uid, std::string message) {
  Link& link = Of(machine);
  link.used = now;
  if (link.address.empty() && link.conn == 0) {
    Emit(NodeConnectionEvent::Kind::kNeverRan, link, uid);
    return Forget(machine);
  }
  if (link.flights.size() >= kMostInFlight) return Emit(NodeConnectionEvent::Kind::kNeverRan, link, uid);
  if (link.conn == 0) Connect(now, link, true);
  if (link.conn == 0) return Emit(NodeConnectionEvent::Kind::kNeverRan, link, uid);
  link.flights[uid].message = std::move(message);
  link.line.push_back(uid);
  if (link.up) SendLine(now, link);
}

void NodeConnections::SendLine(Micros now, Link& link) {
  while (!link.line.empty() && port_->AllWritten(link.conn)) {
    Flight& flight = link.flights.at(link.line.front());
    link.line.pop_front();
    link.used = now;
    flight.sent = true;
    Send(link, std::exchange(flight.message, {}));
  }
}

// Any send may take along what earlier ones left with the port.
void NodeConnections::Send(Link& link, const std::string& bytes) {
  port_->Send(link.conn, bytes);
  if (!port_->AllWritten(link.conn)) return;
  for (auto& [uid, flight] : link.flights) flight.written |= flight.sent;
}

void NodeConnections::OnWritten(Micros now, ConnId conn) {
  const auto it = by_conn_.find(conn);
  if (it == by_conn_.end()) return;
  Link& link = links_.at(it->second);
  for (auto& [uid, flight] : link.flights) flight.written |= flight.sent;
  if (link.up) SendLine(now, link);
}

void NodeConnections::SendStop(Link& link, RequestUid uid) {
  NodeMessage stop;
  stop.kind = NodeMessageKind::kStop;
  stop.uid = uid;
  stop.cause = kGivenUp;
  Send(link, EncodeNodeMessage(stop));
}

void NodeConnections::SendTest(Micros now, Link& link) {
  NodeMessage test;
  test.kind = NodeMessageKind::kHealthCheck;
  test.uid = ++tests_;
  test.cause = 0;
  link.tested = now;
  Send(link, EncodeNodeMessage(test));
}

void NodeConnections::GiveUp(Micros now, NodeId machine, RequestUid uid) {
  const auto it = links_.find(machine);
  if (it == links_.end()) return;
  Link& link = it->second;
  const auto flight = link.flights.find(uid);
  if (flight == link.flights.end()) return;
  const bool sent = flight->second.sent, written = flight->second.written;
  link.flights.erase(flight);
  if (!sent) {
    std::erase(link.line, uid);
  } else if (written) {
    SendStop(link, uid);
  } else {
    // Part of it waits here for a machine that does not read. Its rest would make an attempt whole that
    // nobody waits for, after its owner left or while the next attempt is out; without its rest the machine
    // never reads it.
    Cut(now, link, "a set-up was given up before it was written", true);
    Forget(machine);
  }
}

void NodeConnections::Release(Micros now, NodeId machine, RequestUid uid) {
  const auto it = links_.find(machine);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.used = now;
  if (link.up) return SendStop(link, uid);
  if (link.address.empty()) return;
  if (link.owed.size() < kMostOwed) link.owed.push_back(uid);
  if (now >= link.retry_at) Connect(now, link);
}

void NodeConnections::Stand(Micros now, NodeId machine, bool before) {
  Link& link = Of(machine);
  link.reopened |= before;
  if (link.standing++ == 0 && link.conn == 0) link.heard = now;
  if (link.conn == 0 && now >= link.retry_at) Connect(now, link);
}

void NodeConnections::Unstand(NodeId machine) {
  const auto it = links_.find(machine);
  if (it == links_.end()) return;
  if (it->second.standing > 0 && --it->second.standing == 0) it->second.reopened = false;
  Forget(machine);
}

void NodeConnections::OnConnected(Micros now, ConnId conn) {
  const auto it = by_conn_.find(conn);
  if (it == by_conn_.end()) return;
  Link& link = links_.at(it->second);
  link.up = true;
  link.connect_by = kNever;
  link.retry_wait = 0;
  link.used = now;
  for (const RequestUid uid : std::exchange(link.owed, {})) SendStop(link, uid);
  // A machine learns who connected from the first message, and tells how tasks that stood have ended only
  // then: without one, releases came as late as the first test.
  if (link.standing > 0 && link.flights.empty()) SendTest(now, link);
  SendLine(now, link);
}

void NodeConnections::OnBytes(Micros now, ConnId conn, std::string_view bytes) {
  const auto it = by_conn_.find(conn);
  if (it == by_conn_.end()) return;
  Link& link = links_.at(it->second);
  link.heard = now;
  link.spoke = true;
  link.tested = 0;
  link.reader.Feed(bytes);
  NodeMessage message;
  for (;;) {
    const auto state = link.reader.Next(&message);
    if (state == NodeMessageReader::State::kMore) break;
    // A stream that cannot be read is of no further use, for the other set-ups on it either.
    if (state == NodeMessageReader::State::kBroken) return Cut(now, link, link.reader.error().c_str(), true);
    if (message.kind == NodeMessageKind::kAnswer && !IsUtf8(message.Text(kDescription))) {
      return Cut(now, link, "a description that is no UTF-8", true);
    }
    Read(now, link, message);
  }
  link.partial_at = !link.reader.within_message() ? 0 : link.partial_at != 0 ? link.partial_at : now;
}

void NodeConnections::Read(Micros now, Link& link, const NodeMessage& message) {
  NodeConnectionEvent event;
  event.node = link.node;
  event.uid = message.uid;
  // Word under the id of a set-up that still waits in line is of an earlier one, and leaves it there.
  const auto flight = link.flights.find(message.uid);
  const bool ours = flight != link.flights.end() && flight->second.sent;
  switch (message.kind) {
    case NodeMessageKind::kAnswer:
      // One that is not in flight here is a second copy, or of an attempt that was given up.
      if (!ours) return;
      link.flights.erase(flight);
      event.kind = NodeConnectionEvent::Kind::kAnswered;
      break;
    case NodeMessageKind::kStop:
      event.kind = NodeConnectionEvent::Kind::kEnded;
      event.standing = !ours;
      if (ours) link.flights.erase(flight);
      break;
    case NodeMessageKind::kNote:
      event.kind = NodeConnectionEvent::Kind::kNoted;
      break;
    default:
      return;
  }
  link.used = now;
  event.message = message;
  events_.push_back(std::move(event));
}

void NodeConnections::Cut(Micros now, Link& link, const char* why, bool was_up) {
  port_->Log("machine at " + link.address + ": connection closed: " + why);
  port_->Close(link.conn, false);
  Drop(now, link, was_up);
}

void NodeConnections::Drop(Micros now, Link& link, bool was_up) {
  by_conn_.erase(link.conn);
  link.conn = 0;
  link.up = false;
  link.connect_by = kNever;
  link.tested = link.partial_at = 0;
  link.reader = {};
  link.reopened = link.standing > 0;
  link.line.clear();
  for (auto& [uid, flight] : std::exchange(link.flights, {})) {
    Emit(was_up && flight.written ? NodeConnectionEvent::Kind::kMayHaveRun
                                  : NodeConnectionEvent::Kind::kNeverRan,
         link, uid);
  }
  link.retry_at = now + link.retry_wait;  // at once, then ever later
  link.retry_wait = std::min(kReconnectMost, std::max(kReconnectFirst, link.retry_wait * 2));
  if (!link.listed) Lose(link);
}

void NodeConnections::OnClosed(Micros now, ConnId conn, bool refused) {
  const auto it = by_conn_.find(conn);
  if (it == by_conn_.end()) return;
  Link& link = links_.at(it->second);
  const NodeId machine = link.node;
  const bool was_up = link.up;
  Drop(now, link, was_up);
  if (refused && !was_up) Lose(link);
  Forget(machine);
}

Micros NodeConnections::DueOf(const Link& link) const {
  if (link.conn == 0) {
    if (!Needed(link)) return kNever;
    return std::min(link.address.empty() ? kNever : link.retry_at,
                    link.standing > 0 || !link.owed.empty() ? link.heard + kSilentLost : kNever);
  }
  if (!link.up) return link.connect_by;
  if (link.partial_at != 0) return link.partial_at + kMessageWait;
  if (link.tested != 0) return link.tested + kTestWait;
  return std::min(Needed(link) ? std::max(link.heard, link.used) + kTestAfter : kNever,
                  Needed(link) ? kNever : (link.listed ? link.used + options_.idle : 0));
}

Micros NodeConnections::NextDue() const {
  Micros due = kNever;
  for (const auto& [machine, link] : links_) due = std::min(due, DueOf(link));
  return due;
}

void NodeConnections::Tick(Micros now) {
  std::vector<std::pair<Micros, NodeId>> due;  // those not heard for longest first
  for (const auto& [machine, link] : links_) {
    if (DueOf(link) <= now) due.emplace_back(link.heard, machine);
  }
  std::sort(due.begin(), due.end());
  for (const auto& [heard, machine] : due) {
    const auto it = links_.find(machine);
    if (it == links_.end() || DueOf(it->second) > now) continue;
    Link& link = it->second;
    if (link.conn == 0) {
      if ((link.standing > 0 || !link.owed.empty()) && now >= link.heard + kSilentLost) {
        Lose(link);
        link.heard = now;  // told once; what still stands there is asked for again after as long
      }
      if (!link.address.empty() && now >= link.retry_at) Connect(now, link);
    } else if (!link.up) {
      Cut(now, link, "did not come up in time", false);
    } else if (link.partial_at != 0) {
      Cut(now, link, "a message that does not end", true);
    } else if (link.tested != 0) {
      // It opens and is silent, or is half open: no test passes. What is on it may have run.
      Cut(now, link, "no word on a test", true);
    } else if (Needed(link)) {
      SendTest(now, link);
    } else {
      port_->Close(link.conn, true);
      Drop(now, link, true);
    }
    Forget(machine);
  }
}

}  // namespace mountflow::platform
