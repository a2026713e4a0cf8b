// The table of client requests and of the running tasks that they started. Records are found by request id
// and by the client's uid, and are counted per client connection. The table makes no decisions and sends
// nothing. Only the dispatcher modifies it.
//
// Not thread-safe. A reference to a Request is valid until that request is removed.
#ifndef MOUNTFLOW_PLATFORM_REQUEST_TABLE_HPP_
#define MOUNTFLOW_PLATFORM_REQUEST_TABLE_HPP_

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/client_notifications.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// Maximum number of requests without a final answer, over all clients. It holds a few seconds of requests at
// the highest rate that one scheduler receives.
inline constexpr std::size_t kMaxUnanswered = 2048;
// Maximum number of requests without a final answer per connection, so that one client cannot use up the
// limit for all clients.
inline constexpr std::size_t kMaxUnansweredPerConnection = 512;
// Maximum number of records. Running tasks count only here, because their lifetime has no bound.
inline constexpr std::size_t kMaxRequests = 16384;
// Default limit on the total size of the descriptions of requests without a final answer, in bytes.
// kMaxUnanswered descriptions of the maximum size would fill the program's smallest memory limit.
inline constexpr std::size_t kDefaultMaxDescriptionBytes = 2 << 20;

enum class RequestState {
  kPending,          // no attempt is in flight
  kAttemptInFlight,  // an attempt was started and has no outcome yet
  kRunning,          // the task runs on `node`
  kTerminating       // the client or a migration is ending the task, so its end causes no notification
};

// The part of a client's request that is sent to a node to start the task.
struct LaunchPayload {
  std::string task_class;
  std::string task_name;
  std::string idempotency_key;
  std::string description;
};

// A request, and the running task that it started.
struct Request {
  RequestId id = 0;
  RequestUid uid = 0;
  // The connection that receives the final answer. It is also the first choice for notifications about the
  // running task.
  ConnId conn = 0;
  ClientHost host = 0;
  RequestState state = RequestState::kPending;
  bool answered = false;  // the final answer was given, or the client no longer waits for it
  Micros deadline = 0;    // for the final answer
  // The number, node and start time of the latest attempt.
  unsigned attempt = 0;
  NodeId node = 0;
  Micros attempt_started_at = 0;
  // The earliest time at which the process that runs the task is known to have existed: when the connection
  // on which it started the task was established, or when a client named the running task.
  Micros process_known_since = 0;
  // When the attempt times out, or when a task that is being terminated counts as ended. kNever: no timer.
  Micros timer_at = kNever;
  LaunchPayload payload;  // empty once the task runs

  // Reports whether an attempt is in flight or has started the task.
  [[nodiscard]] bool HasAttempt() const { return state != RequestState::kPending; }
  [[nodiscard]] bool IsRunning() const {
    return state == RequestState::kRunning || state == RequestState::kTerminating;
  }
  // Reports whether a client named the task as running, so that no attempt of this process started it.
  [[nodiscard]] bool WasRecovered() const { return IsRunning() && attempt_started_at == 0; }
};

// Stores the records and enforces the limits above. Not thread-safe.
class RequestTable {
 public:
  // `max_description_bytes` limits the total size of the descriptions of requests without a final answer.
  explicit RequestTable(std::size_t max_description_bytes) : max_description_bytes_(max_description_bytes) {}

  // Reports whether one more request from this connection, with a description of this size, stays within the
  // limits.
  [[nodiscard]] bool HasCapacityForRequest(ConnId conn, std::size_t description_bytes) const;
  // Reports whether a record for a recovered running task can be added.
  [[nodiscard]] bool HasCapacityForRunningTask() const { return requests_.size() < kMaxRequests; }

  // Adds a record under the next id. `uid` must not be in the table.
  Request& Add(RequestUid uid, ConnId conn, ClientHost host);
  // Find() and FindByUid() return null when there is no such request.
  [[nodiscard]] Request* Find(RequestId id);
  [[nodiscard]] Request* FindByUid(RequestUid uid);
  [[nodiscard]] bool Contains(RequestUid uid) const { return by_uid_.count(uid) > 0; }
  // Removes a record. An unknown id is ignored.
  void Remove(RequestId id);

  // Counts a request of the table as unanswered and stores its payload. The payload's description counts
  // against the limit on description bytes.
  void AddUnanswered(const Request& request, LaunchPayload payload);
  // Records that no final answer is due any more. Has no effect on a request that is already marked.
  void MarkAnswered(Request& request);
  // Add a running task to, and remove it from, the count of its client's connection.
  void CountRunning(const Request& request) { ++running_by_conn_[request.conn]; }
  void UncountRunning(const Request& request);
  // Frees the payload, which only a further attempt would need.
  void ReleasePayload(Request& request);

  // Return the ids of unanswered requests, of one connection or of all. The ids of each connection are in
  // ascending order.
  [[nodiscard]] std::set<RequestId> UnansweredOn(ConnId conn) const;
  [[nodiscard]] std::vector<RequestId> Unanswered() const;

  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] std::size_t unanswered() const { return unanswered_; }
  [[nodiscard]] std::size_t unanswered_on(ConnId conn) const;
  [[nodiscard]] std::size_t running_on(ConnId conn) const;
  [[nodiscard]] std::size_t description_bytes() const { return description_bytes_; }

 private:
  std::size_t max_description_bytes_;
  RequestId last_id_ = 0;
  std::size_t unanswered_ = 0;
  std::size_t description_bytes_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<RequestUid, RequestId> by_uid_;
  std::unordered_map<ConnId, std::set<RequestId>> unanswered_by_conn_;
  std::unordered_map<ConnId, std::size_t> running_by_conn_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_REQUEST_TABLE_HPP_
