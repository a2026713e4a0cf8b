// The nodes that the scheduler knows, as the node list tells them. Bookkeeping only; it chooses nothing.
#ifndef MOUNTFLOW_SCHEDULER_NODE_TABLE_HPP_
#define MOUNTFLOW_SCHEDULER_NODE_TABLE_HPP_

#include <map>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"

namespace mountflow {

// Invariant: ready() holds the nodes that are listed as ready, by id, as of the latest RefreshReady.
// Records keep their address until ForgetUnneeded removes them.
class NodeTable {
 public:
  using Nodes = std::map<NodeId, NodeRecord>;

  const Nodes& nodes() const { return nodes_; }
  Nodes& nodes() { return nodes_; }
  const std::vector<NodeRecord*>& ready() const { return ready_; }

  // Null where the node is unknown.
  const NodeRecord* Find(NodeId id) const;
  NodeRecord* Find(NodeId id);
  // Makes the record of a node that is not known yet.
  NodeRecord& FindOrAdd(NodeId id);

  // Takes in a node list, which must not be of kind kUnavailable. Returns the nodes that restarted since the
  // one before.
  std::vector<NodeRecord*> Apply(const NodeListUpdate& update, Micros now);

  // Removes nodes that for `retention` were neither listed nor held own tasks.
  void ForgetUnneeded(Micros now, Micros retention);

  void RefreshReady();

 private:
  Nodes nodes_;
  std::vector<NodeRecord*> ready_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_NODE_TABLE_HPP_
