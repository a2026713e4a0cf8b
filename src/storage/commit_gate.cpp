#include "storage/commit_gate.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::storage {
namespace {

constexpr std::size_t kMaxWarnings = 64;  // further warnings are dropped until TakeWarnings() is called

}  // namespace

std::uint64_t CommitGate::Hold(std::uint64_t batch, std::size_t bytes) {
  held_.push_back({batch, ++last_number_, bytes});
  held_bytes_ += bytes;
  return last_number_;
}

std::optional<std::uint64_t> CommitGate::ReleaseNext() {
  if (held_.empty() || held_.front().batch > first_.durable_batch) return std::nullopt;
  const HeldOutput output = held_.front();
  held_.pop_front();
  held_bytes_ -= output.bytes;
  return output.number;
}

void CommitGate::UpdateStatus(const CommitStatus& first, const CommitStatus* second,
                              std::uint64_t second_batch) {
  std::string error;
  if (first.error) {
    error = Describe(*first.error);
  } else if (second != nullptr && second->error) {
    error = Describe(*second->error);
  }
  if (error != error_) AddWarning(error.empty() ? "commits succeed again" : error);
  if (first.snapshot_error && first.snapshot_error != first_.snapshot_error)
    AddWarning("the snapshot failed, and the log keeps growing: " + Describe(*first.snapshot_error));
  error_ = error;
  waiting_bytes_ = std::max(first.waiting_bytes, second != nullptr ? second->waiting_bytes : 0);
  second_durable_ = second == nullptr || second->durable_batch >= second_batch;
  first_ = first;
}

std::string CommitGate::RejectionReason() const {
  if (!error_.empty()) return "jobs cannot be kept now: " + error_;
  if (waiting_bytes_ > options_.max_waiting_bytes || Full()) return "the disk does not keep up";
  return "";
}

bool CommitGate::SnapshotDue(Micros now) {
  if (first_.bytes_since_snapshot <= options_.snapshot_after_bytes) return false;
  if (first_.snapshot_pending || !second_durable_) return false;
  const bool retried_too_soon =
      snapshot_due_at_ != 0 && now < snapshot_due_at_ + options_.snapshot_retry_interval;
  if (retried_too_soon) return false;
  snapshot_due_at_ = now;
  return true;
}

std::vector<std::string> CommitGate::TakeWarnings() { return std::exchange(warnings_, {}); }

void CommitGate::AddWarning(const std::string& text) {
  if (warnings_.size() < kMaxWarnings) warnings_.push_back(text);
}

}  // namespace mountflow::storage
