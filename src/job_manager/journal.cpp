#include "job_manager/journal.hpp"

#include <utility>

#include "storage/fields.hpp"

namespace mountflow::job_manager {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kNumberOffset = 2;  // the job number follows the kind and the version
constexpr std::size_t kMinRecordSize = 3;
constexpr unsigned char kContinuationBit = 0x80;  // set in each byte of a number except the last
constexpr std::string_view kStateLetters = "QHWREC";

using Reader = storage::FieldReader;
using Writer = storage::FieldWriter;

// Visits the fields in the order in which they are stored; both the writer and the reader use this function.
// The field names are used only in errors.
template <typename Archive, typename Spec>
void VisitSpec(Archive& archive, Spec& spec) {
  archive("name", spec.name);
  archive("user", spec.user);
  archive("queue", spec.queue);
  archive("account", spec.account);
  archive("service", spec.service);
  archive("key", spec.key);
  archive("task_class", spec.task_class);
  archive("tenant", spec.tenant);
  archive("cores", spec.cores);
  archive("memory", spec.memory);
  archive("walltime", spec.walltime);
  archive("due", spec.due);
  archive("owner_time", spec.client_wait);
  archive("owner_deadline", spec.client_deadline);
  archive("earlier_until", spec.earlier_until);
  archive("priority", spec.priority);
  archive("rerunnable", spec.rerunnable);
  archive("repeat", spec.repeat);
  archive("hold", spec.hold);
  archive("script", spec.script);
  archive.List("passed", spec.forwarded_attributes, [&archive](auto& pair) {
    archive("passed name", pair.first);
    archive("passed value", pair.second);
  });
}

template <typename Archive, typename State>
void VisitState(Archive& archive, State& state) {
  archive.Enum("answer", state.answer, FinalAnswer::kDeleted);
  archive("deleted", state.deleted);
  archive("closing", state.closing);
  archive("settling", state.awaiting_attempts);
  archive("rerun", state.rerun);
  archive("has_exit", state.has_exit);
  archive("attempts_made", state.attempts_made);
  archive.List("attempts", state.attempts, [&archive](auto& attempt) {
    archive("attempt", attempt.number);
    archive.Enum("phase", attempt.phase, AttemptPhase::kEnded);
    archive("told", attempt.outcome_reported);
    archive("stopping", attempt.stopping);
    archive("attempt node", attempt.node);
    archive("node_started", attempt.node_started);
    archive("sent", attempt.sent);
    archive("until", attempt.deadline);
  });
  archive("created", state.created);
  archive("queued", state.queued);
  archive("changed", state.changed);
  archive("ended", state.ended);
  archive("placed", state.placed);
  archive("give_up", state.deadline);
  archive("exit_status", state.exit_status);
  archive("node", state.node);
  archive("comment", state.comment);
}

std::string Header(RecordKind kind, std::uint64_t job) {
  std::string record = {static_cast<char>(kind), static_cast<char>(kVersion)};
  Writer writer{&record};
  writer("job", job);
  return record;
}

// Returns the size in bytes of the variable-length number at the start of `text`. If the text ends within the
// number, the result is larger than the text.
std::size_t NumberSize(std::string_view text) {
  std::size_t last = 0;
  while (last < text.size() && (static_cast<unsigned char>(text[last]) & kContinuationBit) != 0) ++last;
  return last + 1;
}

tl::unexpected<JournalError> UnknownValue(JournalErrorCode code, std::string_view record,
                                          std::size_t offset) {
  JournalError error;
  error.code = code;
  error.size = record.size();
  if (record.size() >= kMinRecordSize && offset < record.size())
    error.found = static_cast<unsigned char>(record[offset]);
  return tl::unexpected(std::move(error));
}

tl::unexpected<JournalError> BadField(std::string_view record, std::string detail) {
  JournalError error;
  error.code = JournalErrorCode::kBadField;
  error.size = record.size();
  error.detail = std::move(detail);
  return tl::unexpected(std::move(error));
}

std::string DescribeFound(const JournalError& error) {
  return error.found < 0 ? "a record of " + std::to_string(error.size) + " bytes"
                         : std::to_string(error.found);
}

}  // namespace

