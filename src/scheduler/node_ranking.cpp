#include "scheduler/node_ranking.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace mountflow {
namespace {

// Values that are less than this fraction below the best one count as ties. A list that is seconds old does
// not support finer distinctions.
constexpr double kNearTie = 0.10;
// Factor on the value of a node that has the task's program. A start without the program takes several times
// the work out of the same capacity. The factor is bounded, so that the load decides among such nodes, and
// outweighs the factor where it is uneven.
constexpr double kAffinityFactor = 2.0;
// Number of affinity nodes of a service. They get the same factor if no own task shows which nodes have the
// program, which is frequent with many schedulers. All schedulers compute the same affinity nodes.
constexpr std::size_t kAffinityNodes = 2;
// Additional tasks that a pending start counts as in the ranking. A node runs only a few starts at a time, so
// the next start waits behind the pending one, which costs more than the cores of one task.
constexpr double kPendingStartTasks = 3.0;

}  // namespace

NodeRecord* NodeRanking::Pick(const RequestRecord& request, const ClusterState& cluster) {
  std::vector<RankedNode> ranked = RankQualified(request, cluster);
  if (ranked.empty()) return nullptr;
  ApplyAffinityFactor(&ranked);
  KeepNearTies(&ranked);
  return ranked[random_.Below(ranked.size())].node;
}

std::vector<NodeRanking::RankedNode> NodeRanking::RankQualified(const RequestRecord& request,
                                                                const ClusterState& cluster) const {
  const LoadModel& model = inputs_.load_model;
  const Task& task = request.task;
  const double weight = inputs_.weights.Of(task.task_class);
  const double cap = model.Cap();
  std::vector<NodeLoad> nodes = model.LoadOfEach(cluster);
  const ClusterLoad total = model.LoadOfAll(nodes, cluster);
  const ServicePlacements& with_program = inputs_.own_tasks.OfService(task.service);
  const DomainCounts counts = inputs_.admission_rules.CountByDomain(task, with_program);
  inputs_.admission_rules.Filter(request, counts, cluster.now, &nodes);
  model.Filter(task, total, &nodes);
  inputs_.outlier_ejection.Filter(cluster, total, task.task_class, &nodes);
  auto next_with_program = with_program.begin();  // sorted by node id, like `nodes`
  std::vector<RankedNode> ranked;
  ranked.reserve(nodes.size());
  for (const NodeLoad& candidate : nodes) {
    if (!candidate.qualifies) continue;
    NodeRecord& node = *candidate.node;
    const double capacity = candidate.capacity;
    // A node that is warming up is empty, but has no more capacity than the others: it counts as loaded to
    // the mean.
    const double load =
        candidate.is_warming_up ? std::max(candidate.load, total.mean_load * capacity) : candidate.load;
    if ((load + weight) / capacity > cap) continue;
    const double ranking_load = std::max({load, candidate.reported_load, total.fill_level * capacity}) +
                                kPendingStartTasks * node.pending_starts * weight + weight;
    const NodeId id = node.entry.node;
    while (next_with_program != with_program.end() && next_with_program->first < id) ++next_with_program;
    const bool has_program = next_with_program != with_program.end() && next_with_program->first == id;
    ranked.push_back({capacity * weight / ranking_load, &node, has_program, Mix(task.service ^ Mix(id))});
  }
  return ranked;
}

// Uses rendezvous hashing, so that all schedulers agree on the affinity nodes of a service without
// communication.
void NodeRanking::ApplyAffinityFactor(std::vector<RankedNode>* ranked) {
  const bool is_program_known =
      std::any_of(ranked->begin(), ranked->end(), [](const RankedNode& node) { return node.has_program; });
  const std::size_t affinity_nodes = is_program_known ? 0 : std::min(kAffinityNodes, ranked->size());
  // Also called without affinity nodes, because it determines the order from which the near ties are drawn.
  std::partial_sort(
      ranked->begin(), ranked->begin() + static_cast<std::ptrdiff_t>(affinity_nodes), ranked->end(),
      [](const RankedNode& a, const RankedNode& b) { return a.rendezvous_hash > b.rendezvous_hash; });
  for (std::size_t i = 0; i < ranked->size(); ++i) {
    RankedNode& node = (*ranked)[i];
    if (i < affinity_nodes || node.has_program) node.value *= kAffinityFactor;
  }
}

void NodeRanking::KeepNearTies(std::vector<RankedNode>* ranked) const {
  double best = 0.0;
  for (const RankedNode& node : *ranked) best = std::max(best, node.value);
  std::erase_if(*ranked, [best](const RankedNode& node) { return node.value < best * (1.0 - kNearTie); });
  // If tasks in another zone have a price, only near ties in the own zone remain, if there are any.
  const auto is_in_own_zone = [this](const RankedNode& node) {
    return static_cast<int>(node.node->entry.zone) == inputs_.settings.own_zone;
  };
  if (inputs_.settings.cross_zone_price > 0.0 &&
      std::any_of(ranked->begin(), ranked->end(), is_in_own_zone)) {
    std::erase_if(*ranked, std::not_fn(is_in_own_zone));
  }
}

}  // namespace mountflow
