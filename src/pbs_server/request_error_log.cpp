#include "pbs_server/request_error_log.hpp"

#include <utility>

namespace mountflow::pbs_server {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr const char* kOtherKinds = "of other kinds";

}  // namespace

void RequestErrorLog::FinishSecond(Micros now) {
  if (second_ends_at_ == 0 || now < second_ends_at_) return;
  for (const auto& [kind, error] : errors_by_kind_) {
    if (error.count == 0) continue;
    const char* at_least = error.peers.size() >= kMaxPeers ? " or more" : "";
    lines_.push_back(std::to_string(error.count) + " more within a second, from " +
                     std::to_string(error.peers.size()) + at_least + " peers: " + kind);
  }
  errors_by_kind_.clear();
  second_ends_at_ = 0;
}

void RequestErrorLog::Add(Micros now, const std::string& kind, const std::string& peer,
                          const std::string& text) {
  FinishSecond(now);
  ++total_;
  if (second_ends_at_ == 0) second_ends_at_ = now + kSecond;
  const bool too_many_kinds = errors_by_kind_.size() >= kMaxKinds && errors_by_kind_.count(kind) == 0;
  const auto [entry, is_new] = errors_by_kind_.try_emplace(too_many_kinds ? kOtherKinds : kind);
  if (is_new && !too_many_kinds) {
    lines_.push_back("from " + peer + ": " + text);
    return;
  }
  RepeatedError& error = entry->second;
  ++error.count;
  if (error.peers.size() < kMaxPeers) error.peers.insert(peer);
}

std::vector<std::string> RequestErrorLog::Take(Micros now) {
  FinishSecond(now);
  return std::exchange(lines_, {});
}

Micros RequestErrorLog::NextTimer() const { return second_ends_at_ == 0 ? ~Micros{0} : second_ends_at_; }

}  // namespace mountflow::pbs_server
