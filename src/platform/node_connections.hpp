// The connections to nodes, the attempts in flight on each, and the conclusions about attempts and running
// tasks when a connection ends. There is at most one connection per node, looked up by node id and never by
// address. This file does no I/O: a Transport connects and sends, and the caller collects the resulting
// events with TakeEvents().
//
// Conclusions from the state of a connection:
//   - No connection was established (refused or timed out): the attempts that waited for it never ran.
//   - A connection ended after an attempt was written completely: the attempt may have run.
//   - A connection ended before an attempt was written completely: the attempt never ran, because a node
//     processes only complete messages.
//   - A connection was refused: the node's process has ended, and its tasks with it.
//   - The node's process was started after a connection was established: the connection leads to an earlier
//     process, which has ended. This needs clocks that agree to within the time that a restart takes.
//   - Another node has taken the address: the node's process has ended as well, unless a connection that was
//     made before the tasks were started is still open; such a connection leads to the old process.
//   - Nothing was received for kNodeLostTimeout: the node's process is assumed to have ended, so that clients
//     are notified within their time limit.
//
// A termination of a running task, or of an attempt that was written, is sent on each connection until the
// node confirms it (pending_terminations.hpp). No attempt is sent while a termination with its uid is pending
// at the node, so a termination never ends a task that was requested after it.
//
// An attempt is passed to the transport only after the kernel has accepted all bytes before it. A cancelled
// attempt is therefore in one of three states: it is never sent, or the node reads both the attempt and its
// cancellation, or the connection ends before the message is complete.
//
// Not thread-safe; the caller passes the current time. Bounds:
//   - at most NodeConnectionOptions::max_connections connections;
//   - at most kMaxAttemptsInFlight attempts in flight per node;
//   - at most kMaxPendingTerminations pending terminations per node, for kTerminationRetention each;
//   - the delay between reconnects grows up to kReconnectDelayMax, and up to kLostNodeReconnectDelayMax for a
//     lost node;
//   - a node that is no longer listed is removed when its last task or pending termination ends.
#ifndef MOUNTFLOW_PLATFORM_NODE_CONNECTIONS_HPP_
#define MOUNTFLOW_PLATFORM_NODE_CONNECTIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/node_codec.hpp"
#include "platform/pending_terminations.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// Limits per node. A node cannot accept kMaxAttemptsInFlight attempts within the longest deadline of an
// attempt.
inline constexpr std::size_t kMaxAttemptsInFlight = 1024;
// As many as a scheduler holds tasks. A further termination is sent once, and not repeated.
inline constexpr std::size_t kMaxPendingTerminations = 16384;
// A health check is sent on a connection in use after nothing was received for kHealthCheckInterval
// (microseconds). The connection is closed if nothing is received within kHealthCheckTimeout after that. A
// healthy node may stall for half a second.
inline constexpr Micros kHealthCheckInterval = 1'000'000;
inline constexpr Micros kHealthCheckTimeout = 2'000'000;
// Maximum time for which a connection may hold an incomplete message. Healthy nodes send each message in one
// piece.
inline constexpr Micros kPartialNodeMessageTimeout = 1'000'000;
// A node from which nothing was received for this long is considered lost. Clients must be notified of the
// end of a running task within 8 s. The timeout is as long as that limit allows, because a node behind a
// network failure may still be running its tasks when it is reachable again.
inline constexpr Micros kNodeLostTimeout = 7'500'000;
// If more nodes run tasks than there are connections, a node whose connection was evicted is connected again
// after this time. This delays the report of a task's end, which must arrive within 8 s.
inline constexpr Micros kRotationInterval = 2'000'000;
// Delay before the next try to connect when all connections are in use and none can be evicted.
inline constexpr Micros kNoConnectionFreeDelay = 50'000;
inline constexpr Micros kReconnectDelayMin = 50'000;
inline constexpr Micros kReconnectDelayMax = 500'000;
// For a lost node that has only terminations to confirm, so that it does not take descriptors from others.
inline constexpr Micros kLostNodeReconnectDelayMax = 2'000'000;

