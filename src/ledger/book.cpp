#include "ledger/book.hpp"

#include <algorithm>

namespace mountflow::ledger {
namespace {

constexpr Micros kSecond = 1'000'000;

Micros EndOf(const Period& period) { return static_cast<Micros>(period.to) * kSecond; }

tl::unexpected<LedgerError> Invalid(std::string subject, std::string expected) {
  return MakeError(LedgerErrorCode::kInvalidArgument, std::move(subject), std::move(expected));
}

Record MakePeriodRecord(RecordKind kind, const std::string& period, Micros at) {
  Record record;
  record.kind = kind;
  record.period = period;
  record.at = at;
  return record;
}

bool IsValidText(const std::string& text) { return !text.empty() && text.size() <= kMaxTextBytes; }

}  // namespace

// ---- Periods ----

Period Book::PeriodAt(Micros at) const {
  return PeriodOf(rules_.time_zone, rules_.period_kind, static_cast<std::int64_t>(at / kSecond));
}

Period Book::NextPeriod(const Period& period) const { return PeriodAt(EndOf(period)); }

Period Book::FirstOpenPeriod(Micros from) const {
  Period period = PeriodAt(from);
  while (IsClosed(period.name)) period = NextPeriod(period);
  return period;
}

bool Book::MayReopen(const std::string& period, Micros now) const {
  const Micros closed_at = closed_at_.at(period);
  return rules_.reopen && now >= closed_at && now - closed_at <= rules_.reopen_within;
}

std::string Book::PostingPeriod(Micros now, const Period& period_of_work, Records* records) const {
  if (!IsClosed(period_of_work.name)) return period_of_work.name;
  if (!MayReopen(period_of_work.name, now)) return FirstOpenPeriod(std::max(now, EndOf(period_of_work))).name;
  const bool reopened =
      std::any_of(records->begin(), records->end(), [&period_of_work](const Record& record) {
        return record.kind == RecordKind::kReopen && record.period == period_of_work.name;
      });
  if (!reopened) records->push_back(MakePeriodRecord(RecordKind::kReopen, period_of_work.name, now));
  return period_of_work.name;
}

std::string Book::FindOpenPeriod(const std::string& period) const {
  for (const auto& [name, by_tenant] : millicore_us_) {  // names sort by time
    if (!IsClosed(name) && (period.empty() || name == period)) return name;
  }
  return "";
}

Micros Book::EndOfPeriod(const std::string& name) const {
  Micros last_posted_at = 0;
  for (const Posting& posting : postings_) {
    if (posting.period != name) continue;
    if (posting.refers_to_period.empty()) return EndOf(PeriodAt(posting.from));
    last_posted_at = std::max(last_posted_at, posting.posted_at);
  }
  return last_posted_at;
}

// ---- Decisions ----

LedgerResult<Book::Records> Book::Post(Micros now, const AttemptUsage& usage) const {
  if (LedgerStatus status = Validate(usage); !status) return tl::unexpected(status.error());
  if (LedgerStatus status = CheckNotPosted(usage); !status) return tl::unexpected(status.error());
  Records records;
  std::uint64_t sequence = last_sequence_;
  Micros from = usage.start;
  do {  // an attempt with no duration still has one posting
    Record record;
    record.posting = PostingFrom(now, usage, from, &records);
    record.posting.sequence = ++sequence;
    from = record.posting.to;
    record.ends_event = from >= usage.end;
    if (record.ends_event) record.event_digest = DigestOf(usage);
    records.push_back(std::move(record));
  } while (from < usage.end);
  return records;
}

LedgerStatus Book::CheckNotPosted(const AttemptUsage& usage) const {
  const std::string subject = "attempt " + usage.attempt;
  if (const auto digest = posted_attempts_.FindDigest(usage.attempt)) {
    if (*digest == DigestOf(usage)) return MakeError(LedgerErrorCode::kDuplicate, subject, "one report");
    return MakeError(LedgerErrorCode::kConflict, subject, "the figures that were posted before");
  }
  // It is unknown whether this attempt is new or was posted and then forgotten. Posting it could count it
  // twice.
  if (usage.end <= posted_attempts_.forgotten_until()) {
    return MakeError(LedgerErrorCode::kTooOld, subject,
                     "an end after " + std::to_string(posted_attempts_.forgotten_until()) +
                         " us, up to which attempts are forgotten",
                     std::to_string(usage.end));
  }
  return {};
}

Posting Book::PostingFrom(Micros now, const AttemptUsage& usage, Micros from, Records* records) const {
  const Period period_of_work = PeriodAt(from);
  const Micros to = NextPriceChange(rules_.prices, from, std::min(usage.end, EndOf(period_of_work)));
  Posting posting;
  posting.attempt = usage.attempt;
  posting.tenant = usage.tenant;
  posting.task_class = usage.task_class;
  posting.kind = usage.kind;
  posting.from = from;
  posting.to = to;
  posting.millicore_us = Amount{usage.millicores} * static_cast<Amount>(to - from);
  posting.mebibyte_us = Amount{usage.mebibytes} * static_cast<Amount>(to - from);
  if (const Price* price = FindPrice(rules_.prices, usage.task_class, usage.kind, from)) {
    posting.core_hour_price = price->core_hour;
    posting.gib_hour_price = price->gib_hour;
  }
  posting.period = PostingPeriod(now, period_of_work, records);
  if (posting.period != period_of_work.name) posting.refers_to_period = period_of_work.name;
  posting.posted_at = now;
  return posting;
}

LedgerResult<Book::Records> Book::Correct(Micros now, const Correction& correction) const {
  const Posting* corrected = Find(correction.sequence);
  if (corrected == nullptr) return Invalid("sequence " + std::to_string(correction.sequence), "a posting");
  if (!IsValidText(correction.author) || !IsValidText(correction.reason))
    return Invalid("author and reason", "1 to 1024 bytes each");
  if (correction.millicore_us == 0 && correction.mebibyte_us == 0) return Invalid("correction", "an amount");
  Record record;
  Posting& posting = record.posting;
  posting = *corrected;
  posting.sequence = last_sequence_ + 1;
  posting.millicore_us = correction.millicore_us;
  posting.mebibyte_us = correction.mebibyte_us;
  posting.corrects_sequence = correction.sequence;
  posting.author = correction.author;
  posting.reason = correction.reason;
  posting.posted_at = now;
  // A correction neither counts in a closed period nor reopens it. It appears in the period in which it is
  // made.
  posting.period = FirstOpenPeriod(std::max(now, corrected->from)).name;
  const std::string& work_period = corrected->work_period();
  posting.refers_to_period = posting.period == work_period ? "" : work_period;
  return Records{std::move(record)};
}

LedgerResult<Book::Records> Book::Close(Micros now, const std::string& period) const {
  const std::string name = FindOpenPeriod(period);
  if (name.empty()) return Invalid(period.empty() ? "period" : period, "an open period with postings");
  if (now < EndOfPeriod(name) + rules_.grace)
    return Invalid(name, "a period whose end and grace have passed");
  return Records{MakePeriodRecord(RecordKind::kClose, name, now)};
}

// ---- State ----

LedgerStatus Book::Apply(Record record) {
  switch (record.kind) {
    case RecordKind::kClose:
      closed_at_[record.period] = record.at;
      return {};
    case RecordKind::kReopen:
      closed_at_.erase(record.period);
      return {};
    case RecordKind::kPosting:
      break;
  }
  return ApplyPosting(std::move(record));
}

LedgerStatus Book::ApplyPosting(Record record) {
  const std::uint64_t sequence = record.posting.sequence;
  // A first posting after pending ones means that a crash lost the remaining postings of the previous event,
  // so that event does not count.
  if (sequence == last_sequence_ + 1) pending_.clear();
  const std::uint64_t next = last_sequence_ + pending_.size() + 1;
  if (sequence != next) {
    return MakeError(LedgerErrorCode::kOutOfSequence, "", "sequence " + std::to_string(next),
                     std::to_string(sequence));
  }
  if (IsClosed(record.posting.period))
    return MakeError(LedgerErrorCode::kPeriodClosed, "", "an open period", record.posting.period);
  pending_.push_back(std::move(record.posting));
  if (!record.ends_event) return {};
  for (Posting& posting : pending_) {
    millicore_us_[posting.period][posting.tenant] += posting.millicore_us;
    last_sequence_ = posting.sequence;
    postings_.push_back(std::move(posting));
  }
  pending_.clear();
  const Posting& last = postings_.back();
  if (last.corrects_sequence == 0) posted_attempts_.Add(last.attempt, record.event_digest, last.to);
  return {};
}

// ---- Reading ----

const Posting* Book::Find(std::uint64_t sequence) const {
  if (sequence == 0 || sequence > postings_.size()) return nullptr;
  return &postings_[sequence - 1];
}

std::vector<std::string> Book::Periods() const {
  std::vector<std::string> names;
  names.reserve(millicore_us_.size());
  for (const auto& [name, by_tenant] : millicore_us_) names.push_back(name);
  return names;
}

std::string Book::RejectionReason(const std::string& tenant, Micros now) const {
  if (postings_.size() >= rules_.max_postings) return "the ledger holds as many postings as it may";
  if (!rules_.reject_over_budget) return "";
  const std::optional<Amount> remaining = RemainingBudget(tenant, now);
  if (!remaining || *remaining > 0) return "";
  return "the budget of tenant '" + tenant + "' for this period is spent";
}

std::optional<Amount> Book::RemainingBudget(const std::string& tenant, Micros now) const {
  const auto budget = rules_.budgets.find(tenant);
  if (budget == rules_.budgets.end()) return std::nullopt;
  const auto period = millicore_us_.find(PeriodAt(now).name);
  if (period == millicore_us_.end()) return budget->second;
  const auto used = period->second.find(tenant);
  return used == period->second.end() ? budget->second : budget->second - used->second;
}

}  // namespace mountflow::ledger
