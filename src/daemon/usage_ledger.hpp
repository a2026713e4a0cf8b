// Posts the resource use of attempts to the ledger, and makes the ledger's records durable.
//
// The ledger has a log of its own. Its records go through the jobs' log first, in the commit that holds the
// end of the attempt; at a start those that the ledger's log lacks are taken from there. So neither the end
// of an attempt nor its posting can be lost alone.
#ifndef MOUNTFLOW_DAEMON_USAGE_LEDGER_HPP_
#define MOUNTFLOW_DAEMON_USAGE_LEDGER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/daemon_error.hpp"
#include "daemon/event_log.hpp"
#include "job_manager/job_manager.hpp"
#include "ledger/attempt_usage.hpp"
#include "ledger/billing_rules.hpp"
#include "ledger/book.hpp"
#include "ledger/outbox.hpp"
#include "storage/committer.hpp"
#include "storage/files.hpp"

namespace mountflow::daemon {

// Not thread-safe: used by the event loop's thread alone. Without Open nothing is posted. The pointers must
// outlive it.
class UsageLedger {
 public:
  // `memory_unit_bytes`: of the job manager's unit of memory.
  UsageLedger(ledger::BillingRules rules, double memory_unit_bytes,
              const job_manager::JobManager* job_manager, EventLog* log);

  // Replays the ledger's log; call before the jobs' log is replayed. `notify` is called from the committer's
  // thread. kStorage when the log is damaged or a record is not valid.
  [[nodiscard]] DaemonStatus Open(storage::Files* files, const std::string& directory,
                                  std::function<void()> notify);
  [[nodiscard]] bool is_open() const { return committer_ != nullptr; }
  // Commits what waits, once, and ends the committer's thread.
  void Close();

  // Whether a record of the jobs' log is one of the ledger's.
  [[nodiscard]] static bool IsLedgerRecord(std::string_view record);
  // Takes such a record at a start: applies it if the ledger's log lacks it. The error says what was
  // expected.
  [[nodiscard]] DaemonStatus Replay(std::string_view record);

  // Posts what an attempt used. A use that cannot be posted is logged.
  void Post(Micros now, const job_manager::ResourceUsage& usage);
  // The records posted since the last CommitPosted, in their form for the jobs' log.
  [[nodiscard]] std::vector<std::string> RecordsForJobsLog();
  // Hands the same records to the ledger's own log.
  void CommitPosted();
  [[nodiscard]] bool has_posted() const { return !posted_records_.empty(); }

  [[nodiscard]] storage::CommitStatus Status() const { return committer_->Status(); }
  // The ledger's log must have made this commit durable before a snapshot of the jobs may replace their log.
  [[nodiscard]] std::uint64_t last_commit() const { return last_commit_; }

  [[nodiscard]] const ledger::Book& book() const { return book_; }
  // Why a new job is rejected by its tenant's budget; empty: it is not.
  [[nodiscard]] std::string Rejection(Micros now, const job_manager::JobSpec& spec) const;

 private:
  [[nodiscard]] DaemonStatus Apply(std::string_view record);
  [[nodiscard]] ledger::AttemptUsage ToAttemptUsage(const job_manager::ResourceUsage& usage) const;

  const double memory_unit_bytes_;
  const job_manager::JobManager* job_manager_;
  EventLog* log_;
  ledger::Book book_;
  ledger::Outbox outbox_;
  std::unique_ptr<storage::Committer> committer_;  // null: not open
  std::uint64_t last_commit_ = 0;
  std::vector<std::string> posted_records_;  // not handed to the ledger's log yet
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_USAGE_LEDGER_HPP_
