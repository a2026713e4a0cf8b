#include "daemon/held_replies.hpp"

#include <utility>

namespace mountflow::daemon {

void HeldReplies::SetNodeActions(std::vector<node_sessions::SessionAction> actions) {
  current_.node_actions = std::move(actions);
}

void HeldReplies::AddBatchConnection(event_loop::ConnId connection) {
  current_.batch_connections.push_back(connection);
}

void HeldReplies::AddHttpReply(HttpReply reply) {
  ++http_replies_[reply.connection];
  current_.http_replies.push_back(std::move(reply));
}

std::size_t HeldReplies::CurrentHttpBytes() const {
  std::size_t bytes = 0;
  for (const HttpReply& reply : current_.http_replies) bytes += reply.bytes.size();
  return bytes;
}

void HeldReplies::CloseTurn(std::uint64_t number, Micros now) {
  for (const event_loop::ConnId connection : current_.batch_connections) {
    newest_turn_of_connection_[connection] = number;
  }
  current_.held_since = now;
  closed_[number] = std::exchange(current_, {});
}

HeldTurn HeldReplies::ReleaseTurn(std::uint64_t number) {
  const auto node = closed_.extract(number);
  if (node.empty()) return {};
  HeldTurn turn = std::move(node.mapped());
  std::vector<event_loop::ConnId> to_flush;
  for (const event_loop::ConnId connection : turn.batch_connections) {
    const auto newest = newest_turn_of_connection_.find(connection);
    if (newest == newest_turn_of_connection_.end() || newest->second != number) continue;
    newest_turn_of_connection_.erase(newest);
    to_flush.push_back(connection);
  }
  turn.batch_connections = std::move(to_flush);
  return turn;
}

bool HeldReplies::FinishHttpReply(event_loop::ConnId connection) {
  const auto held = http_replies_.find(connection);
  if (held == http_replies_.end()) return true;
  if (--held->second > 0) return false;
  http_replies_.erase(held);
  return true;
}

bool HeldReplies::HoldsBatchConnection(event_loop::ConnId connection) const {
  return newest_turn_of_connection_.count(connection) > 0;
}

bool HeldReplies::HoldsHttpConnection(event_loop::ConnId connection) const {
  return http_replies_.count(connection) > 0;
}

Micros HeldReplies::OldestAge(Micros now) const {
  return closed_.empty() ? 0 : now - closed_.begin()->second.held_since;
}

}  // namespace mountflow::daemon
