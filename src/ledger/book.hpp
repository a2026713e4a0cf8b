// The ledger of what was used: decisions and state, free of I/O and clock.
//
// What a node tells of an attempt (start, end, cores and memory asked) becomes
// postings, one for each period and each price it spans. A posting debits its
// tenant and credits the fleet's account of its class and kind, in exact units:
// millicore-microseconds and mebibyte-microseconds. Money is made of sums only, one
// rounding for each line of a statement, so nothing drifts.
//
// - The same event twice counts once, by the attempt's name. The same name with
//   other figures is a conflict: told, not counted; an operator corrects.
// - A closed period is never written to. What comes late goes to the open period with
//   a reference to its own; within `reopen_within` of the close it may reopen it, where
//   the rule says so.
// - A correction is a posting that names what it corrects, who and why, and counts in
//   the open period; a restated report adds what refers to a period to it.
// - Periods follow from the events' own times: a clock that is set back changes none,
//   and opens nothing that was closed.
//
// State changes only by Apply, with records that the caller made durable before; the
// same records in the same order make the same book.
//
// Bounds: at `most_postings` nothing new is let in at the door (Refusal); what runs by then is still counted,
// so that the bound is passed by at most the jobs that were taken. Names of attempts are kept for
// `most_names`; beyond, the oldest by end are let go, and events that end before the newest of those are
// refused as too old.
#ifndef MOUNTFLOW_LEDGER_BOOK_HPP_
#define MOUNTFLOW_LEDGER_BOOK_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ledger/zone.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

__extension__ typedef __int128 Amount;
std::string ToText(Amount amount);

struct Price {  // the newest whose `from` has come, for this class and kind ("" matches any)
  std::string task_class, kind;
  Micros from = 0;
  std::int64_t core_hour = 0;  // micro-units of money for one core, one hour
  std::int64_t gib_hour = 0;   // and one GiB, one hour
};

struct Rules {
  Zone zone;
  PeriodKind period = PeriodKind::kMonth;
  Micros grace = 3'600'000'000;           // after its end, before a period may be closed
  bool reopen = false;                    // what is late reopens its period, within
  Micros reopen_within = 86'400'000'000;  // after the close
  std::vector<Price> prices;
  std::map<std::string, Amount> budgets;  // by tenant: millicore-microseconds a period; none: no budget
  bool refuse_beyond = false;             // a tenant whose budget is spent gets no new jobs
  std::size_t most_names = 10'000'000;
  std::size_t most_postings = 50'000'000;
};

struct Use {            // of one attempt
  std::string attempt;  // JOB.SERVER/NUMBER: unique over restarts
  std::string tenant, task_class, kind;
  Micros start = 0, end = 0;  // wall time
  std::int64_t millicores = 0, mebibytes = 0;
};

struct Posting {
  std::uint64_t sequence = 0;  // from 1, without gaps
  std::string attempt;
  std::string tenant, task_class, kind;
  Micros from = 0, to = 0;
  Amount core = 0, memory = 0;               // may be negative in a correction
  std::int64_t core_hour = 0, gib_hour = 0;  // the price that holds for it
  std::string period;                        // that it counts in
  std::string refers;                        // late or corrected: the period that it is about
  std::uint64_t corrects = 0;                // sequence; 0: none
  std::string who, why;
  Micros posted = 0;
};

enum class RecordKind : std::uint8_t { kPosting = 1, kClose = 2, kReopen = 3 };
struct Record {
  RecordKind kind = RecordKind::kPosting;
  Posting posting;     // kPosting
  std::string period;  // kClose, kReopen
  Micros at = 0;
  bool last = true;          // kPosting: of its event; an event's postings count together or not at all
  std::uint64_t digest = 0;  // with the last one: of the event, to know it again
};
std::string Write(const Record& record);

