#include "job_manager/job_journal.hpp"

#include "job_manager/journal.hpp"

namespace mountflow::job_manager {
namespace {

std::string StateOf(const Job& job, const NodeTable& nodes) {
  StateRecord record;
  static_cast<JobStatus&>(record) = job;
  for (const Attempt& attempt : job.attempts) {
    record.attempts.push_back({attempt.number, attempt.phase, attempt.outcome_reported, attempt.stopping,
                               nodes.NameOf(attempt.node), attempt.node_started, attempt.sent,
                               attempt.deadline});
  }
  return WriteState(job.number, record);
}

}  // namespace

void JobJournal::MarkSpecChanged(std::uint64_t job) {
  if (durable_) changed_specs_.insert(job);
}

void JobJournal::MarkStateChanged(std::uint64_t job) {
  if (durable_) changed_states_.insert(job);
}

void JobJournal::MarkForgotten(std::uint64_t job) {
  if (!durable_) return;
  changed_states_.erase(job);
  changed_specs_.erase(job);
  forgotten_.insert(job);
}

std::vector<std::string> JobJournal::TakeRecords(const JobTable& jobs, const NodeTable& nodes) {
  std::vector<std::string> records;
  for (const std::uint64_t number : changed_specs_) {
    if (const Job* job = jobs.Find(number)) records.push_back(WriteSpec(number, *job->spec));
  }
  for (const std::uint64_t number : changed_states_) {
    if (const Job* job = jobs.Find(number)) records.push_back(StateOf(*job, nodes));
  }
  for (const std::uint64_t number : forgotten_) records.push_back(WriteForgotten(number));
  changed_specs_.clear();
  changed_states_.clear();
  forgotten_.clear();
  return records;
}

std::string JobJournal::Snapshot(const JobTable& jobs, const NodeTable& nodes) {
  std::string snapshot;
  for (const auto& [number, job] : jobs.jobs()) {
    JoinRecord(WriteSpec(number, *job.spec), &snapshot);
    JoinRecord(StateOf(job, nodes), &snapshot);
  }
  return snapshot;
}

}  // namespace mountflow::job_manager
