// The decisions of mountflow, all of them. Interface: module/include/mountflow/scheduler.hpp.
// Order: constants, the fleet's picture, the pick, attempts and answers, health, guards, event handlers.
// The mechanism is the Normalized Service Capacity strategy of Shikata and Hanayama; see docs/design.md.
#include "mountflow/scheduler.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduler/unobserved_load.hpp"

namespace mountflow {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// Ratios of the highest and the lowest class; the paper's 4, 3, 2 for three classes, even steps otherwise.
constexpr double kTopRatio = 4.0;
constexpr double kBottomRatio = 2.0;
// Share below the best value that still counts as a tie: a view seconds old cannot tell finer.
constexpr double kNearTie = 0.10;
// Lead of a machine that has the task's program: a start without it takes several times the work, which comes
// out of the same capacity. Bounded, so that load decides among those that have it, and beats it when uneven.
constexpr double kWarmLead = 2.0;
// Own tasks tell little of where a program is when many schedulers share its tasks. So each service has this
// many homes among the machines that qualify, in an order equal at all schedulers, and they lead alike.
constexpr std::size_t kHomes = 2;
// Skip of a machine that answered full: until a view later than its answer, at most this: so old views get.
constexpr Micros kFullSkip = 3 * kSecond;
// An offer that does not run yet weighs this many tasks more in the ranking: it waits for one of few starts,
// and the next offer waits behind it, which costs more than a share of the cores.
constexpr double kStartWeight = 3.0;
// A machine's word on how busy it is holds this long: use changes within seconds.
// Tasks use less than they ask, so a share in use stands for a larger share asked.
constexpr double kBusyScale = 1.1;
constexpr Micros kReportKept = 5 * kSecond;
// A machine that sends tasks away or takes none is draining; the list says so only seconds later, and
// meanwhile it empties and would draw the largest share. Left out for as long as a list may be behind.
constexpr Micros kLeavingSkip = 6 * kSecond;
// Our own beat: silence, overdue list calls and old records are looked at this often.
constexpr Micros kBeat = 100 * kMs;
// Age of the view: tried in these steps up to 12 s, first guess 2 s, older evidence fading by this per view.
constexpr Micros kLagStep = 250 * kMs;
constexpr std::size_t kLagSteps = 49;
constexpr Micros kLagMost = (kLagSteps - 1) * kLagStep;
constexpr std::size_t kLagFirst = 8;
constexpr double kLagFade = 0.97;
// Another age must explain the changes better by this much: where our own traffic is thin, the best is
// chance.
constexpr double kLagBetter = 0.9;
// The rate at which all schedulers place tasks follows each view's falls of room by this much.
constexpr double kRateGain = 0.2;
// Before any change is seen: as many as run now are taken to be placed anew within this.
constexpr Micros kLifeGuess = 20 * kSecond;
// An offer unanswered this long by a machine not heard since is silence: an acceptance takes tens of ms and a
// stall half a second; a start may well take seconds, so where only that is told we are patient.
constexpr Micros kSilentAccept = 800 * kMs;
constexpr Micros kSilentStart = 2500 * kMs;
// Where probes are allowed they tell sooner: asked after this long, apart by as much, failing this often.
constexpr Micros kProbeAfter = 500 * kMs;
constexpr int kProbesFailed = 2;
// A silent or unreachable machine is left out for this long, doubled each time in a row up to the most.
constexpr Micros kShunFirst = 1 * kSecond;
constexpr Micros kShunMost = 8 * kSecond;
// A machine that failed a class, by error or silence while others are heard, is left out for that class this
// long, doubled as above: such a fault stays until somebody acts, and few own tasks would meet it often.
constexpr Micros kClassShunFirst = 8 * kSecond;
constexpr Micros kClassShunMost = 32 * kSecond;
// A machine's part of the starts that must have been due while its list entry stood still, to call it still.
constexpr double kStillStarts = 6.0;
// When more than this share of the fleet looks bad, the fault is more likely ours: shun nobody.
constexpr double kDoubtShare = 0.5;
// A machine that is gone is forgotten after this: names that come once must not add up for ever. Far longer
// than a request is open, for a repeat may be bound to where it went first (rule 2).
constexpr Micros kGoneKept = 3600 * kSecond;
// List calls: wait after a failed one, doubled up to the most; quiet for longer than that asks anew.
constexpr Micros kAskFirst = 500 * kMs;
constexpr Micros kAskMost = 4 * kSecond;
constexpr Micros kListQuiet = 8 * kSecond;
constexpr std::uint64_t kBeatToken = 1;
bool Sane(double size) { return std::isfinite(size) && size >= 0.0; }

// ---- The fleet's picture ----

// One that may be offered a task; warm: it holds, or lately held, own tasks of that service.
struct Ranked {
  double value;
  struct Machine* node;
  bool warm;
};
struct ClassHealth {
  int failures = 0;  // in a row
  Micros shunned_until = 0;
};

struct Machine {
  NodeEntry entry;
  bool listed = false;
  Micros changed_at = 0;    // when its room last changed in the list
  Micros needed_at = 0;     // when it last was listed or held own tasks
  double seen_cores = 0.0;  // free room in the view before the last, for the age of the view
  OwnWork own;              // kept for as long as a view may not yet show its end
  unsigned waiting = 0;     // own offers without placement or outcome
  Micros heard = 0;         // last sign of life
  int strikes = 0;          // bad signs in a row
  Micros shunned_until = 0, full_at = 0, full_until = 0;
  double full_cores = 0.0, full_memory = 0.0;  // what it had no room for
  Micros leaving_until = 0;  // it sends tasks away or takes none: likely draining before the list says so
  double busy = 0.0;         // share of its cores in use, by its own report
  Micros busy_at = 0, probed_at = 0;
  bool probing = false, cold = false,
       still = false;  // the last two as of the pick at hand, as load and capacity
  int probes_failed = 0;
  double load = 0.0, capacity = 0.0;
  std::map<unsigned, ClassHealth> failing;  // by class
  std::deque<Micros> cold_sent;
};

// Own tasks of a service by machine: those there, and with them those that ended lately.
using Together = std::map<NodeId, std::pair<int, int>>;
using Places = std::map<unsigned, int>;
struct Request {
  Task task;
  unsigned made = 0;  // attempts
  bool placed = false, cancelling = false;
  bool out = false;       // the last attempt has no outcome yet
  bool answered = false;  // its one final answer is given, or no longer owed
  bool may_have_run = false;
  Micros bound_since = 0;  // send of the first attempt that may have run
  NodeId bound_to = 0;     // and its machine
  NodeId node = 0;         // of the last attempt
  Micros sent = 0;
  Micros held_since = 0;  // as the machine's own work has it
  std::vector<NodeId> tried;
};

}  // namespace

