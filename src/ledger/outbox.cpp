#include "ledger/outbox.hpp"

#include "storage/fields.hpp"

namespace mountflow::ledger {

std::string Outbox::Encode(std::string_view record) {
  std::string bytes(1, kMark);
  storage::FieldWriter write(&bytes);
  write("sequence", ++last_sequence_);
  bytes += record;
  return bytes;
}

LedgerResult<Outbox::Entry> Outbox::Decode(std::string_view bytes) {
  storage::FieldReader read(bytes.substr(1));
  std::uint64_t sequence = 0;
  read("sequence", sequence);
  if (!read.ok())
    return MakeError(LedgerErrorCode::kMalformedRecord, "outbox entry", "the sequence of a ledger record");
  if (sequence > last_sequence_ + 1) {
    return MakeError(LedgerErrorCode::kOutOfSequence, "",
                     "ledger record " + std::to_string(last_sequence_ + 1), std::to_string(sequence));
  }
  Entry entry;
  entry.record = read.remaining();
  entry.missing = sequence > last_sequence_;
  if (entry.missing) last_sequence_ = sequence;
  return entry;
}

}  // namespace mountflow::ledger
