// The core over restarts: what was told stands, what is owed is given, nothing runs twice.
#include <gtest/gtest.h>

#include <random>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

JobManagerOptions Durable() {
  JobManagerOptions o = Options();
  o.durable = true;
  return o;
}

// A core whose records are kept; Restart gives a new one what was kept, as a new process does.
class Lives {
 public:
  explicit Lives(JobManagerOptions o = Durable()) : options(o) {
    rig = std::make_unique<JobManagerFixture>(options);
  }
  JobManagerOptions options;
  std::unique_ptr<JobManagerFixture> rig;
  std::vector<std::string> kept;

  void Keep() {
    for (std::string& r : rig->core.TakeJournal()) kept.push_back(std::move(r));
  }
  void Restart(Micros away = kSecond) {
    Keep();
    const Micros now = rig->now + away;
    rig = std::make_unique<JobManagerFixture>(options, 8);
    rig->now = now;
    std::string expected;
    for (const std::string& r : kept) ASSERT_TRUE(rig->core.Restore(r, &expected)) << expected;
    ASSERT_TRUE(rig->core.FinishRestore(now, &expected)) << expected;
    rig->Collect();
  }
};

TEST(Restart, AnAnswerStandsAndWhatRunsIsAdopted) {
  Lives l;
  l.rig->List({JobManagerFixture::Node("a")});
  l.rig->SyncAll();
  const PrepareAttempt ask = l.rig->PlaceNew(1);
  l.Restart();
  const std::uint64_t job = ask.attempt.job;
  EXPECT_EQ(l.rig->Job(job).answer, FinalAnswer::kStarted);
  EXPECT_EQ(l.rig->Job(job).state, JobState::kRunning);
  l.rig->List({JobManagerFixture::Node("a")});
  ReportedAttempt held;
  held.attempt = ask.attempt;
  held.spec = *l.rig->Job(job).spec;
  ASSERT_TRUE(l.rig->Last<ReconcileNode>());
  l.rig->Take(NodeReconciled{ask.node, 0, {held}});
  EXPECT_NE(l.rig->Job(job).request, 0u);
  EXPECT_TRUE(l.rig->All<JobAnswered>().empty());
  l.rig->Take(AttemptFinished{ask.attempt, EndReason::kExited, 3, "", {}});
  EXPECT_EQ(l.rig->Job(job).state, JobState::kComplete);
  l.Restart();
  EXPECT_EQ(l.rig->Job(job).exit_status, 3);
  EXPECT_EQ(l.rig->core.Count().complete, 1u);
}

// A rehearsal found it: before its nodes had spoken a new life crowded a service beyond its spread.
TEST(Restart, WhatRunsOrMayRunCountsForTheSpreadBeforeItsNodeSpeaks) {
  JobManagerOptions o = Durable();
  o.settings.classes[1].topology_spread = TopologySpread::kRack;
  o.settings.classes[1].max_per_domain = 2;
  Lives l(o);
  l.rig->List({JobManagerFixture::Node("a")});
  l.rig->SyncAll();
  l.rig->PlaceNew(1);
  l.rig->Clear();
  const std::uint64_t doubt = l.rig->Submit(1);
  const PrepareAttempt ask = *l.rig->Last<PrepareAttempt>();
  l.rig->Take(AttemptPrepared{ask.attempt});
  l.Restart();
  l.rig->List({JobManagerFixture::Node("a")});
  l.rig->Clear();
  l.rig->Submit(1);
  EXPECT_FALSE(l.rig->Last<PrepareAttempt>()) << "one runs and one may: a third would be too many";
  // The node never had the one in doubt: it counts no more, and is asked for anew.
  l.rig->Run(l.rig->now + kSecond / 10);
  l.rig->Take(AttemptDisconnected{ask.attempt, true});
  l.rig->Take(QueryAnswered{ask.attempt, false});
  l.rig->Clear();
  l.rig->Run(l.rig->now + 3 * kSecond);
  ASSERT_TRUE(l.rig->Last<PrepareAttempt>());
  EXPECT_EQ(l.rig->Last<PrepareAttempt>()->attempt.job, doubt);
  EXPECT_EQ(l.rig->All<PrepareAttempt>().size(), 1u);
}

