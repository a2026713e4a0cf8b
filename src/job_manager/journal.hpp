// What is kept of jobs on disk, as records: the specification, the state, and
// that a job is forgotten. Each record replaces the earlier one of its kind for
// that job, so a replay may begin anywhere and repeat.
//
// Numbers are little-endian or of variable length (7 bits a byte); a record begins
// with its kind and version.
#ifndef MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

struct AttemptRecord {
  std::uint32_t number = 0;
  AttemptPhase phase = AttemptPhase::kPreparing;
  bool told = false, stopping = false;
  std::string node;  // by name: numbers of nodes are of this program
  Micros node_started = 0, sent = 0, until = 0;
};

struct StateRecord {
  JobState state = JobState::kQueued;
  FinalAnswer answer = FinalAnswer::kNone;
  bool deleted = false, closing = false, settling = false, rerun = false, has_exit = false;
  std::uint32_t attempts_made = 0;
  std::vector<AttemptRecord> attempts;
  Micros created = 0, queued = 0, changed = 0, ended = 0, placed = 0, give_up = 0;
  int exit_status = 0;
  std::string node, comment;
};

enum class RecordKind : std::uint8_t { kSpec = 1, kState = 2, kForgotten = 3 };
struct JournalRecord {
  RecordKind kind = RecordKind::kForgotten;
  std::uint64_t job = 0;
  JobSpec spec;       // kSpec
  StateRecord state;  // kState
};

std::string WriteSpec(std::uint64_t job, const JobSpec& spec);
std::string WriteState(std::uint64_t job, const StateRecord& state);
std::string WriteForgotten(std::uint64_t job);
// False with what was expected, and where.
bool ReadRecord(std::string_view record, JournalRecord* kept, std::string* expected);

// Records joined to one text and taken apart again: a snapshot.
void JoinRecord(std::string_view record, std::string* to);
bool ForEachRecord(std::string_view joined, const std::function<bool(std::string_view)>& visit);

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_
