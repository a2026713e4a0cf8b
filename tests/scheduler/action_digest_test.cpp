// Compares a digest of all actions over more than 100,000 events from eight seeds with recorded values. A
// change of names or structure must not change the digests. A change of a decision must update them and
// explain why. The digests exclude the texts of log lines, which may be reworded.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "tests/support/digest.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
constexpr Micros kStart = 1'000 * kSecond;
constexpr Micros kSimulatedTime = 100 * kSecond;
constexpr unsigned kNodeCount = 40;

// Simulates nodes, clients and node lists with random behaviour from one seed. They react to the scheduler's
// actions.
class RandomCluster {
 public:
  explicit RandomCluster(std::uint64_t seed)
      : random_(seed), settings_(RandomSettings(seed)), scheduler_(settings_, seed) {
    for (unsigned i = 0; i < kNodeCount; ++i) {
      NodeEntry entry;
      entry.node = i + 1;
      entry.rack = i / 4;
      entry.zone = i / 16;
      entry.kind = i % 5 == 0 ? 1 : 0;
      entry.started_at = i % 7 == 0 ? kStart - Draw(20 * kSecond) : 0;
      entry.free_cores = settings_.node_kinds[entry.kind].cores;
      entry.free_memory = settings_.node_kinds[entry.kind].memory;
      entries_[entry.node] = entry;
    }
  }

  void Run() {
    Push(kStart, List(NodeListKind::kSnapshot));
    for (Micros at = kStart + 300 * kMs; at < kStart + kSimulatedTime; at += 300 * kMs + Draw(700 * kMs))
      DrawList(at);
    for (Micros at = kStart + kMs; at < kStart + kSimulatedTime; at += Draw(40 * kMs)) DrawArrival(at);
    for (Micros at = kStart + kSecond; at < kStart + kSimulatedTime; at += kSecond + Draw(3 * kSecond))
      DrawFault(at);
    std::vector<Action> actions;
    while (!scheduled_.empty()) {
      const ScheduledEvent next = scheduled_.top();
      scheduled_.pop();
      if (next.at > kStart + kSimulatedTime) break;
      actions.clear();
      Event event = next.event;
      if (auto* list = std::get_if<NodeListUpdate>(&event); list != nullptr && list->nodes.empty())
        FillList(list);
      ++events[event.index()];
      if (const auto* outcome = std::get_if<AttemptEnded>(&event)) {
        ++endings[static_cast<std::size_t>(outcome->result)];
      }
      scheduler_.Handle(next.at, event, &actions);
      for (const Action& action : actions) Apply(next.at, action);
    }
  }

  std::array<std::size_t, std::variant_size_v<Event>> events{};
  std::array<std::size_t, std::variant_size_v<Action>> actions{};
  std::array<std::size_t, 8> endings{};
  Digest digest;

