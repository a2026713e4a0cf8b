// The ledger of what was used: decisions and state, free of I/O and clock.
//
// What a node reports of an attempt (start, end, cores and memory requested) becomes postings, one for each
// period and each price that it spans. A posting debits its tenant and credits the fleet's account of its
// class and kind of node, in exact units: millicore-microseconds and mebibyte-microseconds. Money is computed
// from sums only, with one rounding for each line of a statement, so nothing drifts.
//
// - The same event twice counts once, by the attempt's name. The same name with other figures is a conflict:
//   it is reported and not counted, and an operator corrects.
// - A closed period is never written to. What comes late goes to the open period, with a reference to its
//   own. Where the rules say so, it reopens its own period within `reopen_within` of the close.
// - A correction is a posting that names what it corrects, its author and a reason, and counts in the open
//   period. A restated statement moves what refers to a period into it.
// - Periods follow from the events' own times: a clock that is set back changes none, and reopens nothing.
//
// State changes only by Apply, with records that the caller made durable before. The same records in the same
// order make the same book.
//
// Bounds: at `max_postings` RejectionReason rejects new jobs; what runs by then is still counted, so that the
// bound is exceeded by at most the jobs that were accepted. Names of attempts are remembered for
// `max_attempts`; beyond that the ones that ended first are forgotten, and events that end before the newest
// of those are too old.
#ifndef MOUNTFLOW_LEDGER_BOOK_HPP_
#define MOUNTFLOW_LEDGER_BOOK_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ledger/amount.hpp"
#include "ledger/attempt_usage.hpp"
#include "ledger/billing_period.hpp"
#include "ledger/billing_rules.hpp"
#include "ledger/ledger_error.hpp"
#include "ledger/posted_attempts.hpp"
#include "ledger/record.hpp"
#include "ledger/statement.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

// A change of a posting's amounts.
struct Correction {
  std::uint64_t sequence = 0;  // of the posting
  Amount millicore_us = 0;     // added to it; negative to take away
  Amount mebibyte_us = 0;
  std::string author;
  std::string reason;
};

// Not thread-safe.
class Book {
 public:
  using Records = std::vector<Record>;

  explicit Book(BillingRules rules) : rules_(std::move(rules)), posted_attempts_(rules_.max_attempts) {}

  // ---- Decisions: the records to make durable and then to apply. They change nothing. ----

  // kInvalidArgument, kDuplicate, kConflict or kTooOld.
  [[nodiscard]] LedgerResult<Records> Post(Micros now, const AttemptUsage& usage) const;
  // kInvalidArgument.
  [[nodiscard]] LedgerResult<Records> Correct(Micros now, const Correction& correction) const;
  // Closes this period or, without a name, the oldest open one with postings. kInvalidArgument when there is
  // none, or when its end and grace have not passed.
  [[nodiscard]] LedgerResult<Records> Close(Micros now, const std::string& period = "") const;

  // ---- State ----

  // kOutOfSequence, or kPeriodClosed for a posting that would write to a closed period.
  [[nodiscard]] LedgerStatus Apply(Record record);

  // ---- Reading ----

  // Null when there is none. Valid until the next Apply.
  [[nodiscard]] const Posting* Find(std::uint64_t sequence) const;
  // Of the newest posting; 0 when there is none.
  [[nodiscard]] std::uint64_t last_sequence() const { return last_sequence_; }
  [[nodiscard]] bool IsClosed(const std::string& period) const { return closed_at_.count(period) > 0; }
  // Names of all periods with postings, by time.
  [[nodiscard]] std::vector<std::string> Periods() const;
  [[nodiscard]] std::vector<StatementLine> Statement(const std::string& period, StatementKind kind) const {
    return MakeStatement(postings_, period, kind);
  }
  [[nodiscard]] std::map<std::string, UsageTotals> TrialBalance() const {
    return MakeTrialBalance(postings_);
  }
  // Why a new job of this tenant is rejected, as text for the client; empty when it is accepted.
  [[nodiscard]] std::string RejectionReason(const std::string& tenant, Micros now) const;
  // What is left of a tenant's budget in the period of `now`, in millicore-microseconds; nullopt without a
  // budget.
  [[nodiscard]] std::optional<Amount> RemainingBudget(const std::string& tenant, Micros now) const;

 private:
  Period PeriodAt(Micros at) const;
  Period NextPeriod(const Period& period) const;
  // The first open period at or after this moment. With the clock set back, "now" may lie in a closed one.
  Period FirstOpenPeriod(Micros from) const;
  bool MayReopen(const std::string& period, Micros now) const;
  // The name of the period in which work done in `own` counts now. Adds the record that reopens it, where
  // needed.
  std::string CountingPeriod(Micros now, const Period& own, Records* records) const;
  LedgerStatus CheckNotPosted(const AttemptUsage& usage) const;
  // The posting, without sequence, for the part of the usage from `from` to the end of the period or of the
  // price.
  Posting PostingFrom(Micros now, const AttemptUsage& usage, Micros from, Records* records) const;
  // The name of the oldest open period with postings, or of `period` if it is one; empty when there is none.
  std::string FindOpenPeriod(const std::string& period) const;
  // When the period with this name ends; for one with late postings only, when the last of them was made.
  Micros EndOfPeriod(const std::string& name) const;
  LedgerStatus ApplyPosting(Record record);

  const BillingRules rules_;
  std::uint64_t last_sequence_ = 0;
  std::vector<Posting> postings_;  // by sequence - 1
  std::vector<Posting> pending_;   // of an event that is not complete yet
  PostedAttempts posted_attempts_;
  std::map<std::string, Micros> closed_at_;                            // by period
  std::map<std::string, std::map<std::string, Amount>> millicore_us_;  // by period and tenant
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BOOK_HPP_
