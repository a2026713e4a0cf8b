#include "ledger/book.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "storage/fields.hpp"

namespace mountflow::ledger {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMostText = 1024;
// A use of this size and length keeps all sums far within 128 bits.
constexpr std::int64_t kMostCores = 1'000'000'000, kMostMemory = 1'000'000'000'000;
constexpr Micros kLongest = 100ull * 366 * 86'400 * kSecond;

template <typename A, typename P>
void Fields(A& a, P& p) {
  a("sequence", p.sequence);
  a("attempt", p.attempt);
  a("tenant", p.tenant);
  a("task_class", p.task_class);
  a("kind", p.kind);
  a("from", p.from);
  a("to", p.to);
  a("core", p.core);
  a("memory", p.memory);
  a("core_hour", p.core_hour);
  a("gib_hour", p.gib_hour);
  a("period", p.period);
  a("refers", p.refers);
  a("corrects", p.corrects);
  a("who", p.who);
  a("why", p.why);
  a("posted", p.posted);
}

std::uint64_t DigestOf(const Use& u) {
  std::string text;
  storage::FieldWriter write{&text};
  write("tenant", u.tenant);
  write("task_class", u.task_class);
  write("kind", u.kind);
  write("start", u.start);
  write("end", u.end);
  write("millicores", u.millicores);
  write("mebibytes", u.mebibytes);
  return XXH3_64bits(text.data(), text.size());
}

// Rounds half up; the divisor is positive.
Amount Divide(Amount a, Amount by) {
  const Amount doubled = 2 * a + by;
  Amount q = doubled / (2 * by);
  if (doubled % (2 * by) < 0) --q;
  return q;
}

Decision Bad(std::string reason) { return {Verdict::kBad, std::move(reason), {}}; }

}  // namespace

std::string ToText(Amount amount) {
  if (amount == 0) return "0";
  std::string text;
  const bool minus = amount < 0;
  __extension__ unsigned __int128 left =
      minus ? ~static_cast<unsigned __int128>(amount) + 1 : static_cast<unsigned __int128>(amount);
  for (; left != 0; left /= 10) text.push_back(static_cast<char>('0' + static_cast<int>(left % 10)));
  if (minus) text.push_back('-');
  std::reverse(text.begin(), text.end());
  return text;
}

std::string Write(const Record& record) {
  std::string bytes = {static_cast<char>(record.kind), static_cast<char>(kVersion)};
  storage::FieldWriter write{&bytes};
  if (record.kind == RecordKind::kPosting) {
    Fields(write, record.posting);
    write("last", record.last);
    write("digest", record.digest);
  } else {
    write("period", record.period);
    write("at", record.at);
  }
  return bytes;
}

bool Read(std::string_view bytes, Record* record, std::string* expected) {
  if (bytes.size() < 2 || bytes[0] < 1 || bytes[0] > 3 || static_cast<std::uint8_t>(bytes[1]) != kVersion) {
    *expected = "a record of the ledger, version 1";
    return false;
  }
  record->kind = static_cast<RecordKind>(bytes[0]);
  storage::FieldReader read(bytes.substr(2));
  if (record->kind == RecordKind::kPosting) {
    Fields(read, record->posting);
    read("last", record->last);
    read("digest", record->digest);
  } else {
    read("period", record->period);
    read("at", record->at);
  }
  const auto whole = read.Finish();
  if (!whole) *expected = Describe(whole.error());
  return whole.has_value();
}

std::string Outbox::Put(std::string_view record) {
  std::string bytes(1, kMark);
  storage::FieldWriter write{&bytes};
  write("number", ++last_);
  bytes += record;
  return bytes;
}

bool Outbox::Take(std::string_view bytes, std::string* record, bool* lacks, std::string* expected) {
  std::size_t end = 1;
  while (end < bytes.size() && (bytes[end] & 0x80) != 0) ++end;
  storage::FieldReader read(bytes.substr(1, end));
  std::uint64_t number = 0;
  read("number", number);
  if (!read.ok()) {
    *expected = Describe(*read.error());
    return false;
  }
  *lacks = number > last_;
  if (number > last_ + 1) {
    *expected = "ledger record " + std::to_string(last_ + 1) + ", found " + std::to_string(number);
    return false;
  }
  if (*lacks) last_ = number;
  *record = bytes.substr(end + 1);
  return true;
}

// ---- Small parts ----

Book::Name Book::NameOf(std::string_view attempt) {
  const XXH128_hash_t hash = XXH3_128bits(attempt.data(), attempt.size());
  return {hash.low64, hash.high64};
}

Period Book::PeriodAt(Micros at) const {
  return PeriodOf(rules_.zone, rules_.period, static_cast<std::int64_t>(at / kSecond));
}

