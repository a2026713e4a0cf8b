#include "job_manager/journal.hpp"

#include "storage/fields.hpp"

namespace mountflow::job_manager {
namespace {

constexpr std::uint8_t kVersion = 1;

using Reader = storage::FieldReader;
using Writer = storage::FieldWriter;

template <typename A, typename S>
void Fields(A& a, S& s, const JobSpec*) {
  a("name", s.name);
  a("user", s.user);
  a("queue", s.queue);
  a("account", s.account);
  a("service", s.service);
  a("key", s.key);
  a("task_class", s.task_class);
  a("tenant", s.tenant);
  a("cores", s.cores);
  a("memory", s.memory);
  a("walltime", s.walltime);
  a("due", s.due);
  a("owner_time", s.client_wait);
  a("owner_deadline", s.client_deadline);
  a("earlier_until", s.earlier_until);
  a("priority", s.priority);
  a("rerunnable", s.rerunnable);
  a("repeat", s.repeat);
  a("hold", s.hold);
  a("script", s.script);
  a.List("passed", s.passed, [&a](auto& pair) {
    a("passed name", pair.first);
    a("passed value", pair.second);
  });
}

template <typename A, typename S>
void Fields(A& a, S& s, const StateRecord*) {
  a.Enum("answer", s.answer, FinalAnswer::kDeleted);
  a("deleted", s.deleted);
  a("closing", s.closing);
  a("settling", s.settling);
  a("rerun", s.rerun);
  a("has_exit", s.has_exit);
  a("attempts_made", s.attempts_made);
  a.List("attempts", s.attempts, [&a](auto& one) {
    a("attempt", one.number);
    a.Enum("phase", one.phase, AttemptPhase::kEnded);
    a("told", one.told);
    a("stopping", one.stopping);
    a("attempt node", one.node);
    a("node_started", one.node_started);
    a("sent", one.sent);
    a("until", one.until);
  });
  a("created", s.created);
  a("queued", s.queued);
  a("changed", s.changed);
  a("ended", s.ended);
  a("placed", s.placed);
  a("give_up", s.give_up);
  a("exit_status", s.exit_status);
  a("node", s.node);
  a("comment", s.comment);
}

std::string Head(RecordKind kind, std::uint64_t job) {
  std::string record = {static_cast<char>(kind), static_cast<char>(kVersion)};
  Writer write{&record};
  write("job", job);
  return record;
}

}  // namespace

std::string WriteSpec(std::uint64_t job, const JobSpec& spec) {
  std::string record = Head(RecordKind::kSpec, job);
  Writer writer(&record);
  Fields(writer, spec, &spec);
  return record;
}

std::string WriteState(std::uint64_t job, const StateRecord& state) {
  std::string record = Head(RecordKind::kState, job);
  record.push_back(static_cast<char>(state.state));
  Writer writer(&record);
  Fields(writer, state, &state);
  return record;
}

std::string WriteForgotten(std::uint64_t job) { return Head(RecordKind::kForgotten, job); }

bool ReadRecord(std::string_view record, JournalRecord* kept, std::string* expected) {
  if (record.size() < 3 || record[0] < 1 || record[0] > 3) {
    *expected = "kind at byte 0: 1 to 3";
    return false;
  }
  if (static_cast<std::uint8_t>(record[1]) != kVersion) {
    *expected = "version at byte 1: " + std::to_string(kVersion);
    return false;
  }
  kept->kind = static_cast<RecordKind>(record[0]);
  // The number ends at the first byte without its highest bit.
  std::size_t end = 2;
  while (end < record.size() && (record[end] & 0x80) != 0) ++end;
  Reader number(record.substr(2, end - 1));
  number("job", kept->job);
  if (!number.ok()) {
    *expected = Describe(*number.error());
    return false;
  }
  std::string_view rest = record.substr(end + 1);
  if (kept->kind == RecordKind::kState) {
    constexpr std::string_view kStates = "QHWREC";
    if (rest.empty() || kStates.find(rest[0]) == std::string_view::npos) {
      *expected = "state: one of " + std::string(kStates);
      return false;
    }
    kept->state.state = static_cast<JobState>(rest[0]);
    rest.remove_prefix(1);
  }
  Reader reader(rest);
  if (kept->kind == RecordKind::kSpec) Fields(reader, kept->spec, &kept->spec);
  if (kept->kind == RecordKind::kState) Fields(reader, kept->state, &kept->state);
  const auto whole = reader.Finish();
  if (!whole) *expected = Describe(whole.error());
  return whole.has_value();
}

void JoinRecord(std::string_view record, std::string* to) {
  Writer write{to};
  write("size", std::uint64_t{record.size()});
  *to += record;
}

bool ForEachRecord(std::string_view joined, const std::function<bool(std::string_view)>& visit) {
  while (!joined.empty()) {
    std::size_t end = 0;
    while (end < joined.size() && (joined[end] & 0x80) != 0) ++end;
    Reader reader(joined.substr(0, end + 1));
    std::uint64_t size = 0;
    reader("size", size);
    if (!reader.ok() || size > joined.size() - end - 1) return false;
    if (!visit(joined.substr(end + 1, size))) return false;
    joined.remove_prefix(end + 1 + size);
  }
  return true;
}

}  // namespace mountflow::job_manager
