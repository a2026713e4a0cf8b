#include "storage/gate.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::storage {
namespace {

constexpr std::size_t kMostComplaints = 64;

}  // namespace

std::uint64_t Gate::Hold(std::uint64_t turn, std::size_t bytes) {
  held_.push_back({turn, ++number_, bytes});
  held_bytes_ += bytes;
  return number_;
}

std::optional<std::uint64_t> Gate::Next() {
  if (held_.empty() || held_.front().turn > jobs_.durable) return std::nullopt;
  const Held held = held_.front();
  held_.pop_front();
  held_bytes_ -= held.bytes;
  return held.number;
}

void Gate::Saw(const CommitStatus& jobs, const CommitStatus* other, std::uint64_t needs) {
  const auto tell = [this](const std::string& text) {
    if (complaints_.size() < kMostComplaints) complaints_.push_back(text);
  };
  const std::string& error = jobs.error.empty() && other != nullptr ? other->error : jobs.error;
  if (error != error_) tell(error.empty() ? "commits succeed again" : error);
  if (!jobs.snapshot_error.empty() && jobs.snapshot_error != jobs_.snapshot_error)
    tell("no snapshot, the log grows on: " + jobs.snapshot_error);
  error_ = error;
  waiting_ = std::max(jobs.waiting_bytes, other != nullptr ? other->waiting_bytes : 0);
  other_has_all_ = other == nullptr || other->durable >= needs;
  jobs_ = jobs;
}

std::string Gate::Refusal() const {
  if (!error_.empty()) return "jobs cannot be kept now: " + error_;
  return waiting_ > options_.most_waiting || Full() ? "the disk does not keep up" : "";
}

bool Gate::SnapshotDue(Micros now) {
  if (jobs_.bytes_since_snapshot <= options_.snapshot_after || jobs_.snapshot_waits || !other_has_all_)
    return false;
  if (snapshot_at_ != 0 && now < snapshot_at_ + options_.snapshot_again) return false;
  snapshot_at_ = now;
  return true;
}

std::vector<std::string> Gate::TakeComplaints() { return std::exchange(complaints_, {}); }

}  // namespace mountflow::storage
