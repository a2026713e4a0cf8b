#include "job_manager/key_index.hpp"

namespace mountflow::job_manager {

std::string QualifiedKey(const std::string& user, const std::string& key) {
  std::string qualified = user;
  qualified.push_back('\0');
  qualified += key;
  return qualified;
}

void KeyIndex::Add(std::uint64_t job, const JobSpec& spec) {
  if (!spec.key.empty()) jobs_[QualifiedKey(spec.user, spec.key)] = job;
}

void KeyIndex::Remove(std::uint64_t job, const JobSpec& spec) {
  const auto it = jobs_.find(QualifiedKey(spec.user, spec.key));
  if (it != jobs_.end() && it->second == job) jobs_.erase(it);
}

std::uint64_t KeyIndex::Find(const std::string& user, const std::string& key) const {
  if (key.empty()) return 0;
  const auto it = jobs_.find(QualifiedKey(user, key));
  return it == jobs_.end() ? 0 : it->second;
}

}  // namespace mountflow::job_manager