// An event about an attempt, a running task or a node, for the caller to handle.
struct NodeConnectionEvent {
  enum class Kind {
    kStarted,     // the node accepted the attempt; its task is running
    kEnded,       // the node reported the end of the attempt or of the running task
    kNeverRan,    // the attempt got no connection or was not written completely
    kMayHaveRun,  // the attempt was written completely before its connection ended
    kProgress,    // the node reported progress of a running task
    kNodeLost,    // all running tasks of the node are lost; `uid` is 0
  };
  Kind kind = Kind::kStarted;
  NodeId node = 0;
  RequestUid uid = 0;
  bool of_running_task = false;  // for kEnded: no attempt with this uid is in flight on the connection
  // For kStarted: when the connection to the process that runs the task was established.
  Micros connected_at = 0;
  NodeMessage message;  // set for kStarted, kEnded and kProgress
};

// Limits of NodeConnections; times are in microseconds.
struct NodeConnectionOptions {
  std::size_t max_connections = 64;
  Micros connect_timeout = 250'000;
  // Time after which an unused connection is closed. It must be shorter than the node's own idle timeout: an
  // attempt that is sent while the node closes the connection must be reported as kMayHaveRun.
  Micros idle_timeout = 10'000'000;
};

// NodeConnections manages the connections to all known nodes and the attempts in flight on them.
class NodeConnections {
 public:
  // `transport` must outlive this object.
  NodeConnections(const NodeConnectionOptions& options, Transport* transport)
      : options_(options), transport_(transport) {}

  // Adds a listed node or changes its address. Another node that has the same address loses it.
  void SetNodeAddress(Micros now, NodeId node, const std::string& address);
  // Closes the connection to a node if it was established before `process_started_at`, because it then leads
  // to an earlier process. Its attempts may have run; those not sent yet never ran. Pending terminations of
  // that process are dropped.
  void DropConnectionToEarlierProcess(Micros now, NodeId node, Micros process_started_at);
  // Marks a node as no longer listed.
  void RemoveNode(Micros now, NodeId node);

  // Sends an attempt. `message` is its encoded launch message. Exactly one event of kind kStarted, kEnded,
  // kNeverRan or kMayHaveRun follows, unless the attempt is cancelled before.
  void Launch(Micros now, NodeId node, RequestUid uid, std::string message);
  // Cancels an attempt; no event about it follows. Does nothing if the attempt is not in flight.
  void CancelAttempt(Micros now, NodeId node, RequestUid uid);
  // Tells the node to terminate a running task, now or as soon as the node is connected again, and again on
  // each further connection until the node confirms it.
  void TerminateTask(Micros now, NodeId node, RequestUid uid);
  // Reports whether the node has still to confirm that it has terminated a task or cancelled an attempt.
  [[nodiscard]] bool IsTerminationPending(NodeId node, RequestUid uid) const;
  // Reports whether terminations are pending at nodes that are expected to confirm them soon.
  [[nodiscard]] bool AwaitsTerminations(Micros now) const;
  // Records that a task is running on a node, and connects to the node so that it can report the task's end.
  // `recovered` is true for a task that was started before this process had a connection to the node.
  void AddRunningTask(Micros now, NodeId node, bool recovered = false);
  // Records that a running task of a node has ended.
  void RemoveRunningTask(NodeId node);

  // Callbacks of the transport. Ids of connections that do not belong to this object are ignored.
  [[nodiscard]] bool HasConnection(ConnId conn) const { return node_by_conn_.count(conn) > 0; }
  void OnConnected(Micros now, ConnId conn);
  void OnBytes(Micros now, ConnId conn, std::string_view bytes);
  void OnWritten(Micros now, ConnId conn);  // the kernel has accepted all queued bytes
  void OnClosed(Micros now, ConnId conn, bool refused);

  // Handles everything that is due: timeouts, health checks and reconnects.
  void Tick(Micros now);
  // Returns the time at which Tick() must be called next; kNever if nothing is pending.
  [[nodiscard]] Micros NextDue() const;
  // Returns and clears the events since the last call, in order.
  [[nodiscard]] std::vector<NodeConnectionEvent> TakeEvents();

  [[nodiscard]] std::size_t connection_count() const { return node_by_conn_.size(); }
  [[nodiscard]] std::size_t node_count() const { return peers_.size(); }

