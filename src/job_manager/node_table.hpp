// The nodes that this daemon knows: the nodes of the node list, and nodes that may hold attempts of an
// earlier incarnation of the daemon. Also the queue of nodes to be reconciled.
//
// Bounds: the caller limits the number of nodes. At most `max_reconciliations` nodes are reconciled at a
// time, and a node that is queued already is not queued again.
//
// Changed by JobManager only, and read by JobJournal; not thread-safe. References to records stay valid until
// the node is erased.
#ifndef MOUNTFLOW_JOB_MANAGER_NODE_TABLE_HPP_
#define MOUNTFLOW_JOB_MANAGER_NODE_TABLE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "job_manager/job.hpp"
#include "job_manager/messages.hpp"

namespace mountflow::job_manager {

// The state of one node.
struct NodeRecord {
  ListedNode listed;                      // latest entry of the node list
  std::optional<Micros> process_started;  // of its process that answered last; no value: not known
  bool present = false;                   // the node is in the node list
  bool awaited = false;              // the node has restored attempts and has not been in a node list since
  bool reconciled = false;           // the current incarnation of the node has been reconciled
  bool reconciling = false;          // a reconciliation is queued or in flight
  bool reconcile_in_flight = false;  // a reconciliation is in flight
  unsigned reconcile_failures = 0;   // consecutive failures
  std::uint32_t removal_generation = 0;  // removal timers with an earlier generation are ignored
  Micros reconcile_sent = 0;             // when the latest reconciliation was started
  std::set<AttemptId> attempts;          // attempts at this node that have not ended
};

class NodeTable {
 public:
  explicit NodeTable(std::size_t max_reconciliations) : max_reconciliations_(max_reconciliations) {}

  // Returns a hash of the name, which is the same in every daemon.
  static NodeId IdOf(std::string_view name);

  // Returns nullptr if the node is not known.
  NodeRecord* Find(NodeId node);
  const NodeRecord* Find(NodeId node) const;
  NodeRecord& FindOrCreate(NodeId node) { return nodes_[node]; }
  void Erase(NodeId node) { nodes_.erase(node); }
  std::size_t size() const { return nodes_.size(); }
  std::map<NodeId, NodeRecord>& nodes() { return nodes_; }
  const std::map<NodeId, NodeRecord>& nodes() const { return nodes_; }
  // Returns the nodes that are in the node list, in the order of their ids.
  std::vector<NodeId> PresentNodes() const;
  // Returns the name of the node, or `unknown` if the node is not known.
  std::string NameOf(NodeId node, const std::string& unknown = "") const;

  // ---- Reconciliation ----
  // Queues the node for reconciliation, unless it is queued or in flight already.
  void QueueReconciliation(NodeId node);
  // Ends the reconciliation that is in flight, if any: the node answered, failed or left the list.
  void EndReconciliation(NodeRecord* node);
  // Returns the nodes to reconcile now, in the order in which they were queued. Their reconciliation is in
  // flight from now on.
  //
  // The limit prevents a daemon from opening sessions to thousands of nodes at once when it starts, or when
  // all nodes return to the list; most of them may not even be reachable.
  std::vector<NodeId> StartReconciliations(Micros now);

 private:
  std::size_t max_reconciliations_;
  std::map<NodeId, NodeRecord> nodes_;
  std::deque<NodeId> waiting_;  // queued for reconciliation
  std::size_t in_flight_ = 0;   // number of reconciliations in flight
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_NODE_TABLE_HPP_
