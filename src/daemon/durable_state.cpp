#include "daemon/durable_state.hpp"

#include <iterator>
#include <string_view>
#include <utility>
#include <vector>

#include "job_manager/journal.hpp"
#include "storage/log.hpp"

namespace mountflow::daemon {
namespace {

constexpr char kLogName[] = "jobs";

storage::CommitGateOptions GateOptionsOf(const config::DaemonConfig& config) {
  storage::CommitGateOptions options;
  options.snapshot_after_bytes = config.storage.snapshot_after_bytes;
  return options;
}

DaemonError StorageFailure(const std::string& place, const std::string& detail) {
  return {DaemonErrorCode::kStorage, place, detail};
}

// Passes the records of the jobs' log to the job manager and the ledger, until a record is invalid.
class JobsReplay {
 public:
  JobsReplay(job_manager::JobManager* job_manager, UsageLedger* ledger)
      : job_manager_(job_manager), ledger_(ledger) {}

  void ApplySnapshot(std::uint64_t sequence, std::string_view state) {
    const bool whole =
        job_manager::ForEachRecord(state, [this](std::string_view record) { return ApplyRecord(record); });
    if (!whole && expected_.empty()) expected_ = "whole records";
    if (!expected_.empty()) SetPlace("snapshot at " + std::to_string(sequence));
  }

  void ApplyLogRecord(std::uint64_t sequence, std::string_view record) {
    if (!expected_.empty()) return;
    if (!ApplyRecord(record)) SetPlace("record " + std::to_string(sequence));
  }

  // Returns the location of the invalid record and what was expected there; empty if all records were valid.
  [[nodiscard]] const std::string& failure() const { return expected_; }

 private:
  bool ApplyRecord(std::string_view record) {
    if (UsageLedger::IsLedgerRecord(record)) {
      const DaemonStatus applied = ledger_->Replay(record);
      if (!applied) expected_ = applied.error().detail;
      return applied.has_value();
    }
    const auto restored = job_manager_->Restore(record);
    if (!restored) expected_ = Describe(restored.error());
    return restored.has_value();
  }

  void SetPlace(const std::string& place) { expected_ = place + ": expected " + expected_; }

  job_manager::JobManager* job_manager_;
  UsageLedger* ledger_;
  std::string expected_;
};

}  // namespace

DurableState::DurableState(const config::DaemonConfig& config, event_loop::EventLoop* loop,
                           job_manager::JobManager* job_manager, EventLog* log)
    : directory_(config.storage.folder),
      billing_(config.billing.enabled),
      loop_(loop),
      job_manager_(job_manager),
      log_(log),
      gate_(GateOptionsOf(config)),
      ledger_(config.billing.rules, config.pbs_server.vocabulary.memory_unit, job_manager, log) {}

DurableState::~DurableState() { Close(); }

DaemonStatus DurableState::Open() {
  auto files = storage::PosixFiles::Open(directory_);
  if (!files) return tl::unexpected(StorageFailure("", Describe(files.error())));
  files_ = std::move(*files);
  signal_.emplace();
  const auto notify = [this] { signal_->Notify(); };
  if (billing_) {
    DaemonStatus opened = ledger_.Open(files_.get(), directory_, notify);
    if (!opened) return opened;
  }
  storage::LogOptions options;
  options.name = kLogName;
  auto jobs_log = std::make_unique<storage::Log>(files_.get(), options);
  DaemonStatus replayed = ReplayJobs(jobs_log.get());
  if (!replayed) return replayed;
  if (ledger_.is_open()) ledger_.CommitPosted();
  signal_->WatchFrom(loop_);
  jobs_committer_ = std::make_unique<storage::Committer>(std::move(jobs_log), notify);
  return {};
}

DaemonStatus DurableState::ReplayJobs(storage::Log* jobs_log) {
  JobsReplay jobs(job_manager_, &ledger_);
  storage::Replay replay;
  replay.snapshot = [&](std::uint64_t sequence, std::string_view state) {
    jobs.ApplySnapshot(sequence, state);
  };
  replay.record = [&](std::uint64_t sequence, std::string_view record) {
    jobs.ApplyLogRecord(sequence, record);
  };
  std::vector<storage::RecoveryNotice> notices;
  const storage::StorageStatus opened = jobs_log->Open(replay, &notices);
  for (const storage::RecoveryNotice& notice : notices)
    log_->Write(logging::LogEvent::kStorageRecovery, Describe(notice));
  if (!opened) return tl::unexpected(StorageFailure("", Describe(opened.error())));
  if (!jobs.failure().empty()) return tl::unexpected(StorageFailure(directory_, jobs.failure()));
  const auto restored = job_manager_->FinishRestore(loop_->Now());
  if (!restored) return tl::unexpected(StorageFailure(directory_, Describe(restored.error())));
  return {};
}

void DurableState::Close() {
  jobs_committer_.reset();
  ledger_.Close();
}

std::optional<std::uint64_t> DurableState::CommitTurn(std::optional<std::size_t> reply_bytes) {
  std::vector<std::string> records = job_manager_->TakeJournal();
  std::vector<std::string> ledger_records = ledger_.RecordsForJobsLog();
  records.insert(records.end(), std::make_move_iterator(ledger_records.begin()),
                 std::make_move_iterator(ledger_records.end()));
  if (records.empty() && !reply_bytes) return std::nullopt;
  const std::uint64_t commit = jobs_committer_->Add(std::move(records));
  if (ledger_.has_posted()) ledger_.CommitPosted();
  if (!reply_bytes) return std::nullopt;
  return gate_.Hold(commit, *reply_bytes);
}

std::optional<std::uint64_t> DurableState::NextDurableTurn() { return gate_.ReleaseNext(); }

void DurableState::UpdateStatus() {
  const storage::CommitStatus jobs = jobs_committer_->Status();
  if (ledger_.is_open()) {
    const storage::CommitStatus ledger = ledger_.Status();
    gate_.UpdateStatus(jobs, &ledger, ledger_.last_commit());
  } else {
    gate_.UpdateStatus(jobs, nullptr, 0);
  }
  log_->WriteEach(logging::LogEvent::kStorageCommit, gate_.TakeWarnings());
  job_manager_->RejectNewJobs(gate_.RejectionReason());
}

void DurableState::WriteSnapshotIfDue(Micros now) {
  if (gate_.SnapshotDue(now)) jobs_committer_->Snapshot(job_manager_->Snapshot());
}

}  // namespace mountflow::daemon
