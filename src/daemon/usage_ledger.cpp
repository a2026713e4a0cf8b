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

// The name with this number; empty when the configuration has none.
std::string NameAt(const std::vector<std::string>& names, unsigned number) {
  return number < names.size() ? names[number] : "";
}

}  // namespace

UsageLedger::UsageLedger(ledger::Rules rules, double memory_unit_bytes,
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
  for (const storage::RecoveryNotice& notice : notices) log_->Warn("storage", Describe(notice));
  if (!opened) return StorageFailure("", Describe(opened.error()));
  if (invalid_record) return tl::unexpected(*invalid_record);
  outbox_ = ledger::Outbox(ledger_log->last_sequence());
  committer_ = std::make_unique<storage::Committer>(std::move(ledger_log), std::move(notify));
  return {};
}

void UsageLedger::Close() { committer_.reset(); }

bool UsageLedger::IsLedgerRecord(std::string_view record) { return ledger::Outbox::Is(record); }

DaemonStatus UsageLedger::Replay(std::string_view record) {
  if (!is_open()) return {};  // billing was switched off since
  std::string ledger_record;
  std::string expected;
  bool is_missing = false;
  if (!outbox_.Take(record, &ledger_record, &is_missing, &expected)) return StorageFailure("", expected);
  if (!is_missing) return {};
  posted_records_.push_back(ledger_record);
  return Apply(ledger_record);
}

DaemonStatus UsageLedger::Apply(std::string_view record) {
  ledger::Record decoded;
  std::string expected;
  if (!ledger::Read(record, &decoded, &expected)) return StorageFailure("", expected);
  if (!book_.Apply(std::move(decoded), &expected)) return StorageFailure("", expected);
  return {};
}

ledger::Use UsageLedger::ToLedgerUse(const job_manager::ResourceUsage& usage) const {
  const job_manager::JobManagerOptions& options = job_manager_->options();
  const job_manager::ListedNode* node = job_manager_->FindNode(usage.node);
  ledger::Use use;
  use.attempt = job_manager_->AttemptName(usage.attempt);
  use.tenant = NameAt(options.tenants, usage.tenant);
  use.task_class = NameAt(options.classes, usage.task_class);
  use.kind = node != nullptr ? node->kind : "";
  use.start = usage.started;
  use.end = usage.ended;
  use.millicores = std::llround(usage.cores * kMillicoresPerCore);
  use.mebibytes = std::llround(usage.memory * memory_unit_bytes_ / kBytesPerMebibyte);
  return use;
}

void UsageLedger::Post(Micros now, const job_manager::ResourceUsage& usage) {
  if (!is_open()) return;
  const ledger::Decision decision = book_.Post(now, ToLedgerUse(usage));
  if (decision.verdict == ledger::Verdict::kTwice) return;
  if (decision.verdict != ledger::Verdict::kPosted) {
    log_->Warn("ledger", "not counted: " + decision.reason);
    return;
  }
  for (const ledger::Record& record : decision.records) {
    std::string expected;  // a record that the book itself made is valid
    book_.Apply(record, &expected);
    posted_records_.push_back(ledger::Write(record));
  }
}

std::vector<std::string> UsageLedger::RecordsForJobsLog() {
  std::vector<std::string> records;
  for (const std::string& record : posted_records_) records.push_back(outbox_.Put(record));
  return records;
}

void UsageLedger::CommitPosted() { last_commit_ = committer_->Add(std::exchange(posted_records_, {})); }

std::string UsageLedger::Rejection(Micros now, const job_manager::JobSpec& spec) const {
  return book_.Refusal(NameAt(job_manager_->options().tenants, spec.tenant), now);
}

}  // namespace mountflow::daemon
