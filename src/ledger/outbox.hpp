// A transactional outbox: the ledger's records on their way through another log, which commits them together
// with the event that they follow from. They carry the sequences that the ledger's log will give them, so
// that a restart finds out which of them that log lacks.
#ifndef MOUNTFLOW_LEDGER_OUTBOX_HPP_
#define MOUNTFLOW_LEDGER_OUTBOX_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "ledger/ledger_error.hpp"

namespace mountflow::ledger {

class Outbox {
 public:
  struct Entry {
    std::string record;
    bool missing = false;  // the ledger's log does not have it
  };

  // `last_sequence`: the newest that the ledger's log has.
  explicit Outbox(std::uint64_t last_sequence = 0) : last_sequence_(last_sequence) {}

  // Whether these bytes of the other log are an entry of the outbox.
  [[nodiscard]] static bool IsEntry(std::string_view bytes) { return !bytes.empty() && bytes[0] == kMark; }

  // The entry for the ledger's next record.
  [[nodiscard]] std::string Encode(std::string_view record);
  // Reads entries, for which IsEntry holds, in the order of the other log. An entry that is missing becomes
  // the newest. kMalformedRecord, or kOutOfSequence when entries before it are missing too.
  [[nodiscard]] LedgerResult<Entry> Decode(std::string_view bytes);

 private:
  static constexpr char kMark = 'L';
  std::uint64_t last_sequence_;
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_OUTBOX_HPP_
