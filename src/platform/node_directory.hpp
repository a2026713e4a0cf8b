// The directory of known nodes: the id of each node name, the nodes that are on the node list, the start time
// of each node's process, and the running tasks of each node.
//
// Not thread-safe. Bounds: a name is stored while its node is listed or runs a task, so the directory holds
// at most the listed nodes and one node per running task.
#ifndef MOUNTFLOW_PLATFORM_NODE_DIRECTORY_HPP_
#define MOUNTFLOW_PLATFORM_NODE_DIRECTORY_HPP_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "platform/node_watch.hpp"
#include "settings/settings.hpp"

namespace mountflow::platform {

// NodeDirectory maps node names to ids and records which nodes are listed and which tasks run on them.
class NodeDirectory {
 public:
  // Returns the id of the node with this name and adds the name if it is unknown. The id is a hash of the
  // name, so, except for collisions, it is the same in all schedulers and after a restart. Schedulers depend
  // on this to choose the same affinity nodes for a service.
  NodeId IdOf(const std::string& name);

  // Returns the name of a node, or an empty string if the node is unknown.
  [[nodiscard]] std::string NameOf(NodeId id) const;

  void MarkListed(NodeId id) { listed_.insert(id); }
  void MarkUnlisted(NodeId id) { listed_.erase(id); }
  // Records when the process of a known node was started. Returns false if `started_at` is not later than the
  // start recorded before: a repeated or late entry, or one without a start time (0).
  bool RecordProcessStart(NodeId id, Micros started_at);
  // Returns the known nodes whose names are not in `names`, ordered by name.
  [[nodiscard]] std::vector<NodeId> NotNamedIn(const std::set<std::string>& names) const;
  // Removes each node that is neither listed nor runs a task.
  void ForgetUnlisted();

  void AddRunningTask(NodeId id, RequestId task) { running_tasks_[id].insert(task); }
  // Returns false if the task was not a running task of this node. Removing the last task of an unlisted node
  // also removes the node.
  bool RemoveRunningTask(NodeId id, RequestId task);
  // Returns the running tasks of a node; empty if there are none.
  [[nodiscard]] std::set<RequestId> RunningTasks(NodeId id) const;

  [[nodiscard]] std::size_t size() const { return names_.size(); }

 private:
  void ForgetIfUnused(NodeId id);

  std::map<std::string, NodeId> ids_;
  std::map<NodeId, std::string> names_;
  std::set<NodeId> listed_;
  std::map<NodeId, Micros> process_started_at_;  // of nodes whose entry gave a start time
  std::map<NodeId, std::set<RequestId>> running_tasks_;
};

// Converts an entry of the node list to the scheduler's form. Names of zones and kinds are replaced by their
// indices in the settings, and unknown names by 0.
[[nodiscard]] NodeEntry ToNodeEntry(const ListedNode& node, NodeId id, const settings::WireSettings& wire);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_DIRECTORY_HPP_
