// Posts the resource usage of attempts to the ledger and makes the ledger's records durable.
//
// The ledger has its own log. Its records are first written to the log of the jobs, in the same commit that
// records the end of the attempt. At startup, records that are missing in the ledger's log are copied from
// the log of the jobs. Thus the end of an attempt and its posting are either both stored or both lost.
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

// Posts usage and stores the postings. Nothing is posted before Open() has been called. Not thread-safe: may
// be used by the event loop's thread only. All pointers must outlive this object.
class UsageLedger {
 public:
  // `memory_unit_bytes` is the size of the job manager's unit of memory.
  UsageLedger(ledger::BillingRules rules, double memory_unit_bytes,
              const job_manager::JobManager* job_manager, EventLog* log);

  // Replays the ledger's log. Must be called before the log of the jobs is replayed. `notify` is called from
  // the committer's thread. Returns kStorage if the log is damaged or contains an invalid record.
  [[nodiscard]] DaemonStatus Open(storage::Files* files, const std::string& directory,
                                  std::function<void()> notify);
  [[nodiscard]] bool is_open() const { return committer_ != nullptr; }
  // Commits the pending records, with a single try, and stops the committer's thread.
  void Close();

  // Reports whether a record of the jobs' log belongs to the ledger.
  [[nodiscard]] static bool IsLedgerRecord(std::string_view record);
  // Replays a ledger record of the jobs' log at startup: applies it if the ledger's log does not contain it.
  // The error's detail states what was expected.
  [[nodiscard]] DaemonStatus Replay(std::string_view record);

  // Posts the resource usage of an attempt. Usage that cannot be posted is logged.
  void Post(Micros now, const job_manager::ResourceUsage& usage);
  // Returns the records posted since the last CommitPosted(), encoded for the jobs' log.
  [[nodiscard]] std::vector<std::string> RecordsForJobsLog();
  // Passes the same records, in their own encoding, to the committer of the ledger's log.
  void CommitPosted();
  [[nodiscard]] bool has_posted() const { return !posted_records_.empty(); }

  [[nodiscard]] storage::CommitStatus Status() const { return committer_->Status(); }
  // Returns the number of the last commit to the ledger's log. A snapshot of the jobs may replace their log
  // only after this commit is durable.
  [[nodiscard]] std::uint64_t last_commit() const { return last_commit_; }

  [[nodiscard]] const ledger::Book& book() const { return book_; }
  // Returns the reason why the budget of the job's tenant rejects a new job; empty if it does not.
  [[nodiscard]] std::string Rejection(Micros now, const job_manager::JobSpec& spec) const;

 private:
  [[nodiscard]] DaemonStatus Apply(std::string_view record);
  [[nodiscard]] ledger::AttemptUsage ToAttemptUsage(const job_manager::ResourceUsage& usage) const;

  const double memory_unit_bytes_;
  const job_manager::JobManager* job_manager_;
  EventLog* log_;
  ledger::Book book_;
  ledger::Outbox outbox_;
  std::unique_ptr<storage::Committer> committer_;  // null if not open
  std::uint64_t last_commit_ = 0;
  std::vector<std::string> posted_records_;  // not yet passed to the committer of the ledger's log
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_USAGE_LEDGER_HPP_
