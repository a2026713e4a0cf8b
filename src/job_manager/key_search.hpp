// Searches the nodes for a task that an earlier submission of the same job may have started.
//
// Daemons do not communicate with each other. If a client submits a job with a key a second time, the job may
// already run, or the daemon that got the first submission may still start it. Therefore all listed nodes are
// queried for the key in rounds. The horizon is the time after which the earlier submission can no longer
// start the job. If a node has the key, the job is answered as started. If every listed node has answered
// after the horizon that it does not have the key, no other daemon can start the job any more, and this
// daemon requests it.
//
// Bound: at most one search for each waiting job, with at most one entry for each node of the node table.
//
// Used by JobManager only; not thread-safe.
#ifndef MOUNTFLOW_JOB_MANAGER_KEY_SEARCH_HPP_
#define MOUNTFLOW_JOB_MANAGER_KEY_SEARCH_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::job_manager {

// The search for the key of one job.
class KeySearch {
 public:
  explicit KeySearch(Micros horizon) : horizon_(horizon) {}

  // Returns the time after which no earlier submission can start the job.
  Micros horizon() const { return horizon_; }
  // Begins a round of queries to `nodes`, and discards the answers of earlier rounds.
  void BeginRound(Micros now, const std::vector<NodeId>& nodes);
  // Records the node's answer that it does not have the key.
  void RecordAbsent(NodeId node) { nodes_without_key_.insert(node); }
  // Removes the nodes for which `has_left` returns true from the round; their answers are not needed.
  void RemoveNodesIf(const std::function<bool(NodeId)>& has_left);
  // Reports whether the job is known not to run: the current round began at or after the horizon, it has at
  // least one node, and each of its nodes has answered that it does not have the key.
  bool IsConclusive() const;

 private:
  Micros horizon_;
  Micros round_start_ = 0;
  std::set<NodeId> queried_;            // nodes queried in this round
  std::set<NodeId> nodes_without_key_;  // nodes that answered in this round that they do not have the key
};

// The key searches in progress.
class KeySearches {
 public:
  // Starts a search for the job, and replaces an earlier one.
  KeySearch& Start(std::uint64_t job, Micros horizon);
  // Returns nullptr if there is no search for the job.
  KeySearch* Find(std::uint64_t job);
  void Stop(std::uint64_t job) { searches_.erase(job); }

 private:
  std::map<std::uint64_t, KeySearch> searches_;  // by job
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_KEY_SEARCH_HPP_