const Price* Book::PriceAt(const std::string& task_class, const std::string& kind, Micros at) const {
  const Price* best = nullptr;
  for (const Price& p : rules_.prices) {
    if (p.from > at || (!p.task_class.empty() && p.task_class != task_class) ||
        (!p.kind.empty() && p.kind != kind))
      continue;
    // The more closely named first, then the newer.
    const auto rank = [](const Price& one) {
      return std::make_tuple(!one.task_class.empty(), !one.kind.empty(), one.from);
    };
    if (best == nullptr || rank(p) > rank(*best)) best = &p;
  }
  return best;
}

std::string Book::OpenFor(Micros now, const Period& own, std::vector<Record>* records) const {
  const auto closed = closed_.find(own.name);
  if (closed == closed_.end()) return own.name;
  if (rules_.reopen && now >= closed->second && now - closed->second <= rules_.reopen_within) {
    Record reopen;
    reopen.kind = RecordKind::kReopen;
    reopen.period = own.name;
    reopen.at = now;
    const bool done = std::any_of(records->begin(), records->end(), [&own](const Record& r) {
      return r.kind == RecordKind::kReopen && r.period == own.name;
    });
    if (!done) records->push_back(reopen);
    return own.name;
  }
  // The first period after it that is open: with the clock set back, "now" may lie in a closed one.
  Period open = PeriodAt(std::max<Micros>(now, static_cast<Micros>(own.to) * kSecond));
  while (closed_.count(open.name) > 0) open = PeriodAt(static_cast<Micros>(open.to) * kSecond);
  return open.name;
}

// ---- Decisions ----

Decision Book::Post(Micros now, const Use& use) const {
  if (use.attempt.empty() || use.attempt.size() > kMostText) return Bad("attempt: expected a name");
  if (use.tenant.size() > kMostText || use.task_class.size() > kMostText || use.kind.size() > kMostText)
    return Bad("tenant, class and kind: expected at most 1024 bytes each");
  if (use.end < use.start || use.end - use.start > kLongest)
    return Bad("end: expected at or after the start, and within a hundred years");
  if (use.millicores < 0 || use.millicores > kMostCores || use.mebibytes < 0 || use.mebibytes > kMostMemory)
    return Bad("cores and memory: expected 0 to a million cores and an exbibyte");
  if (const auto had = digests_.find(NameOf(use.attempt)); had != digests_.end()) {
    if (had->second == DigestOf(use)) return {Verdict::kTwice, "", {}};
    return {Verdict::kConflict, "attempt " + use.attempt + ": posted before with other figures", {}};
  }
  // Danger: names that were let go cannot be told from new ones; to count such a one might count it twice.
  if (use.end <= too_old_)
    return {Verdict::kTooOld, "attempt " + use.attempt + ": ended before what is remembered", {}};
  Decision out;
  std::uint64_t sequence = last_;
  Micros from = use.start;
  do {
    const Period own = PeriodAt(from);
    Micros to = std::min(use.end, static_cast<Micros>(own.to) * kSecond);
    for (const Price& p : rules_.prices) {
      if (p.from > from && p.from < to) to = p.from;
    }
    Record r;
    Posting& p = r.posting;
    p.attempt = use.attempt;
    p.tenant = use.tenant, p.task_class = use.task_class, p.kind = use.kind;
    p.from = from, p.to = to;
    p.core = Amount{use.millicores} * static_cast<Amount>(to - from);
    p.memory = Amount{use.mebibytes} * static_cast<Amount>(to - from);
    if (const Price* price = PriceAt(use.task_class, use.kind, from)) {
      p.core_hour = price->core_hour, p.gib_hour = price->gib_hour;
    }
    p.period = OpenFor(now, own, &out.records);
    if (p.period != own.name) p.refers = own.name;
    p.posted = now;
    p.sequence = ++sequence;
    r.last = to >= use.end;
    if (r.last) r.digest = DigestOf(use);
    out.records.push_back(std::move(r));
    from = to;
  } while (from < use.end);
  return out;
}

Decision Book::Correct(Micros now, std::uint64_t sequence, Amount core, Amount memory, const std::string& who,
                       const std::string& why) const {
  const Posting* was = Find(sequence);
  if (was == nullptr)
    return Bad("sequence " + std::to_string(sequence) + ": expected a posting that is here");
  if (who.empty() || why.empty() || who.size() > kMostText || why.size() > kMostText)
    return Bad("who and why: expected a text each");
  if (core == 0 && memory == 0) return Bad("a correction by nothing");
  Decision out;
  Record r;
  Posting& p = r.posting;
  p = *was;
  p.sequence = last_ + 1;
  p.core = core, p.memory = memory;
  p.corrects = sequence;
  p.who = who, p.why = why;
  p.posted = now;
  const std::string about = was->refers.empty() ? was->period : was->refers;
  // Never into a closed period, and no reopening: the correction shows where it is made.
  Period open = PeriodAt(std::max(now, was->from));
  while (closed_.count(open.name) > 0) open = PeriodAt(static_cast<Micros>(open.to) * kSecond);
  p.period = open.name;
  p.refers = p.period == about ? "" : about;
  out.records.push_back(std::move(r));
  return out;
}

