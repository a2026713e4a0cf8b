// Durable state of the daemon: the log of the jobs and, with billing, the log of the ledger.
//
// Open() replays both logs into the job manager and the ledger. Afterwards the records of each turn are
// committed by background threads, and the replies of a turn may be sent once NextDurableTurn() returns its
// number. Snapshots of the jobs limit the size of their log. New jobs are rejected while commits fail or lag
// behind (see storage/commit_gate.hpp).
#ifndef MOUNTFLOW_DAEMON_DURABLE_STATE_HPP_
#define MOUNTFLOW_DAEMON_DURABLE_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "daemon/commit_signal.hpp"
#include "daemon/daemon_error.hpp"
#include "daemon/event_log.hpp"
#include "daemon/usage_ledger.hpp"
#include "event_loop/event_loop.hpp"
#include "job_manager/job_manager.hpp"
#include "storage/commit_gate.hpp"
#include "storage/committer.hpp"
#include "storage/files.hpp"

namespace mountflow::daemon {

// Opens, writes and closes the state directory. Not thread-safe: may be used by the event loop's thread only.
// All pointers must outlive this object.
class DurableState {
 public:
  DurableState(const config::DaemonConfig& config, event_loop::EventLoop* loop,
               job_manager::JobManager* job_manager, EventLog* log);
  ~DurableState();
  DurableState(const DurableState&) = delete;
  DurableState& operator=(const DurableState&) = delete;

  // Opens the configured state directory and replays its logs. Returns kStorage if another process has locked
  // the directory, if it cannot be read, or if a record is damaged or contradicts the configuration. May be
  // called at most once; if it is not called, all state is in memory only.
  [[nodiscard]] DaemonStatus Open();
  [[nodiscard]] bool is_open() const { return jobs_committer_ != nullptr; }
  // Commits the pending records, with a single try, and stops the committers' threads.
  void Close();

  // ---- While open ----

  // Passes the records of the current turn to the committer. `reply_bytes` is the size of the turn's HTTP
  // replies in bytes, or nullopt if the turn has no reply or message to hold. Returns the turn number under
  // which to hold the replies, or nullopt if there is nothing to hold.
  [[nodiscard]] std::optional<std::uint64_t> CommitTurn(std::optional<std::size_t> reply_bytes);
  // Returns the number of the oldest durable turn that has not been returned yet; nullopt if there is none.
  [[nodiscard]] std::optional<std::uint64_t> NextDurableTurn();
  // Reads the committers' status, logs their failures, and tells the job manager whether to reject new jobs.
  void UpdateStatus();
  void WriteSnapshotIfDue(Micros now);

  // ---- At any time ----

  [[nodiscard]] bool HasHeldTurns() const { return !gate_.Empty(); }
  // Reports whether the held replies exceed their limit in bytes. Further replies are then replaced at once
  // by an error with the text Rejection().
  [[nodiscard]] bool IsFull() const { return gate_.Full(); }
  [[nodiscard]] std::string Rejection() const { return gate_.RejectionReason(); }
  [[nodiscard]] UsageLedger& ledger() { return ledger_; }

 private:
  [[nodiscard]] DaemonStatus ReplayJobs(storage::Log* jobs_log);

  const std::string directory_;
  const bool billing_;
  event_loop::EventLoop* loop_;
  job_manager::JobManager* job_manager_;
  EventLog* log_;
  storage::CommitGate gate_;
  std::optional<CommitSignal> signal_;  // set by Open()
  std::unique_ptr<storage::PosixFiles> files_;
  UsageLedger ledger_;
  std::unique_ptr<storage::Committer> jobs_committer_;  // null if not open
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_DURABLE_STATE_HPP_
