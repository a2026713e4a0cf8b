// The tasks whose ends nodes have reported recently. A node reports the end of a task once, on any open
// connection and on the next one that is established. A client may name the task as running only after that,
// because it has not heard of the end: its scheduler was restarted, or it has just moved to this one.
//
// An end counts only for the node that reported it: attempts of one request have the same uid at all nodes.
//
// Not thread-safe; the caller passes the time, which must not go backwards. At most kMaxEndedTasks ends are
// stored. The oldest one is discarded when another one is added.
#ifndef MOUNTFLOW_PLATFORM_ENDED_TASKS_HPP_
#define MOUNTFLOW_PLATFORM_ENDED_TASKS_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "mountflow/scheduler.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// How long an end is stored, in microseconds. Clients notice within some seconds that their scheduler has
// ended, and a scheduler may take half a minute to start.
inline constexpr Micros kEndedTaskRetention = 60'000'000;
// As many ends as a scheduler holds requests.
inline constexpr std::size_t kMaxEndedTasks = 16384;

// What a node reported about the end of a task.
struct TaskEndReport {
  int cause = 0;
  RejectionReason reason = RejectionReason::kUnspecified;
  bool counted = false;  // the scheduler library has received the end
};

// Stores the reports of ends. Not thread-safe.
class EndedTasks {
 public:
  // Stores the end of a task at a node, and replaces an earlier report of it.
  void Add(Micros now, NodeId node, RequestUid uid, const TaskEndReport& report);
  // Returns the report of a node about a task, or no value.
  [[nodiscard]] std::optional<TaskEndReport> Find(Micros now, NodeId node, RequestUid uid);
  // Discards all reports about a uid, because another request has it now.
  void Discard(RequestUid uid);

  [[nodiscard]] std::size_t size() const { return reports_.size(); }

 private:
  using Key = std::pair<RequestUid, NodeId>;
  struct StoredReport {
    TaskEndReport report;
    Micros received_at = 0;
  };
  struct ReceivedKey {
    Micros received_at = 0;
    Key key;
  };

  void DiscardOldest();
  void DiscardExpired(Micros now);

  std::map<Key, StoredReport> reports_;
  std::deque<ReceivedKey> by_age_;  // includes reports that were replaced or discarded since
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_ENDED_TASKS_HPP_
