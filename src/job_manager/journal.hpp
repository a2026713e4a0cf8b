// The stored format of jobs. There are three kinds of record: the specification of a job, its state, and the
// fact that it was forgotten. A record replaces the earlier one of the same kind and job, so that a replay
// may start at any record and may repeat records.
//
// A record begins with its kind and its version. Numbers are little-endian, or of variable length with 7 bits
// in each byte. The functions have no state and are safe to call on any thread.
#ifndef MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "job_manager/job.hpp"

namespace mountflow::job_manager {

// The stored fields of an Attempt.
struct AttemptRecord {
  std::uint32_t number = 0;
  AttemptPhase phase = AttemptPhase::kPreparing;
  bool outcome_reported = false;
  bool stopping = false;
  std::string node;  // name of the node; node ids are hashes that this program computes
  Micros node_started = 0;
  Micros sent = 0;
  Micros deadline = 0;
};

// The stored state of a job.
struct StateRecord : JobStatus {
  std::vector<AttemptRecord> attempts;
};

// The values are stored.
enum class RecordKind : std::uint8_t { kSpec = 1, kState = 2, kForgotten = 3 };

// A decoded record.
struct JournalRecord {
  RecordKind kind = RecordKind::kForgotten;
  std::uint64_t job = 0;
  JobSpec spec;       // valid for kSpec
  StateRecord state;  // valid for kState
};

enum class JournalErrorCode : std::uint8_t {
  kUnknownKind,     // `found` is the kind
  kUnknownVersion,  // `found` is the version
  kUnknownState,    // `found` is the letter
  kBadField,        // `detail` names the field, its offset and what was expected
  kUnknownQueue,    // `detail` is the queue of a live job that is not configured
  kUnknownAccount   // `detail` is the account of a live job that is not configured
};

// Describes why a record was rejected, or why the configuration does not fit the restored jobs.
struct JournalError {
  JournalErrorCode code = JournalErrorCode::kBadField;
  std::size_t size = 0;  // size of the record in bytes
  int found = -1;        // the unexpected byte; -1: the record is too short to have it
  std::string job_id;    // for kUnknownQueue and kUnknownAccount
  std::string detail;
};

// Returns one sentence with the expected value, the actual one and its position.
std::string Describe(const JournalError& error);

std::string WriteSpec(std::uint64_t job, const JobSpec& spec);
std::string WriteState(std::uint64_t job, const StateRecord& state);
std::string WriteForgotten(std::uint64_t job);
// Decodes a record that one of the functions above wrote.
[[nodiscard]] tl::expected<JournalRecord, JournalError> ReadRecord(std::string_view record);

// Appends a record to a snapshot. A snapshot is one text of several records, each with its size in front.
void JoinRecord(std::string_view record, std::string* to);
// Calls `visit` for each record of a snapshot, in order. Stops and returns false if the text ends within a
// record, or if `visit` returns false.
[[nodiscard]] bool ForEachRecord(std::string_view joined, const std::function<bool(std::string_view)>& visit);

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_
