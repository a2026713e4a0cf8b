// The records in the ledger's log and their encoding.
#ifndef MOUNTFLOW_LEDGER_RECORD_HPP_
#define MOUNTFLOW_LEDGER_RECORD_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "ledger/amount.hpp"
#include "ledger/ledger_error.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

// A posting debits the account of a tenant and credits the account of a task class and a kind of node, for
// work within one period at one price.
struct Posting {
  std::uint64_t sequence = 0;  // counts from 1, without gaps
  std::string attempt;
  std::string tenant;
  std::string task_class;
  std::string kind;                     // kind of the node
  Micros from = 0;                      // start of the work, wall-clock time
  Micros to = 0;                        // end of the work, exclusive
  Amount millicore_us = 0;              // millicore-microseconds; may be negative in a correction
  Amount mebibyte_us = 0;               // mebibyte-microseconds; may be negative in a correction
  std::int64_t core_hour_price = 0;     // micro-units of money
  std::int64_t gib_hour_price = 0;      // micro-units of money
  std::string period;                   // name of the period in which the posting counts
  std::string refers_to_period;         // name of the period of the work if that is another one; else empty
  std::uint64_t corrects_sequence = 0;  // correction: sequence of the corrected posting; else 0
  std::string author;                   // correction: its author; else empty
  std::string reason;                   // correction: its reason; else empty
  Micros posted_at = 0;

  // Returns the name of the period in which the work was done.
  const std::string& work_period() const { return refers_to_period.empty() ? period : refers_to_period; }
};

enum class RecordKind : std::uint8_t { kPosting = 1, kClose = 2, kReopen = 3 };

// A record in the ledger's log.
struct Record {
  RecordKind kind = RecordKind::kPosting;
  Posting posting;                 // kPosting
  std::string period;              // kClose, kReopen: name of the period
  Micros at = 0;                   // kClose, kReopen: time of the change
  bool ends_event = true;          // kPosting: last posting of its event; no posting counts without the last
  std::uint64_t event_digest = 0;  // kPosting with ends_event: DigestOf() the event's usage
};

[[nodiscard]] std::string EncodeRecord(const Record& record);
// Returns the decoded record, or kMalformedRecord with the invalid field and its byte offset.
[[nodiscard]] LedgerResult<Record> DecodeRecord(std::string_view bytes);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_RECORD_HPP_
