#include "scheduler/load_model.hpp"

#include <algorithm>
#include <limits>
#include <map>

#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Time for which a load report is valid. Utilisation changes within seconds.
constexpr Micros kReportLifetime = 5 * kSecond;
// Ratio of requested to used cores. It converts the fraction of cores in use to a fraction requested, because
// tasks use less than they request.
constexpr double kRequestedPerUsed = 1.1;
// Minimum capacity of a node, which avoids a division by zero.
constexpr double kMinCapacity = 1e-6;

// The load level and the capacity of one node, for FillLevel().
struct FillStep {
  double level;  // load per capacity
  double capacity;
};

// Returns the load per capacity that is reached if `load` is added to the steps, always to those with the
// lowest level (water-filling). `steps` must be sorted by level.
double FillLevel(const std::vector<FillStep>& steps, double load) {
  double capacity = 0.0;
  double level = 0.0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    level = steps[i].level;
    capacity += steps[i].capacity;
    const double next = i + 1 < steps.size() ? steps[i + 1].level : std::numeric_limits<double>::max();
    if (load < capacity * (next - level)) return level + load / capacity;
    load -= capacity * (next - level);
  }
  return level;
}

}  // namespace

void LoadModel::ChooseReferenceKind(const std::vector<NodeRecord*>& ready) {
  std::map<unsigned, int> count_by_kind;
  for (const NodeRecord* node : ready) ++count_by_kind[node->entry.kind];
  int highest_count = 0;
  for (const auto& [kind, count] : count_by_kind) {
    if (count <= highest_count || kind >= settings_.node_kinds.size()) continue;
    highest_count = count;
    reference_cores_ = std::max(kMinCapacity, settings_.node_kinds[kind].cores);
  }
}

double LoadModel::Cap() const {
  return PriorityWeights::Highest() * reference_cores_ * settings_.overcommit_cores / settings_.mean_cores;
}

inline double LoadModel::Capacity(const NodeKind& kind) const {
  return std::max(kMinCapacity, kind.cores / reference_cores_);
}

inline double LoadModel::MeanWeight(const NodeRecord& node) const {
  return node.own_load.task_count() > 0 ? node.own_load.mean_priority_weight() : weights_.mean();
}

inline double LoadModel::Load(const NodeRecord& node, const NodeKind& kind) const {
  const double unobserved = node.own_load.unobserved_amounts().priority_weight;
  // If the list contains no free capacity, every other scheduler is assumed to have sent as much load to the
  // node as this one.
  if (!settings_.list_has_free_capacity) return unobserved * group_.size();
  const double requested_cores = std::max(0.0, kind.cores - node.entry.free_cores);
  return std::max(0.0, requested_cores / settings_.mean_cores * MeanWeight(node) + unobserved);
}

inline double LoadModel::ReportedLoad(const NodeRecord& node, const NodeKind& kind, Micros now) const {
  const ReportedUtilisation& report = node.utilisation;
  if (report.at == 0 || now > report.at + kReportLifetime) return 0.0;
  return kRequestedPerUsed * report.share * kind.cores / settings_.mean_cores * MeanWeight(node);
}

void LoadModel::NoteReport(const LoadReport& report, NodeRecord* node, Micros now) {
  if (!report.utilisation || !IsAmount(*report.utilisation)) return;
  node->utilisation = {now, std::min(1.0, *report.utilisation)};
}

inline bool LoadModel::Fits(const NodeLoad& node, const Task& task, const ClusterLoad& total) const {
  const NodeRecord& record = *node.node;
  const NodeKind& kind = node.kind;
  double cores = record.entry.free_cores;
  double memory = record.entry.free_memory;
  double unobserved_cores = record.own_load.unobserved_amounts().cores;
  double unobserved_memory = record.own_load.unobserved_amounts().memory;
  if (!settings_.list_has_free_capacity) {  // every other scheduler is assumed to use as much there
    cores = kind.cores - unobserved_cores * group_.size();
    memory = kind.memory - unobserved_memory * group_.size();
    unobserved_cores = 0.0;
    unobserved_memory = 0.0;
  }
  cores += (settings_.overcommit_cores - 1.0) * kind.cores - unobserved_cores;
  memory += (settings_.overcommit_memory - 1.0) * kind.memory - unobserved_memory;
  if (settings_.nodes_preempt && settings_.classes[task.task_class].priority < weights_.highest_priority()) {
    cores -= total.unobserved_tasks_by_capacity * settings_.mean_cores * node.capacity;
    memory -= total.unobserved_tasks_by_capacity * settings_.mean_memory * node.capacity;
  }
  return cores >= task.cores && memory >= task.memory;
}

void LoadModel::Filter(const Task& task, const ClusterLoad& total, std::vector<NodeLoad>* nodes) const {
  for (NodeLoad& node : *nodes) node.qualifies = node.qualifies && Fits(node, task, total);
}

std::vector<NodeLoad> LoadModel::LoadOfEach(const ClusterState& cluster) const {
  std::vector<NodeLoad> loads;
  loads.reserve(cluster.ready.size());
  for (NodeRecord* node : cluster.ready) {
    const NodeKind kind = KindOf(settings_, node->entry);
    loads.push_back({node, kind, Load(*node, kind), ReportedLoad(*node, kind, cluster.now), Capacity(kind),
                     IsWarmingUp(settings_, node->entry, cluster.now)});
  }
  return loads;
}

ClusterLoad LoadModel::LoadOfAll(const std::vector<NodeLoad>& loads, const ClusterState& cluster) const {
  ClusterLoad total;
  double all_load = 0.0;
  double all_capacity = 0.0;
  std::vector<FillStep> steps;
  steps.reserve(loads.size());
  for (const NodeLoad& node : loads) {
    if (node.is_warming_up) continue;
    all_load += node.load;
    all_capacity += node.capacity;
    steps.push_back({node.load / node.capacity, node.capacity});
  }
  if (all_capacity > 0.0) total.mean_load = all_load / all_capacity;
  std::sort(steps.begin(), steps.end(), [](const FillStep& a, const FillStep& b) {
    return a.level != b.level ? a.level < b.level : a.capacity < b.capacity;
  });
  for (const FillStep& step : steps) total.capacity += step.capacity;
  const double others = (group_.size() - 1.0) / group_.size();  // own starts are known exactly
  const auto list_age = static_cast<double>(cluster.now - cluster.observed_at);
  const double unobserved = 2.0 * others * cluster.start_rate * list_age * weights_.mean();
  if (total.capacity > 0.0) {
    total.unobserved_tasks_by_capacity = unobserved / weights_.mean() / total.capacity;
  }
  total.fill_level = FillLevel(steps, unobserved);
  return total;
}

}  // namespace mountflow
