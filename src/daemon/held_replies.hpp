// Replies and messages to nodes that wait until the records of their turn are durable. Bookkeeping only: no
// I/O, no clock.
//
// Replies of the current turn are collected, then closed under the number that storage::CommitGate gave the
// turn; they come out whole, by that number. A reply must not overtake an earlier one of its connection, so
// this also knows which connections have a reply here.
//
// Bounds: the gate refuses submissions beyond a number of bytes, and HTTP connections are not read while a
// reply of theirs is held.
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

struct HttpReply {
  event_loop::ConnId connection = 0;
  std::string bytes;
  bool close = false;  // the connection, after the reply
};

// Everything that one turn sends.
struct HeldTurn {
  std::vector<node_sessions::SessionAction> node_actions;
  std::vector<event_loop::ConnId> batch_connections;  // with output to flush; repeats are possible
  std::vector<HttpReply> http_replies;
  Micros held_since = 0;

  [[nodiscard]] bool empty() const {
    return node_actions.empty() && batch_connections.empty() && http_replies.empty();
  }
};

// Not thread-safe: used by the event loop's thread alone.
class HeldReplies {
 public:
  // ---- The current turn ----
  void SetNodeActions(std::vector<node_sessions::SessionAction> actions);
  void AddBatchConnection(event_loop::ConnId connection);
  void AddHttpReply(HttpReply reply);
  [[nodiscard]] bool IsCurrentTurnEmpty() const { return current_.empty(); }
  [[nodiscard]] std::size_t CurrentHttpBytes() const;
  // Files the current turn under `number`, which is larger than all before, and begins an empty one.
  void CloseTurn(std::uint64_t number, Micros now);

  // ---- Closed turns ----
  // Takes out a closed turn. Its batch connections are those to flush now: without repeats and without those
  // that have output in a later closed turn, which are flushed with that.
  [[nodiscard]] HeldTurn ReleaseTurn(std::uint64_t number);
  // Call for each HTTP reply of a released turn after it was sent. True when no other reply of the connection
  // is held.
  [[nodiscard]] bool FinishHttpReply(event_loop::ConnId connection);
  // Whether a closed turn has output of this batch connection.
  [[nodiscard]] bool HoldsBatchConnection(event_loop::ConnId connection) const;
  // Whether any turn, the current one included, has a reply of this HTTP connection.
  [[nodiscard]] bool HoldsHttpConnection(event_loop::ConnId connection) const;
  // How long the oldest closed turn has waited; 0: there is none.
  [[nodiscard]] Micros OldestAge(Micros now) const;

 private:
  HeldTurn current_;
  std::map<std::uint64_t, HeldTurn> closed_;                               // by number
  std::map<event_loop::ConnId, std::size_t> http_replies_;                 // held, by connection
  std::map<event_loop::ConnId, std::uint64_t> newest_turn_of_connection_;  // closed turns with batch output
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HELD_REPLIES_HPP_
