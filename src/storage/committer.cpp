#include "storage/committer.hpp"

#include <iterator>
#include <utility>

namespace mountflow::storage {

Committer::Committer(std::unique_ptr<Log> log, std::function<void()> notify,
                     std::chrono::milliseconds retry_interval)
    : log_(std::move(log)),
      notify_(std::move(notify)),
      retry_interval_(retry_interval),
      thread_([this] { Run(); }) {}

Committer::~Committer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

std::uint64_t Committer::Add(std::vector<std::string> records) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::string& record : records) {
    status_.waiting_bytes += record.size();
    waiting_.push_back(std::move(record));
  }
  if (!records.empty()) {
    ++last_batch_;
    wake_.notify_all();
  }
  return last_batch_;
}

void Committer::Snapshot(std::string state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(state);
  status_.snapshot_pending = true;
  records_before_snapshot_ = waiting_.size();
  wake_.notify_all();
}

CommitStatus Committer::Status() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return status_;
}

void Committer::Run() {
  Group group;  // grows until its commit succeeds
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    wake_.wait(lock, [&] { return stopping_ || !waiting_.empty() || !group.records.empty() || snapshot_; });
    const bool stopping = stopping_;
    CollectGroup(&group);
    lock.unlock();
    const GroupResult result = WriteGroup(group);
    lock.lock();
    UpdateStatus(result, &group);
    lock.unlock();
    notify_();
    lock.lock();
    if (stopping && (result.commit_error || waiting_.empty())) return;
    if (result.commit_error) wake_.wait_for(lock, retry_interval_, [this] { return stopping_; });
  }
}

void Committer::CollectGroup(Group* group) {
  // A pending snapshot contains only the records that were added before it, so later records are left for the
  // next commit.
  const std::size_t count = snapshot_ ? records_before_snapshot_ : waiting_.size();
  const auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto it = waiting_.begin(); it != end; ++it) group->bytes += it->size();
  std::move(waiting_.begin(), end, std::back_inserter(group->records));
  waiting_.erase(waiting_.begin(), end);
  group->last_batch = last_batch_;
  group->complete = waiting_.empty();
  group->snapshot = std::exchange(snapshot_, std::nullopt);
}

Committer::GroupResult Committer::WriteGroup(const Group& group) {
  GroupResult result;
  if (const StorageStatus committed = log_->Commit(group.records); !committed) {
    result.commit_error = committed.error();
    result.snapshot_error = committed.error();
    return result;
  }
  // If no record was committed since the last snapshot, the log already has a snapshot of this state.
  if (!group.snapshot || log_->last_sequence() <= log_->snapshot_sequence()) return result;
  const StorageStatus written = log_->WriteSnapshot(log_->last_sequence(), *group.snapshot);
  if (!written) result.snapshot_error = written.error();
  return result;
}

void Committer::UpdateStatus(const GroupResult& result, Group* group) {
  if (!result.commit_error) {
    group->records.clear();
    status_.waiting_bytes -= group->bytes;
    group->bytes = 0;
    if (group->complete) status_.durable_batch = group->last_batch;
  }
  if (group->snapshot) {
    status_.snapshot_error = result.snapshot_error;
    status_.snapshot_pending = snapshot_.has_value();  // one may have been requested during the write
    group->snapshot.reset();
  }
  status_.bytes_since_snapshot = log_->bytes_since_snapshot();
  status_.error = result.commit_error;
}

}  // namespace mountflow::storage