TEST(Restart, APlacedJobWhoseNodeLostItOrDiedOrIsGoneIsLostOnce) {
  for (const int how : {0, 1, 2}) {
    Lives l;
    l.rig->List({JobManagerFixture::Node("a", "rack", 5)});
    l.rig->SyncAll(5);
    const PrepareAttempt ask = l.rig->PlaceNew(1, "", true);
    l.Restart();
    const std::uint64_t job = ask.attempt.job;
    if (how == 0) {
      l.rig->List({JobManagerFixture::Node("a", "rack", 5)});
      l.rig->Take(NodeReconciled{ask.node, 5, {}});
    } else if (how == 1) {
      l.rig->List({JobManagerFixture::Node("a", "rack", l.rig->now)});
    } else {
      l.rig->List({JobManagerFixture::Node("b")});
    }
    EXPECT_EQ(l.rig->Job(job).state, JobState::kWaiting) << how;  // asked for anew, as its owner allows
    EXPECT_EQ(l.rig->Job(job).answer, FinalAnswer::kStarted);
    EXPECT_TRUE(l.rig->All<JobAnswered>().empty());
    l.rig->Run(l.rig->now + 5 * kSecond);
    EXPECT_EQ(l.rig->All<PrepareAttempt>().size(), 1u) << how;
  }
}

// The commit went out and the daemon died: the node is asked, and nothing else goes out before it answers.
TEST(Restart, WhatMayHaveRunIsAskedAfterBeforeAnythingGoesOut) {
  for (const bool found : {true, false}) {
    for (const unsigned task_class : {0u, 1u, 2u}) {
      Lives l;
      l.rig->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
      l.rig->SyncAll();
      l.rig->Clear();
      const std::uint64_t job = l.rig->Submit(task_class);
      const PrepareAttempt ask = *l.rig->Last<PrepareAttempt>();
      l.rig->Take(AttemptPrepared{ask.attempt});
      l.Restart();
      EXPECT_EQ(l.rig->Job(job).answer, FinalAnswer::kNone);
      l.rig->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
      for (const ReconcileNode& s : l.rig->All<ReconcileNode>()) l.rig->Take(NodeReconciled{s.node, 0, {}});
      l.rig->Run(l.rig->now + 2 * kSecond);
      ASSERT_TRUE(l.rig->Last<QueryAttempt>());
      EXPECT_EQ(l.rig->Last<QueryAttempt>()->attempt, ask.attempt);
      EXPECT_TRUE(l.rig->All<PrepareAttempt>().empty());
      l.rig->Take(QueryAnswered{ask.attempt, found});
      l.rig->Run(l.rig->now + kSecond);
      if (found) {
        EXPECT_EQ(l.rig->Job(job).answer, FinalAnswer::kStarted);
        EXPECT_EQ(l.rig->All<JobAnswered>().size(), 1u);
        EXPECT_TRUE(l.rig->All<PrepareAttempt>().empty());
      } else {
        EXPECT_EQ(l.rig->All<PrepareAttempt>().size(), 1u);  // it never ran and never will: asked for anew
        EXPECT_NE(l.rig->Last<PrepareAttempt>()->attempt, ask.attempt);
      }
    }
  }
}

TEST(Restart, WhatCannotBeSettledIsAnsweredInTimeAndStopped) {
  Lives l;
  l.rig->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
  l.rig->SyncAll();
  l.rig->Clear();
  const std::uint64_t job = l.rig->Submit(2);
  const PrepareAttempt ask = *l.rig->Last<PrepareAttempt>();
  l.rig->Take(AttemptPrepared{ask.attempt});
  const Micros give_up = l.rig->Job(job).give_up;
  l.Restart();
  l.rig->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
  l.rig->Run(give_up + 400 * kMs);  // its node never answers
  EXPECT_EQ(l.rig->Job(job).answer, FinalAnswer::kFailed);
  EXPECT_TRUE(l.rig->All<PrepareAttempt>().empty());
  ASSERT_TRUE(l.rig->Last<StopAttempt>());
  EXPECT_EQ(l.rig->Job(job).state, JobState::kExiting);
  l.rig->Take(StopAnswered{ask.attempt, false});
  EXPECT_EQ(l.rig->Job(job).state, JobState::kComplete);
}