// Records on their way to the ledger's log by another log, numbered as the ledger's log will number them: at
// a start those that it has are told from those that it lacks.
class Outbox {
 public:
  explicit Outbox(std::uint64_t last = 0) : last_(last) {}  // the newest that the ledger's log has
  std::string Put(std::string_view record);
  static bool Is(std::string_view bytes) { return !bytes.empty() && bytes[0] == kMark; }
  // False with what was expected. `lacks`: it comes next, and the ledger's log does not have it.
  bool Take(std::string_view bytes, std::string* record, bool* lacks, std::string* expected);

 private:
  static constexpr char kMark = 'L';
  std::uint64_t last_;
};
bool Read(std::string_view bytes, Record* record, std::string* expected);

enum class Verdict { kPosted, kTwice, kConflict, kBad, kTooOld };
struct Decision {
  Verdict verdict = Verdict::kPosted;
  std::string reason;
  std::vector<Record> records;  // to be made durable, then applied
};

struct Sums {
  Amount core = 0, memory = 0;
  std::uint64_t postings = 0;
};
struct Line {  // of a statement
  std::string tenant, task_class, kind;
  std::int64_t core_hour = 0, gib_hour = 0;
  Sums sums;
  Amount money = 0;  // micro-units, rounded half up once
};

class Book {
 public:
  explicit Book(Rules rules) : rules_(std::move(rules)) {}

  // ---- Decisions: nothing changes by them ----
  Decision Post(Micros now, const Use& use) const;
  Decision Correct(Micros now, std::uint64_t sequence, Amount core, Amount memory, const std::string& who,
                   const std::string& why) const;
  // Closes the oldest open period with postings whose end and grace have passed, or this one.
  Decision Close(Micros now, const std::string& period = "") const;

  // ---- State ----
  bool Apply(Record record, std::string* expected);

  // ---- Reading ----
  const Posting* Find(std::uint64_t sequence) const;
  std::uint64_t last() const { return last_; }
  bool IsClosed(const std::string& period) const { return closed_.count(period) > 0; }
  std::vector<std::string> Periods() const;
  // By tenant, class, kind and price. `restated`: with what later postings say about the period, and without
  // what it holds about others.
  std::vector<Line> Statement(const std::string& period, bool restated) const;
  // Debits and credits by account; all of them add up to nothing.
  std::map<std::string, Sums> TrialBalance() const;
  // Why a new job of this tenant is not let in; empty: it is.
  std::string Refusal(const std::string& tenant, Micros now) const;
  // What of a tenant's budget is left in the period of `now`; nullopt: it has none.
  std::optional<Amount> Left(const std::string& tenant, Micros now) const;

 private:
  Period PeriodAt(Micros at) const;
  const Price* PriceAt(const std::string& task_class, const std::string& kind, Micros at) const;
  // The period that something late counts in.
  std::string OpenFor(Micros now, const Period& own, std::vector<Record>* records) const;

  Rules rules_;
  std::uint64_t last_ = 0;
  std::vector<Posting> postings_;  // by sequence - 1
  // By the hash of an attempt's name (128 bits): what was posted. And those by end, the oldest on top.
  struct Name {
    std::uint64_t low = 0, high = 0;
    bool operator==(const Name&) const = default;
    bool operator>(const Name& other) const { return std::tie(low, high) > std::tie(other.low, other.high); }
  };
  struct HashName {
    std::size_t operator()(const Name& name) const { return name.low; }
  };
  struct Later {
    bool operator()(const std::pair<Micros, Name>& a, const std::pair<Micros, Name>& b) const {
      return a.first != b.first ? a.first > b.first : a.second > b.second;
    }
  };
  static Name NameOf(std::string_view attempt);
  std::unordered_map<Name, std::uint64_t, HashName> digests_;
  std::priority_queue<std::pair<Micros, Name>, std::vector<std::pair<Micros, Name>>, Later> by_end_;
  Micros too_old_ = 0;
  std::map<std::string, Micros> closed_;                       // when
  std::map<std::string, std::map<std::string, Amount>> used_;  // core, by period and tenant
  std::vector<Posting> pending_;                               // of an event that is not whole yet
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BOOK_HPP_
