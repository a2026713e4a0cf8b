// Requests, their attempts, and the tasks that stand. Alone talks to the module: every message of the wires
// is the event of the simulator that it stands for, every action of the module goes out as its message in the
// same turn, in order. It decides nothing: what is refused here is refused by the limits stated below or
// because it cannot be read as a set-up.
//
// Each offer ends in exactly one outcome; each set-up gets one final answer, unless its owner gave it up;
// each task that stood is released once towards its owner, unless its owner ended it.
//
// Bounds: kMostOpen set-ups without an answer, kMostOpenHere of one connection, kMostTasks in all; the bytes
// of descriptions not yet placed, as the constructor says (a second copy waits while a machine is connected);
// machines listed or holding one of these; alarms as many as the module sets.
#ifndef MOUNTFLOW_PLATFORM_REQUEST_TABLE_HPP_
#define MOUNTFLOW_PLATFORM_REQUEST_TABLE_HPP_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_connections.hpp"
#include "platform/node_watch.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

inline constexpr std::size_t kMostOpen = 2048;
inline constexpr std::size_t kMostOpenHere = 512;
inline constexpr std::size_t kMostTasks = 16384;
// A task that was released at its machine and of which no word comes is over after this.
inline constexpr Micros kReleaseWait = 2'000'000;

inline constexpr int kCauseRefused = 34;  // trying again is harmless
inline constexpr int kCauseFailed = 41;   // no promise
inline constexpr int kCauseBad = 47;      // what came could not be used

// What goes to an owner. A final answer of a set-up goes on its connection alone; what concerns a task that
// stands finds its way.
using Host = std::uint32_t;  // of an owner, its IPv4 address

struct ClientNotification {
  ConnId conn = 0;
  Host host = 0;
  bool anywhere = false;  // another connection of that owner does as well
  bool answer = false;    // the final answer of a set-up
  ClientMessage message;
};

class Dispatcher {
 public:
  Dispatcher(const settings::WireSettings& wire, std::uint64_t seed, NodeConnections* links,
             std::size_t most_held = 2 << 20);

  void Start(Micros now, const std::vector<NodeListChange>& known);
  void Fleet(Micros now, const NodeListChange& change, bool remembered = false);
  // A set-up, from the connection it came on.
  enum class Took {
    kAsked,    // an answer is owed, or was given
    kRunning,  // it runs already, at the machine it names
    kTwice     // its id is open or stands already
  };
  Took SetUp(Micros now, ConnId conn, Host host, const ClientMessage& message);
  void Stop(Micros now, ConnId conn, RequestUid uid);
  // The connection is no more: nobody waits for the answers of its open set-ups.
  void OwnerLeft(Micros now, ConnId conn);
  void FromLinks(Micros now);
  void Tick(Micros now);
  Micros NextDue() const;
  // All that is still open gets its final answer.
  void FailOpen(Micros now);

  // Whether the owner on a connection has gone, though that was not told yet.
  void AskWhoLeft(std::function<bool(ConnId)> has_left) { has_left_ = std::move(has_left); }
  // Every event and action, as it happens, to `trace`.
  void Trace(std::function<void(Micros, const std::string&)> trace) { trace_ = std::move(trace); }

  std::vector<ClientNotification> Take();
  std::vector<std::string> TakeLog();
  std::size_t open() const { return open_; }
  Micros last_asked() const { return last_asked_; }  // when the last set-up came that wants an answer
  std::size_t size() const { return tasks_.size(); }
  std::size_t held() const { return held_; }
  std::size_t alarms() const { return alarms_.size(); }
  std::size_t open_on(ConnId conn) const {
    const auto it = open_on_.find(conn);
    return it == open_on_.end() ? 0 : it->second.size();
  }
  // Tasks that stand, and whose owner is heard on this connection.
  std::size_t standing_on(ConnId conn) const {
    const auto it = standing_on_.find(conn);
    return it == standing_on_.end() ? 0 : it->second;
  }
  bool Holds(RequestUid uid) const { return by_uid_.count(uid) > 0; }

 private:
  struct One {
    RequestUid uid = 0;
    ConnId conn = 0;
    Host host = 0;
    bool answered = false;  // its final answer is given, or no longer owed
    bool out = false;       // an attempt has no outcome yet
    bool placed = false;
    bool ended = false;    // by its owner or by a move: no release is owed
    unsigned attempt = 0;  // the number of the last
    NodeId node = 0;
    Micros sent = 0, deadline = 0;
    Micros until = kNever;  // of the attempt, or of the wait for word on a release
    // For the machines, until it stands.
    std::string task_class, name, idem, description;
  };

  void Feed(const Event& event);
  void Run();
  void TraceTurn(const Event& event, const std::vector<Action>& actions);
  void Act(const Action& action);
  void Offered(const StartAttempt& offer);
  void End(One& one, RequestId id, AttemptResult ending, RejectionReason cause, LoadReport report,
           bool closed);
  void Answer(One& one, ClientMessage message);
  void Answered(One& one);
  void Tell(const One& one, ClientMessageKind kind, int cause);
  void Refuse(ConnId conn, RequestUid uid, int cause);
  void Due(RequestId id, One& one, Micros at);
  void Drop(RequestId id);
  void CountStanding(ConnId conn, int change);
  NodeId IdOf(const std::string& name);
  void ForgetName(NodeId id);
  NodeEntry EntryOf(const ListedNode& machine);

  settings::WireSettings wire_;
  NodeConnections* links_;
  Scheduler scheduler_;
  Micros now_ = 0, last_asked_ = 0;
  RequestId next_ = 0;
  std::size_t open_ = 0, held_ = 0, most_held_;
  std::unordered_map<RequestId, One> tasks_;
  std::unordered_map<RequestUid, RequestId> by_uid_;
  std::unordered_map<ConnId, std::set<RequestId>> open_on_;
  std::map<NodeId, std::set<RequestId>> standing_;
  std::unordered_map<ConnId, std::size_t> standing_on_;
  std::set<std::pair<Micros, RequestId>> due_;
  std::set<std::pair<Micros, std::uint64_t>> alarms_;
  std::map<std::string, NodeId> ids_;  // of machines that are listed or hold tasks
  std::map<NodeId, std::string> names_;
  std::set<NodeId> listed_;
  std::deque<Event> events_;
  bool running_ = false;
  std::vector<ClientNotification> outs_;
  std::vector<std::string> log_;
  std::function<bool(ConnId)> has_left_;
  std::function<void(Micros, const std::string&)> trace_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_REQUEST_TABLE_HPP_
