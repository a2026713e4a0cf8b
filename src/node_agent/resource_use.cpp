#include "node_agent/resource_use.hpp"

#include <algorithm>
#include <limits>

namespace mountflow::node_agent {
namespace {

// A task uses the mean of its node times a random factor between the minimum and the minimum plus the range.
constexpr double kMinCoreVariation = 0.75, kCoreVariationRange = 0.5;
constexpr double kMinMemoryVariation = 0.85, kMemoryVariationRange = 0.3;
constexpr double kMemoryShareAtStart = 0.5;

}  // namespace

ResourceUseSampler::ResourceUseSampler(const NodeConfig& config)
    : core_use_(config.core_use),
      memory_use_(config.memory_use),
      memory_overuse_share_(config.memory_overuse_share),
      memory_overuse_factor_(config.memory_overuse_factor),
      state_(config.seed) {}

// SplitMix64 (Steele, Lea, Flood 2014).
double ResourceUseSampler::DrawUniform() {
  state_ += 0x9e3779b97f4a7c15u;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
  return static_cast<double>((mixed ^ (mixed >> 31)) >> 11) * 0x1.0p-53;
}

ResourceUse ResourceUseSampler::Draw(const TaskSpec& spec) {
  ResourceUse use;
  use.cores =
      spec.cores * std::min(1.0, core_use_ * (kMinCoreVariation + kCoreVariationRange * DrawUniform()));
  use.memory = spec.memory * memory_use_ * (kMinMemoryVariation + kMemoryVariationRange * DrawUniform());
  if (DrawUniform() < memory_overuse_share_) use.memory *= memory_overuse_factor_;
  return use;
}

double MemoryInUse(double full_use, Micros age, Micros growth_time) {
  const double grown =
      growth_time == 0 ? 1.0 : std::min(1.0, static_cast<double>(age) / static_cast<double>(growth_time));
  return full_use * (kMemoryShareAtStart + (1.0 - kMemoryShareAtStart) * grown);
}

const std::string* SelectEvicted(const std::vector<EvictionCandidate>& tasks, double memory) {
  double used = 0.0;
  double max_overuse = 0.0;
  int lowest_priority = std::numeric_limits<int>::max();
  const std::string* evicted = nullptr;
  for (const EvictionCandidate& task : tasks) {
    used += task.used_memory;
    const double overuse = task.used_memory - task.requested_memory;
    if (task.priority < lowest_priority || (task.priority == lowest_priority && overuse > max_overuse)) {
      lowest_priority = task.priority;
      max_overuse = overuse;
      evicted = task.attempt;
    }
  }
  return used <= memory ? nullptr : evicted;
}

}  // namespace mountflow::node_agent
