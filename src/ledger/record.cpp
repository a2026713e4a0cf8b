#include "ledger/record.hpp"

#include <utility>

#include "storage/fields.hpp"

namespace mountflow::ledger {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderSize = 2;  // one byte for the kind and one for the version

// Passes the stored fields of a posting, in their stored order, to a FieldWriter or a FieldReader.
template <typename Archive, typename Value>
void PostingFields(Archive& archive, Value& posting) {
  archive("sequence", posting.sequence);
  archive("attempt", posting.attempt);
  archive("tenant", posting.tenant);
  archive("task_class", posting.task_class);
  archive("kind", posting.kind);
  archive("from", posting.from);
  archive("to", posting.to);
  archive("millicore_us", posting.millicore_us);
  archive("mebibyte_us", posting.mebibyte_us);
  archive("core_hour_price", posting.core_hour_price);
  archive("gib_hour_price", posting.gib_hour_price);
  archive("period", posting.period);
  archive("refers_to_period", posting.refers_to_period);
  archive("corrects_sequence", posting.corrects_sequence);
  archive("author", posting.author);
  archive("reason", posting.reason);
  archive("posted_at", posting.posted_at);
}

// Passes the stored fields of a record, except for its header, to a FieldWriter or a FieldReader.
template <typename Archive, typename Value>
void RecordFields(Archive& archive, Value& record) {
  if (record.kind == RecordKind::kPosting) {
    PostingFields(archive, record.posting);
    archive("ends_event", record.ends_event);
    archive("event_digest", record.event_digest);
  } else {
    archive("period", record.period);
    archive("at", record.at);
  }
}

bool IsRecordOfThisVersion(std::string_view bytes) {
  if (bytes.size() < kHeaderSize || static_cast<std::uint8_t>(bytes[1]) != kVersion) return false;
  const auto kind = static_cast<std::uint8_t>(bytes[0]);
  return kind >= static_cast<std::uint8_t>(RecordKind::kPosting) &&
         kind <= static_cast<std::uint8_t>(RecordKind::kReopen);
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  std::string bytes = {static_cast<char>(record.kind), static_cast<char>(kVersion)};
  storage::FieldWriter writer(&bytes);
  RecordFields(writer, record);
  return bytes;
}

LedgerResult<Record> DecodeRecord(std::string_view bytes) {
  if (!IsRecordOfThisVersion(bytes))
    return MakeError(LedgerErrorCode::kMalformedRecord, "", "a record of the ledger, version 1");
  Record record;
  record.kind = static_cast<RecordKind>(bytes[0]);
  storage::FieldReader reader(bytes.substr(kHeaderSize));
  RecordFields(reader, record);
  if (const auto whole = reader.Finish(); !whole) {
    const storage::FieldError& error = whole.error();
    return MakeError(LedgerErrorCode::kMalformedRecord,
                     error.field + " at byte " + std::to_string(error.offset), error.expected);
  }
  return record;
}

}  // namespace mountflow::ledger