class Scheduler::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
    std::vector<int> ranks;
    for (const TaskClass& c : set_.classes) ranks.push_back(c.priority);
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
    for (const TaskClass& c : set_.classes) {
      const auto rank = std::find(ranks.begin(), ranks.end(), c.priority) - ranks.begin();
      const double step =
          ranks.size() > 1 ? static_cast<double>(rank) / static_cast<double>(ranks.size() - 1) : 0.0;
      ratio_.push_back(kTopRatio - (kTopRatio - kBottomRatio) * step);
    }
    for (double r : ratio_) even_ += r / static_cast<double>(ratio_.size());
    if (!(set_.mean_cores > 0.0)) set_.mean_cores = 1.0;
    for (const TaskClass& c : set_.classes) top_priority_ = std::max(top_priority_, c.priority);
    knows_group_ = set_.self_index >= 0 && set_.self_index < set_.group_size;
    if (set_.group_size < 1) set_.group_size = 1;
    lag_error_.assign(kLagSteps, 0.0);
  }

  void Handle(Micros now, const Event& event, std::vector<Action>* actions) {
    now_ = std::max(now_, now);
    out_ = actions;
    if (!born_) {
      born_ = now_;
      out_->push_back(SetTimer{now_ + kBeat, kBeatToken});
    }
    std::visit([this](const auto& e) { On(e); }, event);
  }

 private:
  const TaskClass& ClassOf(const Task& task) const { return set_.classes[task.task_class]; }
  NodeKind KindOf(const Machine& m) const {
    return m.entry.kind < set_.node_kinds.size() ? set_.node_kinds[m.entry.kind] : NodeKind{};
  }
  Micros ViewTrueAt() const {
    const Micros lag = lag_ * kLagStep;
    return list_at_ > lag ? list_at_ - lag : 1;
  }

  OwnTask OwnOf(const Request& r) const {
    return {r.task.request, r.task.cores, r.task.memory, ratio_[r.task.task_class], r.held_since};
  }

  // The mean ratio of the tasks on a machine, by our own there; of the classes evenly where we have none.
  double MeanRatio(const Machine& m) const { return m.own.count() > 0 ? m.own.mean_ratio() : even_; }

  // sum(m_j * n_hj) without the arriving task.
  double Load(const Machine& m) const {
    // Without free room in the list, others are taken to have placed as many there as we did.
    if (!set_.list_has_free_capacity) return m.own.unseen_sizes().ratio * set_.group_size;
    const double asked = std::max(0.0, KindOf(m).cores - m.entry.free_cores);
    return std::max(0.0, asked / set_.mean_cores * MeanRatio(m) + m.own.unseen_sizes().ratio);
  }

  // Tasks may use more than they asked, a machine may be slow, or another program may have its cores: in the
  // ranking, though not against the cap, a machine counts as full as its own report says that it is busy.
  double BusyLoad(const Machine& m) const {
    if (m.busy_at == 0 || now_ > m.busy_at + kReportKept) return 0.0;
    return kBusyScale * m.busy * KindOf(m).cores / set_.mean_cores * MeanRatio(m);
  }

  // C_h: cores of its kind over those of the kind that most machines are of.
  double Capacity(const Machine& m) const { return std::max(1e-6, KindOf(m).cores / reference_cores_); }

  void FindReference() {
    std::map<unsigned, int> count;
    for (const Machine* m : fleet_) ++count[m->entry.kind];
    int most = 0;
    for (const auto& [kind, n] : count) {
      if (n <= most || kind >= set_.node_kinds.size()) continue;
      most = n;
      reference_cores_ = std::max(1e-6, set_.node_kinds[kind].cores);
    }
  }

  bool Fits(const Machine& m, const Task& task) const {
    const NodeKind kind = KindOf(m);
    double cores = m.entry.free_cores, memory = m.entry.free_memory;
    double cores_since = m.own.unseen_sizes().cores, memory_since = m.own.unseen_sizes().memory;
    if (!set_.list_has_free_capacity) {  // fallback: the others hold as much there as we do
      cores = kind.cores - cores_since * set_.group_size;
      memory = kind.memory - memory_since * set_.group_size;
      cores_since = memory_since = 0.0;
    }
    cores += (set_.overcommit_cores - 1.0) * kind.cores - cores_since;
    memory += (set_.overcommit_memory - 1.0) * kind.memory - memory_since;
    if (set_.nodes_preempt && ClassOf(task).priority < top_priority_) {
      cores -= unseen_by_capacity_ * set_.mean_cores * Capacity(m);
      memory -= unseen_by_capacity_ * set_.mean_memory * Capacity(m);
    }
    return cores >= task.cores && memory >= task.memory;
  }

  // How old is a view when it comes? The age at which our own sends and ends explain its changes best.
  void LearnLag(Micros before, Micros now) {
    std::array<double, kLagSteps> error{};
    for (const auto& [id, m] : machines_) {
      if (!m.listed) continue;
      std::array<Sum, kLagSteps + 1> mine{};  // changes from step to step
      const auto take = [&](Micros at, Sum cores) {
        // Those ages that put it after the view before and not after this one.
        const std::size_t first = at > before ? 0 : (before - at) / kLagStep + 1;
        const std::size_t last = std::min<std::size_t>((now - at) / kLagStep, kLagSteps - 1);
        if (first <= last) mine[first] += cores, mine[last + 1] -= cores;
      };
      const bool apart = now - before < kLagStep;  // views that come often: only what each age newly shows
      if (!apart) m.own.ForChanges(before > kLagMost ? before - kLagMost : 0, now, take);
      for (Micros lag = 0; apart && lag <= std::min(before, kLagMost); lag += kLagStep) {
        m.own.ForChanges(before - lag, now - lag, take);
      }
      Sum sum = 0;
      const double fall = m.seen_cores - m.entry.free_cores;
      double miss = fall;
      for (std::size_t step = 0; step < kLagSteps; ++step) {
        if (mine[step] != 0) miss = fall - ToSize(sum += mine[step]);
        error[step] += miss * miss;
      }
    }
    for (std::size_t step = 0; step < kLagSteps && step * kLagStep <= before; ++step) {
      lag_error_[step] = lag_error_[step] * kLagFade + error[step];
    }
    if (++views_ < 8) return;
    const auto best = std::min_element(lag_error_.begin(), lag_error_.end()) - lag_error_.begin();
    if (lag_error_[best] < lag_error_[lag_] * kLagBetter) lag_ = static_cast<std::size_t>(best);
  }

  // ---- The pick ----

  // The one place that says who may be offered this task.
  bool Eligible(const Machine& m, const Request& r, const Places& places) const {
    const TaskClass& c = ClassOf(r.task);
    if (c.node_kind >= 0 && static_cast<unsigned>(c.node_kind) != m.entry.kind) return false;
    if (std::count(r.tried.begin(), r.tried.end(), m.entry.node) > 0) return false;
    const bool smaller = r.task.cores < m.full_cores && r.task.memory < m.full_memory;
    if (now_ < m.leaving_until || (now_ < m.full_until && !smaller)) return false;
    if (FailsClass(m, r.task.task_class)) return false;
    return RulesAllow(m, r, places) && Fits(m, r.task) && Trusted(m);
  }

  // Ranks the eligible machines under the cap by normalized service capacity; null when there is none.
  Machine* Pick(const Request& r) {
    const double mine = ratio_[r.task.task_class];
    double average = 0.0;
    const double level = Level(&average);
    doubt_ = MostLookBad();
    const double cap = kTopRatio * reference_cores_ * set_.overcommit_cores / set_.mean_cores;
    std::vector<Ranked> ranked;
    double best = 0.0;
    const std::uint64_t service = r.task.service;
    const auto its = together_.find(service);
    const Together none, &warm = its != together_.end() ? its->second : none;
    auto next = warm.begin();  // both are in the order of machines
    const Places places = PlacesOf(r.task);
    for (Machine* one : fleet_) {
      Machine& m = *one;
      if (!Eligible(m, r, places)) continue;
      const double capacity = m.capacity;  // empty is not roomy while it is cold
      const double load = m.cold ? std::max(m.load, average * capacity) : m.load;
      if ((load + mine) / capacity > cap) continue;
      const double sum =
          std::max({load, BusyLoad(m), level * capacity}) + kStartWeight * m.waiting * mine + mine;
      while (next != warm.end() && next->first < m.entry.node) ++next;
      ranked.push_back({capacity * mine / sum, &m, next != warm.end() && next->first == m.entry.node});
    }
    const bool known = std::any_of(ranked.begin(), ranked.end(), [](const Ranked& one) { return one.warm; });
    const std::size_t homes = known ? 0 : std::min(kHomes, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + homes, ranked.end(), [&](const auto& a, const auto& b) {
          return Mix(service ^ Mix(a.node->entry.node)) > Mix(service ^ Mix(b.node->entry.node));
        });
    for (std::size_t i = 0; i < ranked.size(); ++i) {
      if (i < homes || ranked[i].warm) ranked[i].value *= kWarmLead;
      best = std::max(best, ranked[i].value);
    }
    std::erase_if(ranked, [best](const auto& one) { return one.value < best * (1.0 - kNearTie); });
    // Among ties, where another zone has its price, our own.
    const auto ours = [&](const Ranked& one) { return int(one.node->entry.zone) == set_.own_zone; };
    if (set_.cross_zone_price > 0.0 && std::any_of(ranked.begin(), ranked.end(), ours))
      std::erase_if(ranked, std::not_fn(ours));
    return ranked.empty() ? nullptr : ranked[Draw(ranked.size())].node;
  }

  // Hundreds see one equal late view and would all send to the machines that are emptiest in it. Until a send
  // shows, they fill those up unseen, the lowest first: up to this level (of load by capacity) machines tie.
  // The average is that of the warm machines, without what is unseen.
  double Level(double* average) {
    std::vector<std::pair<double, double>> low;  // load by capacity, capacity
    double all_load = 0.0, all_capacity = 0.0;
    low.reserve(fleet_.size());
    for (Machine* m : fleet_) {
      m->load = Load(*m), m->capacity = Capacity(*m), m->cold = Cold(*m);
      if (m->cold) continue;
      all_load += m->load;
      all_capacity += m->capacity;
      low.emplace_back(m->load / m->capacity, m->capacity);
    }
    *average = all_capacity > 0.0 ? all_load / all_capacity : 0.0;
    std::sort(low.begin(), low.end());
    const double others = (set_.group_size - 1.0) / set_.group_size;  // our own sends we know
    double unseen = 2.0 * others * place_rate_ * static_cast<double>(now_ - ViewTrueAt()) * even_;
    double capacity = 0.0, level = 0.0;
    for (const auto& one : low) capacity += one.second;
    fleet_capacity_ = capacity;
    unseen_by_capacity_ = capacity > 0.0 ? unseen / even_ / capacity : 0.0;
    capacity = 0.0;
    for (std::size_t i = 0; i < low.size(); ++i) {
      level = low[i].first;
      capacity += low[i].second;
      const double next = i + 1 < low.size() ? low[i + 1].first : std::numeric_limits<double>::max();
      if (unseen < capacity * (next - level)) return level + unseen / capacity;
      unseen -= capacity * (next - level);
    }
    return level;
  }

  static std::uint64_t Mix(std::uint64_t z) {  // splitmix64
    z += 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  std::size_t Draw(std::size_t count) {
    const std::uint64_t drawn = Mix(random_);
    random_ += 0x9e3779b97f4a7c15u;
    return static_cast<std::size_t>(drawn % count);
  }

  // ---- Attempts and answers ----

  // Rule 2: may another attempt of this request go out to m at all?
  bool EffectAllows(const Machine& m, const Request& r) const {
    if (!r.may_have_run) return true;
    const TaskClass& c = ClassOf(r.task);
    if (c.idempotency != Idempotency::kWithKey) return c.idempotency == Idempotency::kIdempotent;
    if (now_ >= r.bound_since + c.deduplication_window) return false;
    const auto first = machines_.find(r.bound_to);
    if (first == machines_.end()) return false;
    if (c.deduplication_scope == DeduplicationScope::kRack) return first->second.entry.rack == m.entry.rack;
    if (c.deduplication_scope == DeduplicationScope::kZone) return first->second.entry.zone == m.entry.zone;
    return true;
  }

  // Another try, or the final answer when there is nobody to ask.
  void Proceed(Request& r) {
    Machine* m = now_ < r.task.deadline && r.made < set_.max_attempts ? Pick(r) : nullptr;
    if (m == nullptr || !Send(r, *m)) Conclude(r);
  }

  // The one place that sends, behind the guards of every rule.
  bool Send(Request& r, Machine& m) {
    if (r.answered || r.out || r.placed || r.made >= set_.max_attempts || now_ >= r.task.deadline ||
        !RulesAllow(m, r, PlacesOf(r.task)))
      return false;
    r.node = m.entry.node;
    r.sent = now_;
    r.out = true;
    r.cancelling = false;
    if (Cold(m)) {
      while (!m.cold_sent.empty() && m.cold_sent.front() + set_.slow_start_window < now_)
        m.cold_sent.pop_front();
      m.cold_sent.push_back(now_);
    }
    Hold(r, m, now_);
    ++m.waiting;
    waiting_.insert(r.task.request);
    out_->push_back(StartAttempt{r.task.request, r.made++, r.node, r.task.deadline});
    return true;
  }

  void Hold(Request& r, Machine& m, Micros since) {
    r.held_since = since;
    m.own.Start(OwnOf(r));
    auto& [there, lately] = together_[r.task.service][m.entry.node];
    ++there, ++lately;
  }

  void Leave(std::uint64_t service, NodeId machine) {
    const auto its = together_.find(service);
    if (--its->second[machine].second == 0) its->second.erase(machine);
    if (its->second.empty()) together_.erase(its);
  }

  // Rules 1 and 2: the one final answer. A refusal says that asking again is harmless: true where nothing may
  // have run, where a repeat does no harm, or where every machine would discard it.
  void Conclude(Request& r) {
    if (r.answered) return;
    r.answered = true;
    const TaskClass& c = ClassOf(r.task);
    const bool harmless =
        !r.may_have_run || c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kWithKey && c.deduplication_scope == DeduplicationScope::kAll);
    if (harmless) return out_->push_back(RejectTask{r.task.request, 0});
    out_->push_back(FailTask{r.task.request});
  }

  void Forget(RequestId id) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.answered && !it->second.out) requests_.erase(it);
  }

  void Unwait(const Request& r, Machine& m) {
    if (waiting_.erase(r.task.request) > 0 && m.waiting > 0) --m.waiting;
  }

  // ---- Health ----

  void Heard(Machine& m) {
    m.heard = now_;
    m.strikes = 0;
    m.probes_failed = 0;
    m.shunned_until = 0;
  }

  // It fails this class, whatever it does with others: trust in it for those stays.
  void FailClass(Machine& m, unsigned task_class) {
    ClassHealth& health = m.failing[task_class];
    health.shunned_until = now_ + std::min(kClassShunMost, kClassShunFirst << std::min(health.failures++, 8));
  }
  bool FailsClass(const Machine& m, unsigned task_class) const {
    const auto it = m.failing.find(task_class);
    return it != m.failing.end() && now_ < it->second.shunned_until;
  }

  void Note(Machine& m, const LoadReport& report) {
    if (!report.utilisation || !Sane(*report.utilisation)) return;
    m.busy = std::min(1.0, *report.utilisation);
    m.busy_at = now_;
  }

  void Strike(Machine& m, const char* why) {
    if (now_ < m.shunned_until) return;
    m.shunned_until = now_ + std::min(kShunMost, kShunFirst << std::min(m.strikes, 8));
    ++m.strikes;
    if (m.strikes == 1) Log("machine " + std::to_string(m.entry.node) + " left out: " + why);
  }

  // A machine with bad signs gets no offers for a while, then one at a time until it is heard. A grey machine
  // looks emptier the less it does and would draw the largest share. When most look bad, doubt ourselves.
  bool Trusted(const Machine& m) const {
    return doubt_ || ((m.strikes == 0 || (now_ >= m.shunned_until && m.waiting == 0)) && !m.still);
  }
  bool MostLookBad() {
    int bad = 0;
    for (Machine* m : fleet_) {
      m->still = Still(*m);
      bad += m->strikes > 0 || m->still;
    }
    return bad > kDoubtShare * static_cast<int>(fleet_.size());
  }

  // The list tells all alike: a machine that holds tasks and whose entry stood still while its part of the
  // fleet's starts was due takes and ends nothing. It hangs, or is gone unlisted; a change of its entry
  // clears it.
  bool Still(const Machine& m) const {
    if (!set_.list_has_free_capacity || Cold(m) || m.entry.free_cores >= KindOf(m).cores || m.changed_at == 0)
      return false;
    if (m.heard > m.changed_at) return false;  // our own word from it is worth more
    const double part = fleet_capacity_ > 0.0 ? Capacity(m) / fleet_capacity_ : 0.0;
    const double seen = list_at_ > m.changed_at ? static_cast<double>(list_at_ - m.changed_at) : 0.0;
    return 2.0 * place_rate_ * part * seen > kStillStarts;
  }

  // An offer out for long at a machine not heard since: ask by probe where that is allowed, else strike; then
  // take the offer back where another try is harmless and possible. A time-out proves nothing.
  void Watch(Request& r) {
    Machine& m = machines_[r.node];
    if (!r.out || r.placed || r.cancelling || m.heard >= r.sent) return;
    const Micros age = now_ - r.sent;
    if (set_.may_check_health && age >= kProbeAfter && !m.probing && now_ >= m.probed_at + kProbeAfter) {
      m.probing = true;
      m.probed_at = now_;
      out_->push_back(StartHealthCheck{r.node});
    }
    const bool silent = m.probes_failed >= kProbesFailed ||
                        age >= (set_.started_means_running ? kSilentStart : kSilentAccept);
    if (!silent) return;
    Strike(m, "silent");
    if (!set_.may_cancel || r.made >= set_.max_attempts ||
        ClassOf(r.task).idempotency == Idempotency::kNotIdempotent)
      return;
    Request as_if = r;  // would there be another machine?
    as_if.out = false;
    if (!as_if.may_have_run) as_if.bound_since = r.sent, as_if.bound_to = r.node;
    as_if.may_have_run = true;
    if (Pick(as_if) == nullptr) return;
    r.cancelling = true;
    out_->push_back(CancelAttempt{r.task.request, r.made - 1});
  }

  void Log(const std::string& text) {
    if (now_ < logged_at_ + kSecond && logged_at_ != 0) return;
    logged_at_ = now_;
    out_->push_back(LogLine{text});
  }

  // ---- Guards ----

  bool Cold(const Machine& m) const {
    return m.entry.started_at != 0 && now_ < m.entry.started_at + set_.slow_start_duration;
  }

  // Rule 4: all schedulers together must stay within what a cold machine always bears, so each keeps to its
  // part of it in any window. Where the group is too large for that, teams take turns of one window, counted
  // from the machine's start by own number: a window meets two turns, so a team holds half of the budget and
  // each member sends once. One that has just started may have spent its part before, and waits. Without a
  // sound group size and own number nothing is sent.
  bool ColdAllows(const Machine& m) const {
    if (!Cold(m)) return true;
    const Micros window = set_.slow_start_window, start = m.entry.started_at;
    if (!knows_group_ || now_ >= group_sure_until_) return false;
    if (window == 0 || now_ < start || now_ < group_until_) return false;
    const auto group = static_cast<std::uint64_t>(set_.group_size);
    const auto borne = static_cast<std::uint64_t>(std::clamp(set_.slow_start_budget, 0.0, 1e9));
    std::uint64_t allowance = borne / group;
    Micros since = now_ > window ? now_ - window : 0;
    if (allowance == 0) {
      if (borne < 2) return false;
      const std::uint64_t teams = (group + borne / 2 - 1) / (borne / 2), turn = (now_ - start) / window;
      if ((static_cast<std::uint64_t>(set_.self_index) + m.entry.node + turn) % teams != 0) return false;
      allowance = 1;
      since = start + turn * window;
    }
    if (born_ > start && born_ > since) return false;
    const auto recent =
        std::count_if(m.cold_sent.begin(), m.cold_sent.end(), [since](Micros at) { return at >= since; });
    return static_cast<std::uint64_t>(recent) < allowance;
  }

  // Rule 5: own tasks of the service by place, running ones too; one more must be within the stated most.
  static unsigned PlaceOf(const NodeEntry& e, TopologySpread spread) {
    return spread == TopologySpread::kNode ? e.node : spread == TopologySpread::kRack ? e.rack : e.zone;
  }
  Places PlacesOf(const Task& task) const {
    Places places;
    const TaskClass& c = ClassOf(task);
    const auto its = together_.find(task.service);
    if (c.topology_spread == TopologySpread::kNone || c.max_per_domain <= 0 || its == together_.end())
      return places;
    for (const auto& [id, count] : its->second) {
      if (count.first > 0) places[PlaceOf(machines_.at(id).entry, c.topology_spread)] += count.first;
    }
    return places;
  }

  // Rules 2 to 5 for one send. Rule 3: nothing goes to a machine from the moment it is told draining or gone.
  bool RulesAllow(const Machine& m, const Request& r, const Places& places) const {
    if (!m.listed || m.entry.state != NodeState::kReady || !EffectAllows(m, r) || !ColdAllows(m))
      return false;
    const auto there =
        places.empty() ? places.end() : places.find(PlaceOf(m.entry, ClassOf(r.task).topology_spread));
    return there == places.end() || there->second < ClassOf(r.task).max_per_domain;
  }

  // ---- Event handlers ----

  void On(const NodeListUpdate& view) {
    asking_ = false;
    if (view.kind == NodeListKind::kUnavailable) {
      ask_at_ = now_ + (ask_wait_ = std::min(kAskMost, ask_wait_ * 2));
      return;
    }
    const bool changes = view.kind == NodeListKind::kDelta;
    if (set_.list_on_request && view.kind == NodeListKind::kCached) Ask();
    if (view.kind != NodeListKind::kCached) ask_wait_ = kAskFirst;
    for (auto& [id, m] : machines_) {
      m.seen_cores = m.entry.free_cores;
      if (!changes) m.listed = false;
    }
    for (const NodeEntry& e : view.nodes) {
      Machine& m = machines_[e.node];
      const bool restarted = m.listed && e.started_at != m.entry.started_at;
      const bool fresh = !m.listed;
      const bool moved = e.free_cores != m.entry.free_cores || e.free_memory != m.entry.free_memory;
      if (restarted || fresh || moved) m.changed_at = now_;
      m.entry = e;
      if (!Sane(std::fabs(e.free_cores))) m.entry.free_cores = 0.0;
      if (!Sane(std::fabs(e.free_memory))) m.entry.free_memory = 0.0;
      m.listed = e.state != NodeState::kGone;
      if (restarted) {  // a new life: old signs say nothing of it
        Heard(m);
        m.full_until = m.leaving_until = 0;
        m.failing.clear();
      }
      if (restarted || fresh) m.seen_cores = m.entry.free_cores;
    }
    if (changes && set_.list_has_free_capacity && list_at_ != 0 && now_ > list_at_) {
      LearnLag(list_at_, now_);
      double placed = 0.0;
      for (const auto& [id, m] : machines_) {
        if (m.listed) placed += std::max(0.0, m.seen_cores - m.entry.free_cores) / set_.mean_cores;
      }
      place_rate_ += (placed / static_cast<double>(now_ - list_at_) - place_rate_) * kRateGain;
    }
    if (place_rate_ == 0.0) {
      for (const auto& [id, m] : machines_) {
        if (m.listed) place_rate_ += std::max(0.0, KindOf(m).cores - m.entry.free_cores) / set_.mean_cores;
      }
      place_rate_ /= static_cast<double>(kLifeGuess);
    }
    list_at_ = now_;
    fleet_.clear();
    for (auto it = machines_.begin(); it != machines_.end();) {
      Machine& m = (it++)->second;
      if (m.listed && m.entry.state == NodeState::kReady) fleet_.push_back(&m);
      if (m.full_at < ViewTrueAt()) m.full_until = 0;  // the view is later than its answer
      m.own.MoveTo(set_.list_has_free_capacity ? ViewTrueAt() : 0, now_ > kLagMost ? now_ - kLagMost : 0);
      if (m.listed || m.own.count() > 0) m.needed_at = now_;
      if (now_ > m.needed_at + kGoneKept) machines_.erase(std::prev(it));
    }
    FindReference();
  }

  void On(const TaskSubmitted& arrival) {
    const Task& task = arrival.task;
    if (requests_.count(task.request) > 0) return;  // told before
    if (task.task_class >= set_.classes.size() || !Sane(task.cores) || !Sane(task.memory)) {
      return out_->push_back(RejectTask{task.request, 0});  // nobody can place it, and nothing has run
    }
    Request& r = requests_[task.request];
    r.task = task;
    Proceed(r);
    Forget(task.request);
  }

  void On(const TaskRecovered& running) {
    const Task& task = running.task;
    if (requests_.count(task.request) > 0 || task.task_class >= set_.classes.size()) return;
    Request& r = requests_[task.request];
    r.task = task;
    if (!Sane(r.task.cores)) r.task.cores = 0.0;
    if (!Sane(r.task.memory)) r.task.memory = 0.0;
    r.made = 1;
    r.placed = r.out = r.answered = true;
    r.node = running.node;
    Machine& m = machines_[running.node];
    m.entry.node = running.node;
    Hold(r, m, 1);  // long there: inside any view
  }

  void On(const TaskStarted& placed) {
    const auto it = requests_.find(placed.request);
    if (it == requests_.end() || !it->second.out || placed.attempt + 1 != it->second.made) return;
    Request& r = it->second;
    Machine& m = machines_[r.node];
    if (!starts_told_) Unwait(r, m);  // else it still waits there for its start
    r.placed = r.answered = true;
    Heard(m);
    if (set_.started_means_running) m.failing.erase(r.task.task_class);
  }

  void On(const TaskProgress& note) {
    const auto it = requests_.find(note.request);
    if (it == requests_.end() || !it->second.out) return;
    if (note.kind == ProgressKind::kRunning)
      starts_told_ = true, Unwait(it->second, machines_[it->second.node]);
    Heard(machines_[it->second.node]);
  }

  void On(const AttemptEnded& o) {
    const auto it = requests_.find(o.request);
    if (it == requests_.end() || !it->second.out || o.attempt + 1 != it->second.made) return;
    Request& r = it->second;
    Machine& m = machines_[r.node];
    Unwait(r, m);
    r.out = false;
    r.tried.push_back(r.node);  // whatever the reason, a further try asks another machine
    const bool never_ran = o.result == AttemptResult::kRejected || o.result == AttemptResult::kUnreachable ||
                           o.result == AttemptResult::kNotSent;
    // What was turned away held no room, and left no program: kept as ended, it would show room to come in
    // any view younger than the offer, and the machine that just refused would lead.
    --together_[r.task.service][r.node].first;
    if (!never_ran || r.placed) {
      m.own.End(OwnOf(r), now_);
      ended_.emplace_back(now_, r.node, r.task.service, OwnOf(r));
    } else {
      m.own.Drop(OwnOf(r));
      Leave(r.task.service, r.node);
    }
    Note(m, o.report);
    switch (o.result) {
      case AttemptResult::kError:
        FailClass(m, r.task.task_class);
        Heard(m);
        break;
      case AttemptResult::kCompleted:
        m.failing.erase(r.task.task_class);
        Heard(m);
        break;
      case AttemptResult::kRejected:
        // Too many offers wait: a hung machine says so for as long as it hangs, while its list entry looks
        // ever roomier. So it is a bad sign, not a sign of life; a merely busy machine is heard again soon.
        if (o.reason == RejectionReason::kQueueFull) {
          Strike(m, "its line of offers is full");
          break;
        }
        Heard(m);
        if (o.reason == RejectionReason::kNotAccepting) {
          if (!r.may_have_run) m.leaving_until = now_ + kLeavingSkip;  // else a copy may stand there
          break;
        }
        m.full_at = now_;
        m.full_cores = r.task.cores;
        m.full_memory = r.task.memory;
        m.full_until = now_ + kFullSkip;
        break;
      case AttemptResult::kTimedOut:
        m.heard < r.sent ? Strike(m, "no answer in time") : FailClass(m, r.task.task_class);
        break;
      case AttemptResult::kUnreachable:
        Strike(m, "unreachable");
        break;
      case AttemptResult::kLost:  // told why, the machine lives; else it is likely gone, before any list says
                                  // so
        if (o.reason == RejectionReason::kUnspecified) {
          Strike(m, "lost a task");
          break;
        }
        Heard(m);
        if (o.reason == RejectionReason::kDrained) m.leaving_until = now_ + kLeavingSkip;
        break;
      case AttemptResult::kCancelled:
      case AttemptResult::kNotSent:
        break;
    }
    if (!r.placed && !never_ran && !r.may_have_run) {
      r.may_have_run = true;
      r.bound_since = r.sent;
      r.bound_to = r.node;
    }
    if (o.request_closed) r.answered = true;
    if (!r.answered) o.result == AttemptResult::kNotSent ? Conclude(r) : Proceed(r);
    Forget(o.request);
  }

  void On(const TaskCancelled& gone) {
    if (const auto it = requests_.find(gone.request); it != requests_.end()) it->second.answered = true;
    Forget(gone.request);
  }

  void On(const HealthCheckResult& probe) {
    const auto it = machines_.find(probe.node);
    if (it == machines_.end()) return;
    it->second.probing = false;
    Note(it->second, probe.report);
    if (probe.answered) return Heard(it->second);
    ++it->second.probes_failed;
  }

  // Rule 4 while schedulers come and go. Others may learn of a change later than we do, by as much as a list
  // may be behind; until all count alike, shares of the old and the new number could add up to more than a
  // cold machine bears. So nothing is sent to cold machines until the change is old news to all. Who is not
  // sure sends none; who was unsure for a while in which nobody came or went goes on as before.
  void On(const MembershipChange& group) {
    const bool sure = group.index >= 0 && group.index < group.size;
    const bool same = sure && group.size == set_.group_size && group.index == set_.self_index;
    group_sure_until_ = group.valid_until;
    const bool as_before = same && (knows_group_ || group.undisturbed);
    knows_group_ = sure;
    if (group.size > 0) set_.group_size = group.size;
    if (!sure || as_before) return;
    set_.self_index = group.index;
    group_until_ = now_ + kLagSteps * kLagStep + set_.slow_start_window;
  }

  void On(const TimerFired& alarm) {
    if (alarm.token != kBeatToken) return;
    out_->push_back(SetTimer{now_ + kBeat, kBeatToken});
    const std::vector<RequestId> waiting(waiting_.begin(), waiting_.end());
    for (RequestId id : waiting) Watch(requests_.at(id));
    const Micros old = now_ > kLagSteps * kLagStep + kSecond ? now_ - kLagSteps * kLagStep - kSecond : 0;
    for (; !ended_.empty() && std::get<0>(ended_.front()) < old; ended_.pop_front()) {
      const auto& [at, machine, service, task] = ended_.front();
      machines_[machine].own.Forget(task, at);
      Leave(service, machine);
    }
    if (!set_.list_on_request || asking_) return;
    if (ask_at_ != 0 ? now_ >= ask_at_ : now_ >= list_at_ + kListQuiet) Ask();
  }

  void Ask() {
    asking_ = true;
    ask_at_ = 0;
    out_->push_back(WatchNodes{});
  }

  Settings set_;
  std::uint64_t random_;
  std::vector<double> ratio_;  // m_j
  double even_ = 0.0;          // their mean, of the classes evenly
  std::vector<Action>* out_ = nullptr;
  Micros now_ = 0, born_ = 0, logged_at_ = 0;
  std::map<NodeId, Machine> machines_;
  std::vector<Machine*> fleet_;  // those listed and ready, in their order; changes with views alone
  // Own tasks that ended, with when, where and their service, for as long as a view may not yet show it.
  std::deque<std::tuple<Micros, NodeId, std::uint64_t, OwnTask>> ended_;
  std::map<RequestId, Request> requests_;
  std::set<RequestId> waiting_;                           // offers out and not placed
  std::unordered_map<std::uint64_t, Together> together_;  // by service
  double reference_cores_ = 1.0;
  bool knows_group_ = false;  // group size and own number make sense
  Micros group_until_ = 0;    // a change of the group may not be known to all until then
  Micros group_sure_until_ = ~Micros{0};
  Micros list_at_ = 0;  // when the last view came
  int top_priority_ = 0;
  double unseen_by_capacity_ = 0.0;
  double fleet_capacity_ = 0.0;
  bool doubt_ = false;       // most of the fleet looks bad: more likely it is us
  double place_rate_ = 0.0;  // tasks a microsecond, all schedulers
  std::size_t lag_ = kLagFirst, views_ = 0;
  std::vector<double> lag_error_;
  bool asking_ = false, starts_told_ = false;  // an answer of the list is due; notes of starts come
  Micros ask_at_ = 0, ask_wait_ = kAskFirst;
};

Scheduler::Scheduler(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace mountflow
