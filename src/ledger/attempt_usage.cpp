#include "ledger/attempt_usage.hpp"

#include <xxhash.h>

#include "storage/fields.hpp"

namespace mountflow::ledger {
namespace {

constexpr std::int64_t kMaxMillicores = 1'000'000'000;
constexpr std::int64_t kMaxMebibytes = 1'000'000'000'000;
constexpr Micros kMaxDuration = 100ull * 366 * 86'400 * 1'000'000;

tl::unexpected<LedgerError> Invalid(const char* field, const char* expected) {
  return MakeError(LedgerErrorCode::kInvalidArgument, field, expected);
}

}  // namespace

LedgerStatus Validate(const AttemptUsage& usage) {
  if (usage.attempt.empty() || usage.attempt.size() > kMaxTextBytes) return Invalid("attempt", "a name");
  for (const std::string* text : {&usage.tenant, &usage.task_class, &usage.kind}) {
    if (text->size() > kMaxTextBytes) return Invalid("tenant, class and kind", "at most 1024 bytes each");
  }
  if (usage.end < usage.start || usage.end - usage.start > kMaxDuration)
    return Invalid("end", "a time at or after the start, and within a hundred years");
  if (usage.millicores < 0 || usage.millicores > kMaxMillicores) return Invalid("cores", "0 to a million");
  if (usage.mebibytes < 0 || usage.mebibytes > kMaxMebibytes) return Invalid("memory", "0 to an exbibyte");
  return {};
}

std::uint64_t DigestOf(const AttemptUsage& usage) {
  std::string text;
  storage::FieldWriter write(&text);
  write("tenant", usage.tenant);
  write("task_class", usage.task_class);
  write("kind", usage.kind);
  write("start", usage.start);
  write("end", usage.end);
  write("millicores", usage.millicores);
  write("mebibytes", usage.mebibytes);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace mountflow::ledger
