// The nodes known to the scheduler. Stores what the node lists contain, and makes no decisions.
#ifndef MOUNTFLOW_SCHEDULER_NODE_TABLE_HPP_
#define MOUNTFLOW_SCHEDULER_NODE_TABLE_HPP_

#include <map>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"

namespace mountflow {

// Owns the record of each node.
// Invariant: ready() holds the nodes that were listed as ready at the latest RefreshReady, in the order of
// their ids.
//
// The address of a record is stable until ForgetUnneeded removes it.
class NodeTable {
 public:
  using Nodes = std::map<NodeId, NodeRecord>;

  const Nodes& nodes() const { return nodes_; }
  Nodes& nodes() { return nodes_; }
  const std::vector<NodeRecord*>& ready() const { return ready_; }

  // Returns the record of a node, or null if the node is unknown.
  const NodeRecord* Find(NodeId id) const;
  NodeRecord* Find(NodeId id);
  // Returns the record of a node, and creates it if the node is unknown.
  NodeRecord& FindOrAdd(NodeId id);

  // Applies a node list, which must not be of kind kUnavailable. Returns the nodes that restarted since the
  // previous list.
  std::vector<NodeRecord*> Apply(const NodeListUpdate& update, Micros now);

  // Removes nodes that have neither been listed nor had own tasks for more than `retention`.
  void ForgetUnneeded(Micros now, Micros retention);

  // Rebuilds ready() from the current entries.
  void RefreshReady();

 private:
  Nodes nodes_;
  std::vector<NodeRecord*> ready_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_NODE_TABLE_HPP_
