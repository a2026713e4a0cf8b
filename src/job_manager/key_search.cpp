#include "job_manager/key_search.hpp"

#include <algorithm>

namespace mountflow::job_manager {

void KeySearch::BeginRound(Micros now, const std::vector<NodeId>& nodes) {
  queried_ = std::set<NodeId>(nodes.begin(), nodes.end());
  nodes_without_key_.clear();
  round_start_ = now;
}

void KeySearch::RemoveNodesIf(const std::function<bool(NodeId)>& has_left) {
  std::erase_if(queried_, has_left);
}

bool KeySearch::IsConclusive() const {
  if (queried_.empty() || round_start_ < horizon_) return false;
  return std::includes(nodes_without_key_.begin(), nodes_without_key_.end(), queried_.begin(),
                       queried_.end());
}

KeySearch& KeySearches::Start(std::uint64_t job, Micros horizon) {
  return searches_.insert_or_assign(job, KeySearch(horizon)).first->second;
}

KeySearch* KeySearches::Find(std::uint64_t job) {
  const auto it = searches_.find(job);
  return it == searches_.end() ? nullptr : &it->second;
}

}  // namespace mountflow::job_manager