 private:
  struct AttemptInFlight {
    std::string message;   // the encoded launch message; empty once it is sent
    bool sent = false;     // passed to the transport
    bool written = false;  // the kernel has accepted every byte of the message
  };
  struct Connection {
    ConnId id = 0;              // 0 if there is no connection
    std::string address;        // remote address
    Micros established_at = 0;  // 0 until the connection is established
    Micros connect_deadline = kNever;
    bool received_any = false;
    Micros health_check_sent_at = 0;  // 0 if no health check is pending
    Micros last_health_check_at = 0;  // 0 if none was sent
    Micros partial_since = 0;         // since when an incomplete message is buffered; 0 if none is
    NodeMessageReader reader;
  };
  // State of one node.
  struct Peer {
    NodeId node = 0;
    bool listed = false;
    std::string address;  // if empty, no new connection is made
    Connection connection;
    bool tasks_predate_connection = false;  // some running task may be older than `connection`
    std::size_t running_tasks = 0;
    bool tasks_reported_lost = false;  // because of its silence, since the last byte from it
    Micros last_received_at = 0;       // until the first byte: when a connection was first needed
    Micros last_used_at = 0;
    Micros reconnect_at = 0;
    Micros reconnect_delay = 0;
    std::map<RequestUid, AttemptInFlight> attempts;
    std::deque<RequestUid> unsent_attempts;  // in launch order
    PendingTerminations terminations;

    [[nodiscard]] bool IsConnected() const { return connection.established_at != 0; }
    [[nodiscard]] bool HasConnection() const { return connection.id != 0; }
    [[nodiscard]] bool IsNeeded() const {
      return !attempts.empty() || running_tasks > 0 || !terminations.empty();
    }
    // Reports whether the node is considered lost. It may come back as the same process.
    [[nodiscard]] bool IsLost(Micros now) const {
      return running_tasks == 0 && (tasks_reported_lost || now >= last_received_at + kNodeLostTimeout);
    }
  };
  // Order in which connections are evicted. The connection with the smallest rank is evicted first.
  struct EvictionRank {
    int need = 0;  // 0: not needed; 1: needed, the node has sent something on it; 2: needed, nothing received
    Micros last_used_at = 0;
    auto operator<=>(const EvictionRank&) const = default;
  };

  Peer& FindOrAddPeer(NodeId node);
  Peer* FindPeer(NodeId node);        // null if the node is unknown
  Peer* FindPeerByConn(ConnId conn);  // null if the connection does not belong to this object
  void TakeAddressFromOthers(Micros now, NodeId node, const std::string& address);

  void Connect(Micros now, Peer& peer, bool for_attempt = false);
  [[nodiscard]] bool EvictIfFull(Micros now, const Peer& for_peer, bool for_attempt);
  void RequestTermination(Micros now, Peer& peer, RequestUid uid);
  // Sends what waits for the connection: terminations first, then attempts.
  void SendUnsent(Micros now, Peer& peer);
  void SendUnsentTerminations(Micros now, Peer& peer);
  void SendUnsentAttempts(Micros now, Peer& peer);
  void Send(Peer& peer, const std::string& bytes);
  void SendStop(Peer& peer, RequestUid uid);
  void SendHealthCheck(Micros now, Peer& peer);
  void HandleMessage(Micros now, Peer& peer, const NodeMessage& message);

  // Logs `reason` and closes the connection.
  void CloseConnection(Micros now, Peer& peer, const std::string& reason, bool was_established);
  // Adds an event for each attempt on a connection that has ended, and schedules the reconnect.
  void OnConnectionEnded(Micros now, Peer& peer, bool was_established);
  void ReportTasksLost(const Peer& peer);
  // Concludes that the node's process has ended, and its tasks with it.
  void OnProcessEnded(Peer& peer);
  void ForgetIfUnused(NodeId node);
  void TickPeer(Micros now, Peer& peer);
  [[nodiscard]] Micros DueOf(const Peer& peer) const;
  void AddEvent(NodeConnectionEvent::Kind kind, const Peer& peer, RequestUid uid);

  NodeConnectionOptions options_;
  Transport* transport_;
  std::map<NodeId, Peer> peers_;
  std::unordered_map<ConnId, NodeId> node_by_conn_;
  std::vector<NodeConnectionEvent> events_;
  std::uint64_t health_checks_sent_ = 0;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_CONNECTIONS_HPP_
