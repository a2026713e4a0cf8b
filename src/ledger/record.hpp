// The records of the ledger's log and their encoding.
#ifndef MOUNTFLOW_LEDGER_RECORD_HPP_
#define MOUNTFLOW_LEDGER_RECORD_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "ledger/amount.hpp"
#include "ledger/ledger_error.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

// Debits a tenant and credits the account of a class and a kind of node, for work within one period at one
// price.
struct Posting {
  std::uint64_t sequence = 0;  // from 1, without gaps
  std::string attempt;
  std::string tenant;
  std::string task_class;
  std::string kind;  // of node
  Micros from = 0;
  Micros to = 0;
  Amount millicore_us = 0;           // may be negative in a correction
  Amount mebibyte_us = 0;            // likewise
  std::int64_t core_hour_price = 0;  // micro-units of money
  std::int64_t gib_hour_price = 0;
  std::string period;                   // the one that it counts in
  std::string refers_to_period;         // late or corrected: the one that it is about; else empty
  std::uint64_t corrects_sequence = 0;  // a correction: of the corrected posting; else 0
  std::string author;                   // of a correction
  std::string reason;                   // of a correction
  Micros posted_at = 0;

  // The period that the work was done in.
  const std::string& work_period() const { return refers_to_period.empty() ? period : refers_to_period; }
};

enum class RecordKind : std::uint8_t { kPosting = 1, kClose = 2, kReopen = 3 };

struct Record {
  RecordKind kind = RecordKind::kPosting;
  Posting posting;                 // kPosting
  std::string period;              // kClose, kReopen
  Micros at = 0;                   // kClose, kReopen
  bool ends_event = true;          // kPosting: the last one of its event; they count together or not at all
  std::uint64_t event_digest = 0;  // kPosting with ends_event: DigestOf the event
};

[[nodiscard]] std::string EncodeRecord(const Record& record);
// kMalformedRecord with the field and its place.
[[nodiscard]] LedgerResult<Record> DecodeRecord(std::string_view bytes);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_RECORD_HPP_
