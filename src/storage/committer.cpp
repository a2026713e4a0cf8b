#include "storage/committer.hpp"

#include <iterator>
#include <utility>

namespace mountflow::storage {

Committer::Committer(std::unique_ptr<Log> log, std::function<void()> notify, std::chrono::milliseconds again)
    : log_(std::move(log)), notify_(std::move(notify)), again_(again), thread_([this] { Run(); }) {}

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
  for (std::string& r : records) {
    status_.waiting_bytes += r.size();
    waiting_.push_back(std::move(r));
  }
  if (!records.empty()) {
    ++turn_;
    wake_.notify_all();
  }
  return turn_;
}

void Committer::Snapshot(std::string state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  snapshot_ = std::move(state);
  has_snapshot_ = status_.snapshot_waits = true;
  snapshot_after_ = waiting_.size();
  wake_.notify_all();
}

CommitStatus Committer::Status() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return status_;
}

void Committer::Run() {
  std::vector<std::string> batch;  // grows by what waits, until it is durable
  std::size_t batch_bytes = 0;
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    wake_.wait(lock, [&] { return stopping_ || !waiting_.empty() || !batch.empty() || has_snapshot_; });
    const bool last = stopping_;
    // A snapshot holds what came before it; what came after goes with the next commit.
    const std::size_t take = has_snapshot_ ? snapshot_after_ : waiting_.size();
    for (std::size_t i = 0; i < take; ++i) batch_bytes += waiting_[i].size();
    std::move(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(take),
              std::back_inserter(batch));
    waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(take));
    const bool all = waiting_.empty();
    const std::uint64_t turn = turn_;
    const bool snaps = std::exchange(has_snapshot_, false);
    const std::string state = std::exchange(snapshot_, {});
    lock.unlock();
    std::string error, snapshot_error;
    const bool good = log_->Commit(batch, &error);
    if (good && snaps && log_->last() > log_->snapshot_at())
      log_->Snapshot(log_->last(), state, &snapshot_error);
    lock.lock();
    if (good) {
      batch.clear();
      status_.waiting_bytes -= batch_bytes;
      batch_bytes = 0;
      if (all) status_.durable = turn;
    }
    if (snaps) {
      status_.snapshot_error = good ? snapshot_error : error;
      status_.snapshot_waits = has_snapshot_;  // another may have come meanwhile
    }
    status_.bytes_since_snapshot = log_->bytes_since_snapshot();
    status_.error = error;
    lock.unlock();
    notify_();
    lock.lock();
    if (last && (!good || waiting_.empty())) return;
    if (!good) wake_.wait_for(lock, again_, [this] { return stopping_; });
  }
}

}  // namespace mountflow::storage
