#include "job_manager/key_search.hpp"

#include <algorithm>

namespace mountflow::job_manager {

void KeySearch::BeginRound(Micros now, const std::vector<NodeId>& nodes) {
  asked_ = std::set<NodeId>(nodes.begin(), nodes.end());
  answered_.clear();
  round_began_ = now;
}

void KeySearch::RemoveNodesIf(const std::function<bool(NodeId)>& gone) { std::erase_if(asked_, gone); }

bool KeySearch::IsConclusive() const {
  if (asked_.empty() || round_began_ < horizon_) return false;
  return std::includes(answered_.begin(), answered_.end(), asked_.begin(), asked_.end());
}

KeySearch& KeySearches::Start(std::uint64_t job, Micros horizon) {
  return searches_.insert_or_assign(job, KeySearch(horizon)).first->second;
}

KeySearch* KeySearches::Find(std::uint64_t job) {
  const auto it = searches_.find(job);
  return it == searches_.end() ? nullptr : &it->second;
}

}  // namespace mountflow::job_manager
