// Picks the node for an attempt by the Normalized Service Capacity strategy of Shikata and Hanayama:
//   1. Remove the nodes that a filter or the cap excludes.
//   2. Rank the others by C_h * m_k / sum(m_j * n_hj), the largest first.
//   3. Draw at random among the near ties for the first place.
// docs/design.md describes the strategy in full.
#ifndef MOUNTFLOW_SCHEDULER_NODE_RANKING_HPP_
#define MOUNTFLOW_SCHEDULER_NODE_RANKING_HPP_

#include <cstdint>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/admission_rules.hpp"
#include "scheduler/load_model.hpp"
#include "scheduler/outlier_ejection.hpp"
#include "scheduler/own_tasks.hpp"
#include "scheduler/priority_weights.hpp"
#include "scheduler/random_draw.hpp"
#include "scheduler/request_record.hpp"

namespace mountflow {

// The objects that the ranking reads. All must outlive the NodeRanking.
struct RankingInputs {
  const Settings& settings;
  const PriorityWeights& weights;
  const LoadModel& load_model;
  const OutlierEjection& outlier_ejection;
  const AdmissionRules& admission_rules;
  const OwnTasks& own_tasks;
};

// Ranks nodes for an attempt.
// Invariant: a picked node passes every filter, and stays within the cap with the task added to it. Each
// pick makes exactly one random draw if any node qualifies, and none otherwise.
class NodeRanking {
 public:
  NodeRanking(const RankingInputs& inputs, std::uint64_t seed) : inputs_(inputs), random_(seed) {}

  // Returns the node for the next attempt of the request, or null if no node qualifies.
  NodeRecord* Pick(const RequestRecord& request, const ClusterState& cluster);

 private:
  struct RankedNode {
    double value;
    NodeRecord* node;
    bool has_program;               // it runs, or recently ran, own tasks of the service
    std::uint64_t rendezvous_hash;  // hash of service and node
  };

  // Returns the nodes that pass the filters and the cap, with their values, in the order of their ids.
  std::vector<RankedNode> RankQualified(const RequestRecord& request, const ClusterState& cluster) const;
  // Raises the value of affinity nodes, and of nodes that have the program of the service.
  static void ApplyAffinityFactor(std::vector<RankedNode>* ranked);
  // Removes all nodes but the near ties for the highest value.
  void KeepNearTies(std::vector<RankedNode>* ranked) const;

  RankingInputs inputs_;
  RandomDraw random_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_NODE_RANKING_HPP_