 private:
  struct ScheduledEvent {
    Micros at;
    std::uint64_t order;
    Event event;
    bool operator>(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Attempt {
    unsigned number = 0;
    NodeId node = 0;
    bool accepted = false;
    Micros sent = 0;
  };

  static Settings RandomSettings(std::uint64_t seed) {
    Settings s;
    s.classes.resize(6);
    const Idempotency effects[] = {Idempotency::kNotIdempotent, Idempotency::kWithKey,
                                   Idempotency::kIdempotent};
    const DeduplicationScope scopes[] = {DeduplicationScope::kRack, DeduplicationScope::kZone,
                                         DeduplicationScope::kAll};
    const TopologySpread spreads[] = {TopologySpread::kNone, TopologySpread::kNode, TopologySpread::kRack,
                                      TopologySpread::kZone};
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
      TaskClass& c = s.classes[i];
      c.idempotency = effects[i % 3];
      c.deduplication_scope = scopes[(i + seed) % 3];
      c.deduplication_window = 4 * kSecond;
      c.topology_spread = spreads[(i + seed) % 4];
      c.max_per_domain = static_cast<int>(3 + i);
      c.node_kind = i == 5 ? 1 : -1;
      c.priority = static_cast<int>(i % 4);
    }
    s.node_kinds = {{32.0, 64.0}, {16.0, 128.0}};
    s.group_size = static_cast<int>(1 + seed % 5 * 4);
    s.self_index = seed == 6 ? -1 : static_cast<int>(seed % s.group_size);
    s.list_on_request = seed % 3 == 0;
    s.list_has_free_capacity = seed % 4 != 3;
    s.started_means_running = seed % 2 == 0;
    s.may_check_health = seed % 3 != 1;
    s.may_cancel = seed % 4 != 2;
    s.nodes_preempt = seed % 2 == 1;
    s.max_attempts = 3 + seed % 2;
    s.mean_cores = 1.5;
    s.mean_memory = 2.5;
    s.overcommit_cores = seed % 2 == 0 ? 1.0 : 1.2;
    s.drain_grace_period = 2 * kSecond;
    s.slow_start_initial_pace = 0.25;
    s.slow_start_duration = 12 * kSecond;
    s.overload_multiple = 2.0;
    s.slow_start_window = 2 * kSecond;
    s.slow_start_budget = 12.0;
    s.cross_zone_price = seed % 4 == 1 ? 0.1 : 0.0;
    return s;
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  void Push(Micros at, Event event) { scheduled_.push({at, ++order_, std::move(event)}); }

  // Returns a node list without entries. FillList() adds the current entries when the event is due.
  NodeListUpdate List(NodeListKind mode) const {
    NodeListUpdate list;
    list.kind = mode;
    return list;
  }
  void FillList(NodeListUpdate* list) {
    if (list->kind == NodeListKind::kUnavailable) return;
    for (auto& [id, entry] : entries_) {
      if (list->kind == NodeListKind::kDelta && Chance(40)) continue;
      entry.free_cores = settings_.node_kinds[entry.kind].cores - used_cores_[id];
      entry.free_memory = settings_.node_kinds[entry.kind].memory - 2.0 * used_cores_[id];
      list->nodes.push_back(entry);
    }
  }
  void DrawList(Micros at) {
    const NodeListKind mode = Chance(80)   ? NodeListKind::kDelta
                              : Chance(40) ? NodeListKind::kSnapshot
                              : Chance(50) ? NodeListKind::kCached
                                           : NodeListKind::kUnavailable;
    Push(at, List(mode));
  }
  void DrawArrival(Micros at) {
    Task task;
    task.request = ++last_request_;
    task.task_class = static_cast<unsigned>(Draw(6));
    task.tenant = static_cast<unsigned>(Draw(3));
    task.deadline = at + kSecond + Draw(6 * kSecond);
    task.key = task.request;
    task.service = 1 + Draw(60);
    task.cores = 0.5 * static_cast<double>(1 + Draw(8));
    task.memory = 2.0 * task.cores;
    tasks_[task.request] = task;
    if (Chance(2)) {
      const auto node = static_cast<NodeId>(1 + Draw(kNodeCount));
      Push(at, TaskRecovered{task, node});
      attempts_[task.request] = {0, node, true, at};
      Push(at + Draw(8 * kSecond),
           End(task.request, AttemptResult::kCompleted, RejectionReason::kUnspecified, true));
      return;
    }
    Push(at, TaskSubmitted{task});
    if (Chance(4)) Push(at + Draw(2 * kSecond), TaskCancelled{task.request});
  }
  void DrawFault(Micros at) {
    NodeEntry& entry = entries_[static_cast<NodeId>(1 + Draw(kNodeCount))];
    switch (Draw(5)) {
      case 0:
        entry.state = NodeState::kDraining;
        break;
      case 1:
        entry.state = NodeState::kGone;
        break;
      case 2:
        entry.started_at = at;
        entry.state = NodeState::kReady;
        break;
      case 3:
        silent_.push_back(entry.node);
        if (silent_.size() > 3) silent_.erase(silent_.begin());
        break;
      default: {
        MembershipChange change;
        change.size = static_cast<int>(1 + Draw(12));
        change.index = Chance(80) ? static_cast<int>(Draw(change.size)) : -1;
        change.valid_until = Chance(50) ? at + 20 * kSecond : ~Micros{0};
        change.undisturbed = Chance(30);
        Push(at, change);
        for (auto& [id, one] : entries_) {
          if (Chance(50)) one.state = NodeState::kReady;
        }
      }
    }
  }

  LoadReport DrawReport() {
    LoadReport report;
    if (Chance(50)) report.utilisation = static_cast<double>(Draw(120)) / 100.0;
    if (Chance(30)) report.free_cores = static_cast<double>(Draw(32));
    if (Chance(30)) report.queued = static_cast<double>(Draw(5));
    return report;
  }
  AttemptEnded End(RequestId request, AttemptResult ending, RejectionReason cause, bool closed) {
    const Attempt& attempt = attempts_[request];
    AttemptEnded outcome;
    outcome.request = request;
    outcome.attempt = attempt.number;
    outcome.node = attempt.node;
    outcome.elapsed = Draw(kSecond);
    outcome.request_closed = closed;
    outcome.result = ending;
    outcome.reason = cause;
    outcome.report = DrawReport();
    if (attempt.accepted) used_cores_[attempt.node] -= tasks_[request].cores;
    return outcome;
  }
  bool Silent(NodeId node) const { return std::find(silent_.begin(), silent_.end(), node) != silent_.end(); }
  void DrawOutcome(Micros now, const StartAttempt& start) {
    Attempt& attempt = attempts_[start.request];
    attempt = {start.attempt, start.node, false, now};
    const Micros soon = now + 2 * kMs + Draw(80 * kMs);
    if (Silent(start.node)) {
      Push(std::max(start.deadline, soon),
           End(start.request, AttemptResult::kTimedOut, RejectionReason::kUnspecified, true));
      return;
    }
    const std::uint64_t outcome_draw = Draw(100);
    if (outcome_draw < 4) {
      Push(soon, End(start.request, AttemptResult::kError, RejectionReason::kUnspecified, false));
    } else if (outcome_draw < 12) {
      Push(soon, End(start.request, AttemptResult::kRejected, static_cast<RejectionReason>(Draw(5)), false));
    } else if (outcome_draw < 15) {
      Push(soon, End(start.request, AttemptResult::kUnreachable, RejectionReason::kUnspecified, false));
    } else if (outcome_draw < 16) {
      Push(soon, End(start.request, AttemptResult::kNotSent, RejectionReason::kUnspecified, false));
    } else if (outcome_draw < 18) {
      Push(soon, End(start.request, AttemptResult::kTimedOut, RejectionReason::kUnspecified, false));
    } else {
      attempt.accepted = true;
      used_cores_[start.node] += tasks_[start.request].cores;
      Push(soon, TaskStarted{start.request, start.attempt, start.node, soon - now});
      if (Chance(50)) {
        Push(soon + Draw(kSecond), TaskProgress{start.request, start.attempt, start.node,
                                                static_cast<ProgressKind>(1 + Draw(5)), 1.0});
      }
      const bool lost = Chance(10);
      const RejectionReason cause =
          lost && Chance(70) ? static_cast<RejectionReason>(5 + Draw(3)) : RejectionReason::kUnspecified;
      Push(soon + kSecond + Draw(8 * kSecond),
           End(start.request, lost ? AttemptResult::kLost : AttemptResult::kCompleted, cause, true));
    }
  }

  void Apply(Micros now, const Action& action) {
    ++actions[action.index()];
    digest.Add(now);
    digest.Add(action.index());
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      digest.Add(start->request);
      digest.Add(start->attempt);
      digest.Add(start->node);
      digest.Add(start->deadline);
      DrawOutcome(now, *start);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      digest.Add(cancel->request);
      digest.Add(cancel->attempt);
      Push(now + Draw(100 * kMs),
           End(cancel->request, AttemptResult::kCancelled, RejectionReason::kUnspecified, false));
    } else if (const auto* rejection = std::get_if<RejectTask>(&action)) {
      digest.Add(rejection->request);
      digest.Add(rejection->retry_after);
    } else if (const auto* failure = std::get_if<FailTask>(&action)) {
      digest.Add(failure->request);
    } else if (const auto* migration = std::get_if<MigrateTask>(&action)) {
      digest.Add(migration->request);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      digest.Add(timer->at);
      digest.Add(timer->token);
      Push(timer->at, TimerFired{timer->token});
    } else if (const auto* health_check = std::get_if<StartHealthCheck>(&action)) {
      digest.Add(health_check->node);
      HealthCheckResult result;
      result.node = health_check->node;
      result.answered = !Silent(health_check->node) && Chance(80);
      result.elapsed = 20 * kMs;
      result.report = DrawReport();
      Push(now + 20 * kMs, result);
    } else if (std::holds_alternative<WatchNodes>(action)) {
      Push(now + Draw(400 * kMs), List(Chance(20) ? NodeListKind::kUnavailable : NodeListKind::kSnapshot));
    }
  }

