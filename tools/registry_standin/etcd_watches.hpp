// The watches of the fake etcd: streams of changes to a range of keys. The class does no I/O.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_WATCHES_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_WATCHES_HPP_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/etcd_json.hpp"
#include "tools/registry_standin/key_value_store.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

// Faults that tests inject into the messages of watches.
struct WatchFaults {
  // Maximum number of events in one message; 0: no limit. Applies only to clients that allow fragments; the
  // remaining events follow in further fragments.
  std::size_t max_events = 0;
  bool duplicate_messages = false;
  bool reverse_events = false;  // within one message
};

// Holds the open watches and writes their messages. Not thread-safe.
class EtcdWatches {
 public:
  // Messages are appended to `replies`. `cluster` and `replies` are not owned and must outlive this object.
  EtcdWatches(const EtcdCluster* cluster, std::vector<Reply>* replies)
      : cluster_(cluster), replies_(replies) {}

  // Sends the head of the stream, followed by the changes since the requested revision or, if that revision
  // was compacted, a message that cancels the watch. `create_request` must be a JSON object.
  void Start(Micros now, ConnectionId connection, const nlohmann::json& create_request);
  // Ends the watch of a closed connection.
  void Forget(ConnectionId connection);
  // Closes the connections of all watches.
  void CloseAll();

  // Sends each watch the changes that it has not received yet. Must be called after each commit.
  void SendChanges(Micros now);
  // Sends the current revision to each watch that requested progress notifications and has received nothing
  // for `progress_interval`.
  void SendProgress(Micros now);
  // Returns the time of the next required SendProgress(); kNoTimer if no watch requested progress
  // notifications.
  [[nodiscard]] Micros NextTimer() const;

  [[nodiscard]] std::size_t size() const { return watches_.size(); }

  WatchFaults faults;
  Micros progress_interval = 1'000'000;

 private:
  struct Watch {
    ConnectionId connection = 0;
    KeyRange range;
    Revision next_revision = 0;  // the first revision not sent yet
    bool wants_progress = false;
    bool allows_fragments = false;
    Micros last_sent_at = 0;
  };

  // Returns the members that are common to all messages of a watch.
  [[nodiscard]] nlohmann::json NewResult() const;
  [[nodiscard]] nlohmann::json ChangeToJson(const KeyValueStore::Change& change) const;
  void Send(ConnectionId connection, const nlohmann::json& result);
  void SendChangesTo(Micros now, Watch* watch);
  void SendEvents(const Watch& watch, const std::vector<nlohmann::json>& events);

  const EtcdCluster* const cluster_;
  std::vector<Reply>* const replies_;
  std::vector<Watch> watches_;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_WATCHES_HPP_
