#include "daemon/usage_ledger.hpp"

#include <cmath>
#include <optional>
#include <utility>

namespace mountflow::daemon {
namespace {

constexpr char kLogName[] = "ledger";
constexpr double kMillicoresPerCore = 1000.0;
constexpr double kBytesPerMebibyte = 1048576.0;

tl::unexpected<DaemonError> StorageFailure(const std::string& place, const std::string& detail) {
  return tl::unexpected(DaemonError{DaemonErrorCode::kStorage, place, detail});
}

// Returns the name with this number; empty if the configuration has none.
std::string NameAt(const std::vector<std::string>& names, unsigned number) {
  return number < names.size() ? names[number] : "";
}

}  // namespace

UsageLedger::UsageLedger(ledger::BillingRules rules, double memory_unit_bytes,
                         const job_manager::JobManager* job_manager, EventLog* log)
    : memory_unit_bytes_(memory_unit_bytes), job_manager_(job_manager), log_(log), book_(std::move(rules)) {}

DaemonStatus UsageLedger::Open(storage::Files* files, const std::string& directory,
                               std::function<void()> notify) {
  storage::LogOptions options;
  options.name = kLogName;
  auto ledger_log = std::make_unique<storage::Log>(files, options);
  std::optional<DaemonError> invalid_record;
  storage::Replay replay;
  replay.record = [&](std::uint64_t sequence, std::string_view record) {
    if (invalid_record) return;
    const DaemonStatus applied = Apply(record);
    if (applied) return;
    invalid_record = applied.error();
    invalid_record->place = directory;
    invalid_record->detail =
        "ledger record " + std::to_string(sequence) + ": expected " + invalid_record->detail;
  };
  std::vector<storage::RecoveryNotice> notices;
  const storage::StorageStatus opened = ledger_log->Open(replay, &notices);
  for (const storage::RecoveryNotice& notice : notices)
    log_->Write(logging::LogEvent::kStorageRecovery, Describe(notice));
  if (!opened) return StorageFailure("", Describe(opened.error()));
  if (invalid_record) return tl::unexpected(*invalid_record);
  outbox_ = ledger::Outbox(ledger_log->last_sequence());
  committer_ = std::make_unique<storage::Committer>(std::move(ledger_log), std::move(notify));
  return {};
}

void UsageLedger::Close() { committer_.reset(); }

bool UsageLedger::IsLedgerRecord(std::string_view record) { return ledger::Outbox::IsEntry(record); }

DaemonStatus UsageLedger::Replay(std::string_view record) {
  if (!is_open()) return {};  // billing has been disabled since the record was written
  const ledger::LedgerResult<ledger::Outbox::Entry> entry = outbox_.Decode(record);
  if (!entry) {
    return StorageFailure("", "an outbox entry that follows (" + Describe(entry.error()) + ")");
  }
  if (!entry->missing) return {};
  posted_records_.push_back(entry->record);
  return Apply(entry->record);
}

DaemonStatus UsageLedger::Apply(std::string_view record) {
  const ledger::LedgerStatus applied = ledger::DecodeRecord(record).and_then(
      [this](ledger::Record decoded) { return book_.Apply(std::move(decoded)); });
  if (applied) return {};
  return StorageFailure("", "a ledger record that follows (" + Describe(applied.error()) + ")");
}

ledger::AttemptUsage UsageLedger::ToAttemptUsage(const job_manager::ResourceUsage& usage) const {
  const job_manager::JobManagerOptions& options = job_manager_->options();
  const job_manager::ListedNode* node = job_manager_->FindNode(usage.node);
  ledger::AttemptUsage attempt;
  attempt.attempt = job_manager_->AttemptName(usage.attempt);
  attempt.tenant = NameAt(options.tenants, usage.tenant);
  attempt.task_class = NameAt(options.classes, usage.task_class);
  attempt.kind = node != nullptr ? node->kind : "";
  attempt.start = usage.started;
  attempt.end = usage.ended;
  attempt.millicores = std::llround(usage.cores * kMillicoresPerCore);
  attempt.mebibytes = std::llround(usage.memory * memory_unit_bytes_ / kBytesPerMebibyte);
  return attempt;
}

void UsageLedger::Post(Micros now, const job_manager::ResourceUsage& usage) {
  if (!is_open()) return;
  const ledger::LedgerResult<ledger::Book::Records> records = book_.Post(now, ToAttemptUsage(usage));
  if (!records) {
    const bool is_duplicate = records.error().code == ledger::LedgerErrorCode::kDuplicate;
    if (!is_duplicate) log_->Write(logging::LogEvent::kUsageNotCounted, Describe(records.error()));
    return;
  }
  for (const ledger::Record& record : *records) {
    const ledger::LedgerStatus applied = book_.Apply(record);
    if (!applied) log_->Write(logging::LogEvent::kUsageNotApplied, Describe(applied.error()));
    posted_records_.push_back(ledger::EncodeRecord(record));
  }
}

std::vector<std::string> UsageLedger::RecordsForJobsLog() {
  std::vector<std::string> records;
  for (const std::string& record : posted_records_) records.push_back(outbox_.Encode(record));
  return records;
}

void UsageLedger::CommitPosted() { last_commit_ = committer_->Add(std::exchange(posted_records_, {})); }

std::string UsageLedger::Rejection(Micros now, const job_manager::JobSpec& spec) const {
  return book_.RejectionReason(NameAt(job_manager_->options().tenants, spec.tenant), now);
}

}  // namespace mountflow::daemon
