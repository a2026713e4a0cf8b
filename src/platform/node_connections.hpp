// Connections to machines, by machine id and never by address; the set-ups in flight on each, and what the
// end of a connection proves of them. Sans-I/O: the port connects and sends, events are taken with Take().
//
// What is proved:
//   no connection came up (refused, in time or not)     the set-ups that waited for it never ran
//   a connection ended after a set-up was written whole  it may have run
//   a connection ended before that                       it never ran: a machine reads whole messages only
//   a connection was refused                             the process is gone, and with it the tasks that
//                                                        stood
//   another machine has its address                      the same, unless a connection from before they were
//                                                        placed is still up: that one goes to the old process
//   nothing was heard for kSilentLost                    the same is taken to hold: releases are owed in time
//
// A set-up is handed to the port once all before it is with the kernel, so that one that is given up is
// either not sent at all, or the machine hears of both, or its connection ends before the message is whole.
//
// Bounds: connections as the options say, one a machine; kMostInFlight set-ups a machine; kMostOwed releases
// owed to a machine that is not connected, for kSilentLost; reconnects at most every kReconnectMost; a
// machine that is gone is forgotten with its last task.
#ifndef MOUNTFLOW_PLATFORM_NODE_CONNECTIONS_HPP_
#define MOUNTFLOW_PLATFORM_NODE_CONNECTIONS_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/node_codec.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

inline constexpr std::size_t kMostInFlight = 1024;
inline constexpr std::size_t kMostOwed = 1024;
// A connection with something on it is tested when nothing was heard on it for kTestAfter; without any word
// for kTestWait after that it is dead. A stall of a machine is half a second.
inline constexpr Micros kTestAfter = 1'000'000;
inline constexpr Micros kTestWait = 2'000'000;
// A message that has begun and does not end; honest ones come in one piece.
inline constexpr Micros kMessageWait = 1'000'000;
// Releases of tasks that are over are owed within 8 s of their end: what is not heard of for this long counts
// as lost, as late as that allows, for a machine that is only cut off comes back with its tasks.
inline constexpr Micros kSilentLost = 7'500'000;
// With more machines that hold tasks than connections, each that has none is asked in turn this often; word
// of an end comes as much later then, and is owed within 8 s.
inline constexpr Micros kTurn = 2'000'000;
inline constexpr Micros kRoomWait = 50'000;  // while no connection can be spared
inline constexpr Micros kReconnectFirst = 50'000;
inline constexpr Micros kReconnectMost = 500'000;

struct NodeConnectionEvent {
  enum class Kind {
    kAnswered,     // the set-up stands
    kEnded,        // the set-up or the task ended by the machine's word
    kNeverRan,     // the set-up got no connection, or was not written whole
    kMayHaveRun,   // its connection ended
    kNoted,        // a note on a task
    kMachineLost,  // what stood there is cut
  };
  Kind kind = Kind::kAnswered;
  NodeId node = 0;
  RequestUid uid = 0;
  bool standing = false;  // kEnded: of no set-up in flight here
  NodeMessage message;
};

struct NodeConnectionOptions {
  std::size_t most_connections = 64;
  Micros connect_timeout = 250'000;
  Micros idle = 10'000'000;  // closed before the machine does
};

class NodeConnections {
 public:
  NodeConnections(const NodeConnectionOptions& options, Transport* port) : options_(options), port_(port) {}

  // As the change log has it. An address that another machine takes over is lost to the one before.
  void Know(Micros now, NodeId machine, const std::string& address);
  void Gone(Micros now, NodeId machine);

  void SetUp(Micros now, NodeId machine, RequestUid uid, std::string message);
  void GiveUp(Micros now, NodeId machine, RequestUid uid);   // no event comes for it any more
  void Release(Micros now, NodeId machine, RequestUid uid);  // cuts a task that stands
  // Tasks that stand at a machine: word of them must be able to come.
  // `before`: they were placed before any connection of ours.
  void Stand(Micros now, NodeId machine, bool before = false);
  void Unstand(NodeId machine);

  bool Owns(ConnId conn) const { return by_conn_.count(conn) > 0; }
  void OnConnected(Micros now, ConnId conn);
  void OnBytes(Micros now, ConnId conn, std::string_view bytes);
  void OnWritten(Micros now, ConnId conn);  // all that was sent is with the kernel
  void OnClosed(Micros now, ConnId conn, bool refused);

  void Tick(Micros now);
  Micros NextDue() const;
  std::vector<NodeConnectionEvent> Take();

  std::size_t connections() const { return by_conn_.size(); }
  std::size_t machines() const { return links_.size(); }

 private:
  struct Flight {
    std::string message;  // until it is sent
    bool sent = false;
    bool written = false;  // the kernel has all of it: what it holds is on its way
  };
  struct Link {
    NodeId node = 0;
    std::string address;       // empty: no new connection
    std::string connected_to;  // the address of its last connection
    bool reopened = false;     // tasks stand there that are older than its connection
    bool listed = false;
    ConnId conn = 0;
    bool up = false;
    Micros connect_by = kNever;
    bool spoke = false;     // something was heard on this connection
    Micros heard = 0;       // last bytes; while never, when it was first needed
    Micros tested = 0;      // a test without any word since; 0: none
    Micros partial_at = 0;  // a message began then and has not ended
    Micros used = 0;
    Micros retry_at = 0, retry_wait = 0;
    std::size_t standing = 0;
    NodeMessageReader reader;
    std::map<RequestUid, Flight> flights;
    std::deque<RequestUid> line;  // flights that are not sent yet, in their order
    std::deque<RequestUid> owed;
  };

  Link& Of(NodeId machine);
  bool Needed(const Link& link) const;
  void Connect(Micros now, Link& link, bool for_set_up = false);
  bool MakeRoom(Micros now, bool for_set_up);
  void SendLine(Micros now, Link& link);
  void Send(Link& link, const std::string& bytes);
  void SendStop(Link& link, RequestUid uid);
  void SendTest(Micros now, Link& link);
  void Read(Micros now, Link& link, const NodeMessage& message);
  // The connection is no more: what was on it gets its event.
  void Drop(Micros now, Link& link, bool was_up);
  void Cut(Micros now, Link& link, const char* why, bool was_up);
  void Lose(Link& link);
  void Forget(NodeId machine);
  Micros DueOf(const Link& link) const;
  void Emit(NodeConnectionEvent::Kind kind, const Link& link, RequestUid uid);

  NodeConnectionOptions options_;
  Transport* port_;
  std::map<NodeId, Link> links_;
  std::unordered_map<ConnId, NodeId> by_conn_;
  std::vector<NodeConnectionEvent> events_;
  std::uint64_t tests_ = 0;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_CONNECTIONS_HPP_