std::string Describe(const JournalError& error) {
  const std::string configured = "' to be configured until the job is complete";
  switch (error.code) {
    case JournalErrorCode::kUnknownKind:
      return "kind at byte 0: 1 to 3, not " + DescribeFound(error);
    case JournalErrorCode::kUnknownVersion:
      return "version at byte 1: " + std::to_string(kVersion) + ", not " + DescribeFound(error);
    case JournalErrorCode::kUnknownState:
      return "state: one of " + std::string(kStateLetters) + ", not the byte " + DescribeFound(error);
    case JournalErrorCode::kBadField:
      return error.detail + " (in a record of " + std::to_string(error.size) + " bytes)";
    case JournalErrorCode::kUnknownQueue:
      return "job " + error.job_id + ": expected queue '" + error.detail + configured;
    case JournalErrorCode::kUnknownAccount:
      return "job " + error.job_id + ": expected account '" + error.detail + configured;
  }
  return "a record";
}

std::string WriteSpec(std::uint64_t job, const JobSpec& spec) {
  std::string record = Header(RecordKind::kSpec, job);
  Writer writer(&record);
  VisitSpec(writer, spec);
  return record;
}

std::string WriteState(std::uint64_t job, const StateRecord& state) {
  std::string record = Header(RecordKind::kState, job);
  record.push_back(static_cast<char>(state.state));
  Writer writer(&record);
  VisitState(writer, state);
  return record;
}

std::string WriteForgotten(std::uint64_t job) { return Header(RecordKind::kForgotten, job); }

tl::expected<JournalRecord, JournalError> ReadRecord(std::string_view record) {
  if (record.size() < kMinRecordSize || record[0] < 1 || record[0] > 3) {
    return UnknownValue(JournalErrorCode::kUnknownKind, record, 0);
  }
  if (static_cast<std::uint8_t>(record[1]) != kVersion) {
    return UnknownValue(JournalErrorCode::kUnknownVersion, record, 1);
  }
  JournalRecord read;
  read.kind = static_cast<RecordKind>(record[0]);
  const std::size_t number_size = NumberSize(record.substr(kNumberOffset));
  Reader number(record.substr(kNumberOffset, number_size));
  number("job", read.job);
  if (!number.ok()) return BadField(record, Describe(*number.error()));
  std::string_view rest = record.substr(kNumberOffset + number_size);
  if (read.kind == RecordKind::kState) {
    const std::size_t state_at = record.size() - rest.size();
    if (rest.empty() || kStateLetters.find(rest[0]) == std::string_view::npos) {
      return UnknownValue(JournalErrorCode::kUnknownState, record, state_at);
    }
    read.state.state = static_cast<JobState>(rest[0]);
    rest.remove_prefix(1);
  }
  Reader reader(rest);
  if (read.kind == RecordKind::kSpec) VisitSpec(reader, read.spec);
  if (read.kind == RecordKind::kState) VisitState(reader, read.state);
  if (const auto whole = reader.Finish(); !whole) return BadField(record, Describe(whole.error()));
  return read;
}

void JoinRecord(std::string_view record, std::string* to) {
  Writer writer{to};
  writer("size", std::uint64_t{record.size()});
  *to += record;
}

bool ForEachRecord(std::string_view joined, const std::function<bool(std::string_view)>& visit) {
  while (!joined.empty()) {
    const std::size_t number_size = NumberSize(joined);
    Reader reader(joined.substr(0, number_size));
    std::uint64_t size = 0;
    reader("size", size);
    if (!reader.ok() || size > joined.size() - number_size) return false;
    if (!visit(joined.substr(number_size, size))) return false;
    joined.remove_prefix(number_size + size);
  }
  return true;
}

}  // namespace mountflow::job_manager
