#include "job_manager/job_ids.hpp"

#include <charconv>
#include <utility>

namespace mountflow::job_manager {
namespace {

template <typename Number>
bool ParseNumber(std::string_view text, Number* number) {
  const auto read = std::from_chars(text.data(), text.data() + text.size(), *number);
  return read.ec == std::errc() && read.ptr == text.data() + text.size();
}

}  // namespace

JobIds::JobIds(std::string server) : server_(std::move(server)) {}

std::string JobIds::JobId(std::uint64_t job) const { return std::to_string(job) + "." + server_; }

std::uint64_t JobIds::ParseJobId(std::string_view id) const {
  const std::size_t dot = id.find('.');
  if (dot != std::string_view::npos && id.substr(dot + 1) != server_) return 0;
  std::uint64_t number = 0;
  return ParseNumber(id.substr(0, dot), &number) ? number : 0;
}

std::string JobIds::AttemptName(const AttemptId& attempt) const {
  return JobId(attempt.job) + "/" + std::to_string(attempt.number);
}

bool JobIds::ParseAttemptName(std::string_view name, AttemptId* id, std::string* server) {
  const std::size_t dot = name.find('.');
  const std::size_t slash = name.rfind('/');
  if (dot == std::string_view::npos || slash == std::string_view::npos || slash < dot) return false;
  if (!ParseNumber(name.substr(0, dot), &id->job)) return false;
  if (!ParseNumber(name.substr(slash + 1), &id->number)) return false;
  *server = name.substr(dot + 1, slash - dot - 1);
  return true;
}

}  // namespace mountflow::job_manager
