// The usage ledger: its state and the decisions on how usage is posted. It performs no I/O and reads no
// clock.
//
// A node reports the usage of an attempt (start, end, requested cores and memory) as one event. The event
// becomes postings, one for each period and each price that it spans. A posting debits the account of the
// tenant and credits the account of the task class and the kind of node. Both use exact units:
// millicore-microseconds and mebibyte-microseconds. Money is computed only from sums, with one rounding for
// each line of a statement, so rounding errors do not accumulate.
//
// - An event that is reported twice counts once; the name of the attempt identifies it. An event with the
//   same name and different usage is a conflict: it is reported and does not count, and an operator must post
//   a correction.
// - Nothing is posted to a closed period. A late event is posted to the open period, with a reference to the
//   period in which the work was done. If the rules allow it, a late event reopens that period instead,
//   within `reopen_within` after the close.
// - A correction is a posting that names the corrected posting, an author and a reason. It counts in the open
//   period. A restated statement moves postings that refer to another period into that period.
// - The period of work follows from the times in the event, not from the current time. A clock that is set
//   back therefore changes no period and reopens none.
//
// Only Apply changes the state, with records that the caller has made durable before. Applying the same
// records in the same order produces the same state.
//
// Limits: from `max_postings` on, RejectionReason rejects new jobs. Jobs that were accepted before are still
// posted, so the limit is exceeded by at most their postings. The names of `max_attempts` attempts are
// remembered. Beyond that the attempts that ended first are forgotten, and an event of an unknown attempt is
// rejected as too old unless it ends after every forgotten one.
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

// A change of the amounts of a posting.
struct Correction {
  std::uint64_t sequence = 0;  // sequence of the corrected posting
  Amount millicore_us = 0;     // amount to add; negative to subtract
  Amount mebibyte_us = 0;      // amount to add; negative to subtract
  std::string author;
  std::string reason;
};

// Book is the usage ledger: it decides which records to post and holds the state that they produce. Not
// thread-safe.
class Book {
 public:
  using Records = std::vector<Record>;

  explicit Book(BillingRules rules) : rules_(std::move(rules)), posted_attempts_(rules_.max_attempts) {}

  // ---- Decisions. They return records, which the caller makes durable and then applies. They do not change
  // the book. ----

  // Returns the records that post this usage. Errors: kInvalidArgument, kDuplicate, kConflict, kTooOld.
  [[nodiscard]] LedgerResult<Records> Post(Micros now, const AttemptUsage& usage) const;
  // Returns the record that posts this correction. Errors: kInvalidArgument.
  [[nodiscard]] LedgerResult<Records> Correct(Micros now, const Correction& correction) const;
  // Returns the record that closes `period` or, if that is empty, the oldest open period with postings.
  // Returns kInvalidArgument if there is no such period, or if its end and the grace time have not passed.
  [[nodiscard]] LedgerResult<Records> Close(Micros now, const std::string& period = "") const;

  // ---- State ----

  // Applies a durable record. Returns kOutOfSequence if it does not follow the previous record, and
  // kPeriodClosed if it is a posting to a closed period.
  [[nodiscard]] LedgerStatus Apply(Record record);

  // ---- Reading ----

  // Returns the posting with this sequence; null if there is none. The pointer is valid until the next Apply.
  [[nodiscard]] const Posting* Find(std::uint64_t sequence) const;
  // Returns the sequence of the newest posting; 0 if there is none.
  [[nodiscard]] std::uint64_t last_sequence() const { return last_sequence_; }
  [[nodiscard]] bool IsClosed(const std::string& period) const { return closed_at_.count(period) > 0; }
  // Returns the names of all periods with postings, oldest first.
  [[nodiscard]] std::vector<std::string> Periods() const;
  [[nodiscard]] std::vector<StatementLine> Statement(const std::string& period, StatementKind kind) const {
    return MakeStatement(postings_, period, kind);
  }
  [[nodiscard]] std::map<std::string, UsageTotals> TrialBalance() const {
    return MakeTrialBalance(postings_);
  }
  // Returns the reason for which a new job of this tenant is rejected, as text for the client; empty if the
  // job is accepted.
  [[nodiscard]] std::string RejectionReason(const std::string& tenant, Micros now) const;
  // Returns the budget of a tenant in the period of `now` minus its usage, in millicore-microseconds. The
  // result is negative if the budget is exceeded, and nullopt if the tenant has no budget.
  [[nodiscard]] std::optional<Amount> RemainingBudget(const std::string& tenant, Micros now) const;

 private:
  Period PeriodAt(Micros at) const;
  Period NextPeriod(const Period& period) const;
  // Returns the first open period that contains `from` or begins after it. The period of the current time may
  // be closed if the clock was set back.
  Period FirstOpenPeriod(Micros from) const;
  // Reports whether the rules allow a late event to reopen this closed period at `now`.
  bool MayReopen(const std::string& period, Micros now) const;
  // Returns the name of the period to which work done in `period_of_work` is posted at `now`. If that
  // requires reopening the period, appends the record that does so.
  std::string PostingPeriod(Micros now, const Period& period_of_work, Records* records) const;
  // Returns kDuplicate or kConflict if the attempt was posted before, and kTooOld if that is unknown.
  LedgerStatus CheckNotPosted(const AttemptUsage& usage) const;
  // Returns a posting, without sequence, for the part of the usage that begins at `from` and ends with the
  // usage, the period or the price, whichever ends first.
  Posting PostingFrom(Micros now, const AttemptUsage& usage, Micros from, Records* records) const;
  // Returns `period` if it is an open period with postings or, if `period` is empty, the name of the oldest
  // such period. Returns an empty name if there is none.
  std::string FindOpenPeriod(const std::string& period) const;
  // Returns the end of the period with this name. If the period contains only postings that refer to other
  // periods, returns the time at which the last of them was posted.
  Micros EndOfPeriod(const std::string& name) const;
  LedgerStatus ApplyPosting(Record record);

  const BillingRules rules_;
  std::uint64_t last_sequence_ = 0;
  std::vector<Posting> postings_;  // the posting with sequence N has index N - 1
  std::vector<Posting> pending_;   // applied postings of an event whose last posting was not applied yet
  PostedAttempts posted_attempts_;
  std::map<std::string, Micros> closed_at_;                            // time of the close, by period
  std::map<std::string, std::map<std::string, Amount>> millicore_us_;  // usage by period and tenant
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BOOK_HPP_
