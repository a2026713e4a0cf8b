// The stored form of jobs: records of a job's specification, of its state, and that it was forgotten. Each
// record replaces the earlier one of its kind for that job, so that a replay may begin anywhere and repeat.
//
// Numbers are little-endian or of variable length (7 bits a byte); a record begins with its kind and version.
// Free functions without state; safe on any thread.
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

struct AttemptRecord {
  std::uint32_t number = 0;
  AttemptPhase phase = AttemptPhase::kPreparing;
  bool outcome_reported = false;
  bool stopping = false;
  std::string node;  // by name: node ids are computed by this program
  Micros node_started = 0;
  Micros sent = 0;
  Micros deadline = 0;
};

struct StateRecord : JobStatus {
  std::vector<AttemptRecord> attempts;
};

enum class RecordKind : std::uint8_t { kSpec = 1, kState = 2, kForgotten = 3 };

struct JournalRecord {
  RecordKind kind = RecordKind::kForgotten;
  std::uint64_t job = 0;
  JobSpec spec;       // kSpec
  StateRecord state;  // kState
};

enum class JournalErrorCode : std::uint8_t {
  kUnknownKind,     // `found` is the kind
  kUnknownVersion,  // `found` is the version
  kUnknownState,    // `found` is the letter
  kBadField,        // `detail` names the field, its offset and what was expected
  kUnknownQueue,    // `detail` is the queue that a live job names and the configuration lacks
  kUnknownAccount   // the same of an account
};

// Why a record, or the configuration for the restored jobs, is not accepted.
struct JournalError {
  JournalErrorCode code = JournalErrorCode::kBadField;
  std::size_t size = 0;  // of the record, in bytes
  int found = -1;        // -1: the record is too short to have one
  std::string job_id;    // kUnknownQueue, kUnknownAccount
  std::string detail;
};

// One sentence that says what was expected, what came, and where.
std::string Describe(const JournalError& error);

std::string WriteSpec(std::uint64_t job, const JobSpec& spec);
std::string WriteState(std::uint64_t job, const StateRecord& state);
std::string WriteForgotten(std::uint64_t job);
[[nodiscard]] tl::expected<JournalRecord, JournalError> ReadRecord(std::string_view record);

// Appends a record to a snapshot: records joined to one text.
void JoinRecord(std::string_view record, std::string* to);
// Visits each record of a snapshot. False if the text is cut within a record, or when `visit` returned false.
[[nodiscard]] bool ForEachRecord(std::string_view joined, const std::function<bool(std::string_view)>& visit);

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOURNAL_HPP_