TEST(Restart, WaitingHeldAndTimedJobsGoOnAndNothingIsRefusedForWantOfAList) {
  Lives l;
  const std::uint64_t waiting = l.rig->Submit(1);  // no node yet: the module refuses or waits
  JobSpec held;
  held.user = "thandi", held.task_class = 1, held.hold = "u", held.script = "echo";
  const std::uint64_t on_hold = l.rig->Submit(held);
  JobSpec timed = held;
  timed.hold.clear(), timed.due = l.rig->now + 60 * kSecond, timed.key = "k1";
  const std::uint64_t later = l.rig->Submit(timed);
  const FinalAnswer before = l.rig->Job(waiting).answer;
  l.Restart();
  EXPECT_EQ(l.rig->Job(waiting).answer, before);
  EXPECT_EQ(l.rig->Job(on_hold).state, JobState::kHeld);
  EXPECT_EQ(l.rig->Job(on_hold).spec->script, "echo");
  EXPECT_EQ(l.rig->core.FindJobByKey("thandi", "k1"), later);
  l.rig->Run(l.rig->now + 2 * kSecond);
  EXPECT_TRUE(l.rig->All<JobAnswered>().empty());
  l.rig->List({JobManagerFixture::Node("a")});
  l.rig->SyncAll();
  EXPECT_EQ(l.rig->core.Release(l.rig->now, on_hold, "thandi", "u"), CommandResult::kOk);
  l.rig->Collect();
  EXPECT_EQ(l.rig->All<PrepareAttempt>().size(), 1u);
  l.rig->Run(l.rig->now + 62 * kSecond);
  EXPECT_GE(l.rig->All<PrepareAttempt>().size(), 2u);
  EXPECT_GT(l.rig->core.NewJobNumber(), later);
}

TEST(Restart, ADeletedJobIsNotBroughtBackAndAForgottenOneIsGone) {
  JobManagerOptions o = Durable();
  o.history_kept = 2 * kSecond;
  Lives l;
  l.rig = std::make_unique<JobManagerFixture>(o);
  JobSpec held;
  held.user = "thandi", held.task_class = 1, held.hold = "u";
  const std::uint64_t job = l.rig->Submit(held);
  EXPECT_EQ(l.rig->core.Delete(l.rig->now, job, "thandi"), CommandResult::kOk);
  l.rig->Collect();
  l.Keep();
  l.Restart();
  ASSERT_NE(l.rig->core.Find(job), nullptr);
  EXPECT_EQ(l.rig->Job(job).state, JobState::kComplete);
  EXPECT_EQ(l.rig->Job(job).answer, FinalAnswer::kDeleted);
  l.rig->Run(l.rig->now + 700 * kSecond);  // by the second life's own time
  l.Restart();
  EXPECT_EQ(l.rig->core.Find(job), nullptr);
}

TEST(Restart, QueuesAndAccountsAreFoundByNameOrAskedFor) {
  Lives l;
  JobSpec spec;
  spec.user = "thandi", spec.queue = "unsafe", spec.task_class = 2, spec.hold = "u";
  const std::uint64_t job = l.rig->Submit(spec);
  l.Keep();
  JobManagerOptions turned = Durable();  // the same queues in another order
  std::swap(turned.classes[1], turned.classes[2]);
  std::swap(turned.settings.classes[1], turned.settings.classes[2]);
  JobManagerOptions without = Durable();
  without.classes[2] = "other";
  std::string expected;
  JobManager same(turned, 1, l.rig->now), missing(without, 1, l.rig->now);
  for (JobManager* core : {&same, &missing}) {
    for (const std::string& r : l.kept) ASSERT_TRUE(core->Restore(r, &expected)) << expected;
  }
  ASSERT_TRUE(same.FinishRestore(l.rig->now, &expected)) << expected;
  EXPECT_EQ(same.Find(job)->spec->task_class, 1u);
  EXPECT_FALSE(missing.FinishRestore(l.rig->now, &expected));
  EXPECT_NE(expected.find("expected queue 'unsafe' to be configured"), std::string::npos) << expected;
}