Decision Book::Close(Micros now, const std::string& period) const {
  Micros end = 0;
  std::string name;
  for (const auto& [open, used] : used_) {
    if (closed_.count(open) > 0 || (!period.empty() && open != period)) continue;
    name = open;  // names sort by time
    break;
  }
  if (name.empty())
    return Bad(period.empty() ? "no open period has postings"
                              : period + ": expected an open period with postings");
  for (const Posting& p : postings_) {
    if (p.period == name && p.refers.empty()) {
      end = static_cast<Micros>(PeriodAt(p.from).to) * kSecond;
      break;
    }
    if (p.period == name) end = std::max(end, p.posted);
  }
  if (now < end + rules_.grace) return Bad(name + ": expected to be over, and its grace with it");
  Decision out;
  Record r;
  r.kind = RecordKind::kClose;
  r.period = name;
  r.at = now;
  out.records.push_back(std::move(r));
  return out;
}

// ---- State ----

bool Book::Apply(Record record, std::string* expected) {
  if (record.kind == RecordKind::kClose) {
    closed_[record.period] = record.at;
    return true;
  }
  if (record.kind == RecordKind::kReopen) {
    closed_.erase(record.period);
    return true;
  }
  Posting& p = record.posting;
  if (p.sequence == last_ + 1) pending_.clear();  // of an event whose rest never came
  const std::uint64_t next = last_ + pending_.size() + 1;
  if (p.sequence != next) {
    *expected = "sequence " + std::to_string(next) + ", found " + std::to_string(p.sequence);
    return false;
  }
  if (closed_.count(p.period) > 0) {
    *expected = "an open period, found " + p.period;
    return false;
  }
  pending_.push_back(std::move(record.posting));
  if (!record.last) return true;
  for (Posting& one : pending_) {
    used_[one.period][one.tenant] += one.core;
    last_ = one.sequence;
    postings_.push_back(std::move(one));
  }
  pending_.clear();
  const Posting& whole = postings_.back();
  if (whole.corrects != 0) return true;
  const Name name = NameOf(whole.attempt);
  digests_[name] = record.digest;
  by_end_.push({whole.to, name});
  while (by_end_.size() > rules_.most_names) {
    too_old_ = by_end_.top().first;
    digests_.erase(by_end_.top().second);
    by_end_.pop();
  }
  return true;
}

// ---- Reading ----

const Posting* Book::Find(std::uint64_t sequence) const {
  return sequence == 0 || sequence > postings_.size() ? nullptr : &postings_[sequence - 1];
}

std::vector<std::string> Book::Periods() const {
  std::vector<std::string> names;
  for (const auto& [name, used] : used_) names.push_back(name);
  return names;
}

std::vector<Line> Book::Statement(const std::string& period, bool restated) const {
  std::map<std::tuple<std::string, std::string, std::string, std::int64_t, std::int64_t>, Sums> lines;
  for (const Posting& p : postings_) {
    const std::string& in = restated && !p.refers.empty() ? p.refers : p.period;
    if (in != period) continue;
    Sums& s = lines[{p.tenant, p.task_class, p.kind, p.core_hour, p.gib_hour}];
    s.core += p.core, s.memory += p.memory;
    ++s.postings;
  }
  std::vector<Line> all;
  for (const auto& [key, sums] : lines) {
    Line line;
    std::tie(line.tenant, line.task_class, line.kind, line.core_hour, line.gib_hour) = key;
    line.sums = sums;
    constexpr Amount kHour = Amount{3'600} * kSecond;
    // Over the least common divisor, rounded once: millicore-microseconds and MiB-microseconds.
    line.money =
        Divide(sums.core * line.core_hour * 1024 + sums.memory * line.gib_hour * 1000, kHour * 1000 * 1024);
    all.push_back(std::move(line));
  }
  return all;
}

std::map<std::string, Sums> Book::TrialBalance() const {
  std::map<std::string, Sums> accounts;
  for (const Posting& p : postings_) {
    Sums& debit = accounts["tenant/" + p.tenant];
    Sums& credit = accounts["fleet/" + p.task_class + "/" + p.kind];
    debit.core += p.core, debit.memory += p.memory, ++debit.postings;
    credit.core -= p.core, credit.memory -= p.memory, ++credit.postings;
  }
  return accounts;
}

std::string Book::Refusal(const std::string& tenant, Micros now) const {
  if (postings_.size() >= rules_.most_postings) return "the ledger holds as many postings as it may";
  const auto left = rules_.refuse_beyond ? Left(tenant, now) : std::nullopt;
  return left && *left <= 0 ? "the budget of tenant '" + tenant + "' for this period is spent" : "";
}

std::optional<Amount> Book::Left(const std::string& tenant, Micros now) const {
  const auto budget = rules_.budgets.find(tenant);
  if (budget == rules_.budgets.end()) return std::nullopt;
  const auto period = used_.find(PeriodAt(now).name);
  if (period == used_.end()) return budget->second;
  const auto used = period->second.find(tenant);
  return used == period->second.end() ? budget->second : budget->second - used->second;
}

}  // namespace mountflow::ledger
