// Replies to clients and messages to nodes that are held until the records of their turn are durable. This
// class only does the bookkeeping: it performs no I/O and reads no clock.
//
// The replies of the current turn are collected and then stored under the number that storage::CommitGate
// assigned to the turn. All replies of a turn are released together by that number. A reply must not overtake
// an earlier one on the same connection, so this class also tracks which connections have held replies.
//
// Memory is bounded because the gate rejects submissions when the held replies exceed a number of bytes, and
// because an HTTP connection is not read while one of its replies is held.
#ifndef MOUNTFLOW_DAEMON_HELD_REPLIES_HPP_
#define MOUNTFLOW_DAEMON_HELD_REPLIES_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "mountflow/scheduler.hpp"
#include "node_sessions/node_sessions.hpp"

namespace mountflow::daemon {

// A complete HTTP reply and its destination.
struct HttpReply {
  event_loop::ConnId connection = 0;
  std::string bytes;
  bool close = false;  // close the connection after the reply
};

// Output of one turn of the event loop.
struct HeldTurn {
  std::vector<node_sessions::SessionAction> node_actions;
  std::vector<event_loop::ConnId> batch_connections;  // have output to flush; may contain duplicates
  std::vector<HttpReply> http_replies;
  Micros held_since = 0;

  [[nodiscard]] bool empty() const {
    return node_actions.empty() && batch_connections.empty() && http_replies.empty();
  }
};

// Holds the output of turns that are not durable yet. Not thread-safe: may be used by the event loop's thread
// only.
class HeldReplies {
 public:
  // ---- The current turn ----
  void SetNodeActions(std::vector<node_sessions::SessionAction> actions);
  void AddBatchConnection(event_loop::ConnId connection);
  void AddHttpReply(HttpReply reply);
  [[nodiscard]] bool IsCurrentTurnEmpty() const { return current_.empty(); }
  [[nodiscard]] std::size_t CurrentHttpBytes() const;
  // Stores the current turn under `number`, which must be larger than all previous numbers, and begins a new,
  // empty turn.
  void CloseTurn(std::uint64_t number, Micros now);

  // ---- Closed turns ----
  // Removes and returns a closed turn; an empty one if the number is unknown. Its batch connections are those
  // to flush now: without duplicates, and without connections that have output in a later closed turn,
  // because they are flushed with that turn.
  [[nodiscard]] HeldTurn ReleaseTurn(std::uint64_t number);
  // Must be called after each HTTP reply of a released turn has been sent. Returns true if no other reply of
  // the connection is held.
  [[nodiscard]] bool FinishHttpReply(event_loop::ConnId connection);
  // Reports whether a closed turn has output of this batch connection.
  [[nodiscard]] bool HoldsBatchConnection(event_loop::ConnId connection) const;
  // Reports whether any turn, including the current one, has a reply for this HTTP connection.
  [[nodiscard]] bool HoldsHttpConnection(event_loop::ConnId connection) const;
  // Returns how long the oldest closed turn has been held, in microseconds; 0 if there is none.
  [[nodiscard]] Micros OldestAge(Micros now) const;

 private:
  HeldTurn current_;
  std::map<std::uint64_t, HeldTurn> closed_;                // by turn number
  std::map<event_loop::ConnId, std::size_t> http_replies_;  // number of held replies by connection
  // For each batch connection with output in a closed turn, the newest such turn.
  std::map<event_loop::ConnId, std::uint64_t> newest_turn_of_connection_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HELD_REPLIES_HPP_