TEST(Restart, ASnapshotIsTheSameAsItsRecords) {
  Lives l;
  l.rig->List({JobManagerFixture::Node("a")});
  l.rig->SyncAll();
  for (unsigned i = 0; i < 12; ++i) l.rig->Submit(i % 3, i % 2 == 0 ? "key" + std::to_string(i) : "");
  l.Keep();
  JobManager again(Durable(), 1, l.rig->now);
  std::string expected;
  const std::string snapshot = l.rig->core.Snapshot();
  ASSERT_TRUE(ForEachRecord(snapshot, [&](std::string_view r) { return again.Restore(r, &expected); }))
      << expected;
  ASSERT_TRUE(again.FinishRestore(l.rig->now, &expected));
  EXPECT_EQ(again.Count().waiting + again.Count().complete + again.Count().held, 12u);
  JobManager other(Durable(), 1, l.rig->now);
  for (const std::string& r : l.kept) ASSERT_TRUE(other.Restore(r, &expected)) << expected;
  ASSERT_TRUE(other.FinishRestore(l.rig->now, &expected));
  EXPECT_EQ(again.Snapshot(), other.Snapshot());
  EXPECT_FALSE(ForEachRecord(snapshot.substr(0, snapshot.size() - 1), [](std::string_view) { return true; }));
}

TEST(Journal, WhatIsNoRecordIsNamed) {
  std::string expected;
  JournalRecord kept;
  EXPECT_FALSE(ReadRecord("", &kept, &expected));
  EXPECT_FALSE(ReadRecord(std::string("\7\1\1", 3), &kept, &expected));
  EXPECT_NE(expected.find("kind at byte 0"), std::string::npos);
  EXPECT_FALSE(ReadRecord(std::string("\1\2\1", 3), &kept, &expected));
  EXPECT_NE(expected.find("version"), std::string::npos);
  JobSpec spec;
  spec.script = "x", spec.cores = 1.5, spec.priority = -7, spec.passed = {{"a", "b"}};
  const std::string whole = WriteSpec(300, spec);
  ASSERT_TRUE(ReadRecord(whole, &kept, &expected)) << expected;
  EXPECT_EQ(kept.job, 300u);
  EXPECT_EQ(kept.spec.priority, -7);
  EXPECT_EQ(kept.spec.cores, 1.5);
  EXPECT_EQ(kept.spec.passed, spec.passed);
  // Every shorter text and every changed byte is read without harm.
  for (std::size_t i = 0; i < whole.size(); ++i) {
    EXPECT_FALSE(ReadRecord(whole.substr(0, i), &kept, &expected)) << i;
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = whole;
      changed[i] = static_cast<char>(changed[i] ^ (1 << bit));
      ReadRecord(changed, &kept, &expected);
    }
  }
}