  std::mt19937_64 random_;
  Settings settings_;
  Scheduler scheduler_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> scheduled_;
  std::uint64_t order_ = 0;
  RequestId last_request_ = 0;
  std::map<NodeId, NodeEntry> entries_;
  std::map<NodeId, double> used_cores_;
  std::map<RequestId, Task> tasks_;
  std::map<RequestId, Attempt> attempts_;
  std::vector<NodeId> silent_;
};

TEST(SchedulerDigest, DecidesAsRecordedOverEightSeeds) {
  const std::array<std::uint64_t, 8> recorded = {
      18177013480357751170u, 13875440072504271194u, 6195611895566752121u,  458947652732663386u,
      17182588617202541191u, 14309681671876226528u, 10304728278209876120u, 4934736519870471653u};
  std::array<std::size_t, std::variant_size_v<Event>> events{};
  std::array<std::size_t, std::variant_size_v<Action>> actions{};
  std::array<std::size_t, 8> endings{};
  for (std::uint64_t seed = 1; seed <= recorded.size(); ++seed) {
    RandomCluster cluster(seed);
    cluster.Run();
    EXPECT_EQ(cluster.digest.Value(), recorded[seed - 1]) << "seed " << seed;
    for (std::size_t i = 0; i < events.size(); ++i) events[i] += cluster.events[i];
    for (std::size_t i = 0; i < actions.size(); ++i) actions[i] += cluster.actions[i];
    for (std::size_t i = 0; i < endings.size(); ++i) endings[i] += cluster.endings[i];
  }
  std::size_t all = 0;
  for (std::size_t i = 0; i < events.size(); ++i) {
    EXPECT_GT(events[i], 50u) << "events of kind " << i;
    all += events[i];
  }
  EXPECT_GT(all, 100'000u);
  for (std::size_t i = 0; i < endings.size(); ++i) EXPECT_GT(endings[i], 50u) << "ending " << i;
  // The scheduler never migrates a running task and never reads the complete list. All other actions must
  // occur.
  const std::vector<std::size_t> never = {Action(MigrateTask{}).index(), Action(ListNodes{}).index()};
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const bool is_never = std::find(never.begin(), never.end(), i) != never.end();
    EXPECT_EQ(actions[i] == 0, is_never) << "actions of kind " << i << ": " << actions[i];
  }
}

}  // namespace
}  // namespace mountflow::testing
