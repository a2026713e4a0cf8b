// A transactional outbox. Each record of the ledger is written to the ledger's log and also to another log,
// which commits it together with the event that caused it. The copy in the other log is an entry of the
// outbox. It contains the sequence that the record has in the ledger's log. After a restart the sequences
// show which records are missing from the ledger's log.
#ifndef MOUNTFLOW_LEDGER_OUTBOX_HPP_
#define MOUNTFLOW_LEDGER_OUTBOX_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "ledger/ledger_error.hpp"

namespace mountflow::ledger {

// Outbox encodes and decodes the entries and counts their sequences.
class Outbox {
 public:
  struct Entry {
    std::string record;
    bool missing = false;  // the ledger's log does not contain the record
  };

  // `last_sequence` is the newest sequence in the ledger's log.
  explicit Outbox(std::uint64_t last_sequence = 0) : last_sequence_(last_sequence) {}

  // Reports whether these bytes of the other log are an entry of the outbox.
  [[nodiscard]] static bool IsEntry(std::string_view bytes) { return !bytes.empty() && bytes[0] == kMark; }

  // Returns the entry for the next record of the ledger.
  [[nodiscard]] std::string Encode(std::string_view record);
  // Decodes an entry, for which IsEntry must be true. Entries must be decoded in the order of the other log.
  // A missing entry counts as the newest record from then on, because the caller must add it to the ledger's
  // log. Returns kMalformedRecord for invalid bytes, and kOutOfSequence when earlier entries are missing too.
  [[nodiscard]] LedgerResult<Entry> Decode(std::string_view bytes);

 private:
  static constexpr char kMark = 'L';
  std::uint64_t last_sequence_;
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_OUTBOX_HPP_