// A model of nodes that runs what it is told, and a daemon that dies at random: every job is answered once,
// and no two attempts of one job run at a time.
TEST(Restart, AtAnyMomentOfARandomDayNothingRunsTwiceAndNothingIsAnsweredTwice) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&random](unsigned percent) { return random() % 100 < percent; };
    Lives l;
    const std::vector<ListedNode> nodes = {JobManagerFixture::Node("a"),
                                           JobManagerFixture::Node("b", "other"),
                                           JobManagerFixture::Node("c", "third")};
    std::map<NodeId, std::map<std::uint64_t, AttemptId>> runs;  // by node and job
    std::map<NodeId, std::set<std::string>> refused;            // asked after, and never accepted later
    std::map<std::uint64_t, int> answers;
    std::vector<std::pair<Micros, NodeMessage>> coming;
    std::vector<std::pair<NodeId, AttemptId>> commits;  // on the way; they outlive the daemon
    l.rig->List(nodes);
    const auto name = [&](const AttemptId& id) {
      return std::to_string(id.job) + "/" + std::to_string(id.number);
    };
    const auto arrive = [&] {
      for (const auto& [node, id] : std::exchange(commits, {})) {
        if (refused[node].count(name(id)) > 0) continue;
        for (const auto& [other, held] : runs) {
          EXPECT_EQ(held.count(id.job), 0u) << "seed " << seed << ": two attempts of one job run";
        }
        runs[node][id.job] = id;
        coming.emplace_back(l.rig->now, AttemptCommitted{id});
      }
    };
    const auto serve = [&] {
      l.Keep();
      std::vector<Output> outputs = std::exchange(l.rig->all, {});
      for (const Output& o : outputs) {
        const Micros soon = l.rig->now + random() % (300 * kMs);
        if (const auto* ask = std::get_if<PrepareAttempt>(&o)) {
          if (chance(80)) coming.emplace_back(soon, AttemptPrepared{ask->attempt});
        } else if (const auto* go = std::get_if<CommitAttempt>(&o)) {
          if (chance(90)) commits.emplace_back(go->node, go->attempt);
        } else if (const auto* stop = std::get_if<StopAttempt>(&o)) {
          auto& held = runs[stop->node];
          const bool had = held.count(stop->attempt.job) > 0 && held[stop->attempt.job] == stop->attempt;
          refused[stop->node].insert(name(stop->attempt));
          if (had) held.erase(stop->attempt.job);
          coming.emplace_back(soon, StopAnswered{stop->attempt, had});
          if (had)
            coming.emplace_back(soon + 1, AttemptFinished{stop->attempt, EndReason::kKilled, 9, "", {}});
        } else if (const auto* query = std::get_if<QueryAttempt>(&o)) {
          const auto& held = runs[query->node];
          const auto it = held.find(query->attempt.job);
          const bool had = it != held.end() && it->second == query->attempt;
          if (!had) refused[query->node].insert(name(query->attempt));
          coming.emplace_back(soon, QueryAnswered{query->attempt, had});
        } else if (const auto* sync = std::get_if<ReconcileNode>(&o)) {
          NodeReconciled s{sync->node, 0, {}};
          for (const auto& [job, id] : runs[sync->node]) {
            ReportedAttempt r;
            r.attempt = id;
            if (const Job* known = l.rig->core.Find(job)) r.spec = *known->spec;
            s.held.push_back(r);
          }
          coming.emplace_back(l.rig->now, s);
        } else if (const auto* answered = std::get_if<JobAnswered>(&o)) {
          EXPECT_EQ(++answers[answered->job], 1) << "seed " << seed;
        }
      }
    };
    const auto deliver = [&] {
      serve();
      std::sort(coming.begin(), coming.end(), [](const auto& x, const auto& y) { return x.first < y.first; });
      while (!coming.empty() && coming.front().first <= l.rig->now) {
        const NodeMessage m = coming.front().second;
        coming.erase(coming.begin());
        l.rig->Take(m);
        serve();
      }
    };
    std::vector<std::uint64_t> jobs;
    for (int step = 0; step < 400; ++step) {
      if (step < 250 && chance(15)) jobs.push_back(l.rig->Submit(random() % 3, "", chance(50)));
      if (chance(40)) arrive();
      for (auto& [node, held] : runs) {
        if (held.empty() || !chance(5)) continue;
        const AttemptId id = held.begin()->second;
        held.erase(held.begin());
        coming.emplace_back(l.rig->now, AttemptFinished{id, EndReason::kExited, 0, "", {}});
      }
      deliver();
      if (chance(4)) {  // it dies: what was on the way to it is lost, but for ends, which are told again
        std::vector<std::pair<Micros, NodeMessage>> ends;
        for (auto& c : coming) {
          if (std::holds_alternative<AttemptFinished>(c.second)) ends.push_back(std::move(c));
        }
        coming = std::move(ends);
        l.Restart(random() % (3 * kSecond));
        if (HasFatalFailure()) return;
        l.rig->List(nodes);
      }
      l.rig->Run(l.rig->now + 50 * kMs);
    }
    for (int i = 0; i < 400; ++i) {
      arrive();
      deliver();
      l.rig->Run(l.rig->now + 100 * kMs);
    }
    for (const std::uint64_t job : jobs) {
      const job_manager::Job* j = l.rig->core.Find(job);
      ASSERT_NE(j, nullptr);
      EXPECT_NE(j->answer, FinalAnswer::kNone)
          << "seed " << seed << " job " << job << " state " << static_cast<char>(j->state);
    }
  }
}

}  // namespace
}  // namespace mountflow::testing
