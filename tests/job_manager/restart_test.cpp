// Restarts of the job manager: final answers do not change, each job gets one, and no job runs twice.
#include <gtest/gtest.h>

#include <random>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

JobManagerOptions Durable() {
  JobManagerOptions options = Options();
  options.durable = true;
  return options;
}

// A job manager whose journal records are stored. Restart creates a new one from the records, as a new
// process does.
class RestartableJobManager {
 public:
  explicit RestartableJobManager(JobManagerOptions initial_options = Durable())
      : options(std::move(initial_options)) {
    fixture = std::make_unique<JobManagerFixture>(options);
  }
  JobManagerOptions options;
  std::unique_ptr<JobManagerFixture> fixture;
  std::vector<std::string> records;

  void StoreRecords() {
    for (std::string& r : fixture->job_manager.TakeJournal()) records.push_back(std::move(r));
  }
  void Restart(Micros downtime = kSecond) {
    StoreRecords();
    const Micros now = fixture->now + downtime;
    fixture = std::make_unique<JobManagerFixture>(options, 8);
    fixture->now = now;
    for (const std::string& record : records) {
      const auto restored = fixture->job_manager.Restore(record);
      ASSERT_TRUE(restored) << Describe(restored.error());
    }
    const auto finished = fixture->job_manager.FinishRestore(now);
    ASSERT_TRUE(finished) << Describe(finished.error());
    fixture->Collect();
  }
};

TEST(Restart, KeepsAnswersAndConfirmsRunningTasks) {
  RestartableJobManager daemon;
  daemon.fixture->List({JobManagerFixture::Node("a")});
  daemon.fixture->ReconcileAll();
  const PrepareAttempt prepare = daemon.fixture->SubmitAndStart(1);
  daemon.Restart();
  const std::uint64_t job = prepare.attempt.job;
  EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kStarted);
  EXPECT_EQ(daemon.fixture->Job(job).state, JobState::kRunning);
  daemon.fixture->List({JobManagerFixture::Node("a")});
  ReportedAttempt held;
  held.attempt = prepare.attempt;
  held.spec = *daemon.fixture->Job(job).spec;
  ASSERT_TRUE(daemon.fixture->Last<ReconcileNode>());
  daemon.fixture->Take(NodeReconciled{prepare.node, 0, {held}});
  EXPECT_NE(daemon.fixture->Job(job).request, 0u);
  EXPECT_TRUE(daemon.fixture->All<JobAnswered>().empty());
  daemon.fixture->Take(AttemptFinished{prepare.attempt, EndReason::kExited, 3, "", {}});
  EXPECT_EQ(daemon.fixture->Job(job).state, JobState::kComplete);
  daemon.Restart();
  EXPECT_EQ(daemon.fixture->Job(job).exit_status, 3);
  EXPECT_EQ(daemon.fixture->job_manager.Count().complete, 1u);
}

// Guards against a new incarnation that exceeds the topology spread of a service before its nodes have
// answered. A chaos test found this fault.
TEST(Restart, CountsTasksThatMayRunForTheTopologySpreadBeforeTheirNodesAnswer) {
  JobManagerOptions options = Durable();
  options.settings.classes[1].topology_spread = TopologySpread::kRack;
  options.settings.classes[1].max_per_domain = 2;
  RestartableJobManager daemon(options);
  daemon.fixture->List({JobManagerFixture::Node("a")});
  daemon.fixture->ReconcileAll();
  daemon.fixture->SubmitAndStart(1);
  daemon.fixture->Clear();
  const std::uint64_t in_doubt = daemon.fixture->Submit(1);
  const PrepareAttempt prepare = *daemon.fixture->Last<PrepareAttempt>();
  daemon.fixture->Take(AttemptPrepared{prepare.attempt});
  daemon.Restart();
  daemon.fixture->List({JobManagerFixture::Node("a")});
  daemon.fixture->Clear();
  daemon.fixture->Submit(1);
  EXPECT_FALSE(daemon.fixture->Last<PrepareAttempt>()) << "one runs and one may: a third would be too many";
  // The node never had the attempt in doubt, so it does not count and its job is requested again.
  daemon.fixture->Run(daemon.fixture->now + kSecond / 10);
  daemon.fixture->Take(AttemptDisconnected{prepare.attempt, true});
  daemon.fixture->Take(QueryAnswered{prepare.attempt, false, 0});
  daemon.fixture->Clear();
  daemon.fixture->Run(daemon.fixture->now + 3 * kSecond);
  ASSERT_TRUE(daemon.fixture->Last<PrepareAttempt>());
  EXPECT_EQ(daemon.fixture->Last<PrepareAttempt>()->attempt.job, in_doubt);
  EXPECT_EQ(daemon.fixture->All<PrepareAttempt>().size(), 1u);
}

TEST(Restart, RequestsATaskAgainOnceWhenItsNodeLostItRestartedOrIsGone) {
  for (const int how : {0, 1, 2}) {
    RestartableJobManager daemon;
    daemon.fixture->List({JobManagerFixture::Node("a", "rack", 5)});
    daemon.fixture->ReconcileAll(5);
    const PrepareAttempt prepare = daemon.fixture->SubmitAndStart(1, "", true);
    daemon.Restart();
    const std::uint64_t job = prepare.attempt.job;
    if (how == 0) {
      daemon.fixture->List({JobManagerFixture::Node("a", "rack", 5)});
      daemon.fixture->Take(NodeReconciled{prepare.node, 5, {}});
    } else if (how == 1) {
      daemon.fixture->List({JobManagerFixture::Node("a", "rack", daemon.fixture->now)});
    } else {
      daemon.fixture->List({JobManagerFixture::Node("b")});
    }
    EXPECT_EQ(daemon.fixture->Job(job).state, JobState::kWaiting)
        << how;  // to be requested again, as its client allows
    EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kStarted);
    EXPECT_TRUE(daemon.fixture->All<JobAnswered>().empty());
    daemon.fixture->Run(daemon.fixture->now + 5 * kSecond);
    EXPECT_EQ(daemon.fixture->All<PrepareAttempt>().size(), 1u) << how;
  }
}

// The commit was sent and the daemon ended. The node is queried, and no other attempt is sent before it
// answers.
TEST(Restart, QueriesAnAttemptThatMayHaveRunBeforeItRequestsTheJobAgain) {
  for (const bool found : {true, false}) {
    for (const unsigned task_class : {0u, 1u, 2u}) {
      RestartableJobManager daemon;
      daemon.fixture->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
      daemon.fixture->ReconcileAll();
      daemon.fixture->Clear();
      const std::uint64_t job = daemon.fixture->Submit(task_class);
      const PrepareAttempt prepare = *daemon.fixture->Last<PrepareAttempt>();
      daemon.fixture->Take(AttemptPrepared{prepare.attempt});
      daemon.Restart();
      EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kNone);
      daemon.fixture->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
      for (const ReconcileNode& s : daemon.fixture->All<ReconcileNode>())
        daemon.fixture->Take(NodeReconciled{s.node, 0, {}});
      daemon.fixture->Run(daemon.fixture->now + 2 * kSecond);
      ASSERT_TRUE(daemon.fixture->Last<QueryAttempt>());
      EXPECT_EQ(daemon.fixture->Last<QueryAttempt>()->attempt, prepare.attempt);
      EXPECT_TRUE(daemon.fixture->All<PrepareAttempt>().empty());
      daemon.fixture->Take(QueryAnswered{prepare.attempt, found, 0});
      daemon.fixture->Run(daemon.fixture->now + kSecond);
      if (found) {
        EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kStarted);
        EXPECT_EQ(daemon.fixture->All<JobAnswered>().size(), 1u);
        EXPECT_TRUE(daemon.fixture->All<PrepareAttempt>().empty());
      } else {
        EXPECT_EQ(daemon.fixture->All<PrepareAttempt>().size(),
                  1u);  // it never ran and never will: requested again
        EXPECT_NE(daemon.fixture->Last<PrepareAttempt>()->attempt, prepare.attempt);
      }
    }
  }
}

// A repeat whose search a restart interrupts is searched for again, under its user, before it may start.
TEST(Restart, SearchesAgainForTheKeyOfARepeat) {
  for (const bool found : {true, false}) {
    RestartableJobManager daemon;
    daemon.fixture->List({JobManagerFixture::Node("a")});
    daemon.fixture->ReconcileAll();
    JobSpec spec;
    spec.user = "thandi", spec.queue = "keyed", spec.key = "k", spec.repeat = true;
    spec.earlier_until = daemon.fixture->now + 2 * kSecond;
    const std::uint64_t job = daemon.fixture->Submit(spec);
    daemon.Restart();
    daemon.fixture->List({JobManagerFixture::Node("a")});
    daemon.fixture->ReconcileAll();
    const Micros until = daemon.fixture->now + 6 * kSecond;
    std::size_t searches = 0;
    while (daemon.fixture->now < until && daemon.fixture->Job(job).answer == FinalAnswer::kNone &&
           daemon.fixture->All<PrepareAttempt>().empty()) {
      for (const FindKey& find : daemon.fixture->All<FindKey>()) {
        ++searches;
        EXPECT_EQ(find.user + "/" + find.key, "thandi/k");
        daemon.fixture->Take(FindKeyAnswered{find.node, find.job, true, found, {77, 1}, "d9", find.key});
      }
      daemon.fixture->Clear();
      daemon.fixture->Run(daemon.fixture->now + 100 * kMs);
    }
    EXPECT_GE(searches, found ? 1u : 2u);
    EXPECT_EQ(daemon.fixture->Job(job).answer, found ? FinalAnswer::kStarted : FinalAnswer::kNone);
    EXPECT_EQ(daemon.fixture->All<PrepareAttempt>().size(), found ? 0u : 1u);
  }
}

TEST(Restart, FailsAndStopsInTimeAJobThatNoNodeConfirms) {
  RestartableJobManager daemon;
  daemon.fixture->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
  daemon.fixture->ReconcileAll();
  daemon.fixture->Clear();
  const std::uint64_t job = daemon.fixture->Submit(2);
  const PrepareAttempt prepare = *daemon.fixture->Last<PrepareAttempt>();
  daemon.fixture->Take(AttemptPrepared{prepare.attempt});
  const Micros deadline = daemon.fixture->Job(job).deadline;
  daemon.Restart();
  daemon.fixture->List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b", "other")});
  daemon.fixture->Run(deadline + 400 * kMs);  // the node of the attempt never answers
  EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kFailed);
  EXPECT_TRUE(daemon.fixture->All<PrepareAttempt>().empty());
  ASSERT_TRUE(daemon.fixture->Last<StopAttempt>());
  EXPECT_EQ(daemon.fixture->Job(job).state, JobState::kExiting);
  daemon.fixture->Take(StopAnswered{prepare.attempt, false, 0});
  EXPECT_EQ(daemon.fixture->Job(job).state, JobState::kComplete);
}

// Guards against a task that runs twice: the daemon and the node of an attempt both restart between its
// commit and the answer. A new process of the node says nothing about the attempt, however the daemon learns
// of it.
TEST(Restart, AttemptInDoubtAtANodeThatRestartedIsNotRepeatedInAClassThatMustNotRunTwice) {
  constexpr Micros kStarted = 500 * kSecond;
  enum class Shown { kByQuery, kByStop, kByList, kByReconciliation, kByRemoval, kSameProcess };
  for (const Shown shown : {Shown::kByQuery, Shown::kByStop, Shown::kByList, Shown::kByReconciliation,
                            Shown::kByRemoval, Shown::kSameProcess}) {
    for (const unsigned task_class : {1u, 2u}) {
      RestartableJobManager daemon;
      const auto other = JobManagerFixture::Node("b", "other", kStarted);
      daemon.fixture->List({JobManagerFixture::Node("a", "rack", kStarted), other});
      daemon.fixture->ReconcileAll(kStarted);
      daemon.fixture->Clear();
      JobSpec spec;
      spec.user = "thandi", spec.task_class = task_class, spec.queue = task_class == 1 ? "safe" : "unsafe";
      spec.service = "stock", spec.client_wait = 60 * kSecond;
      const std::uint64_t job = daemon.fixture->Submit(spec);
      const PrepareAttempt prepare = *daemon.fixture->Last<PrepareAttempt>();
      const std::string name = prepare.node == JobManager::NodeIdOf("a") ? "a" : "b";
      const std::string other_name = name == "a" ? "b" : "a";
      const auto rest = JobManagerFixture::Node(other_name, "other", kStarted);
      daemon.fixture->Take(AttemptPrepared{prepare.attempt});
      daemon.Restart();
      const Micros restarted_at = daemon.fixture->now;
      const bool in_list = shown == Shown::kByList;
      if (shown == Shown::kByRemoval) {
        daemon.fixture->List({rest});
      } else {
        daemon.fixture->List(
            {JobManagerFixture::Node(name, "rack", in_list ? restarted_at : kStarted), rest});
      }
      for (const ReconcileNode& reconcile : daemon.fixture->All<ReconcileNode>()) {
        const bool new_start = shown == Shown::kByReconciliation && reconcile.node == prepare.node;
        daemon.fixture->Take(NodeReconciled{reconcile.node, new_start ? restarted_at : kStarted, {}});
      }
      if (shown == Shown::kByQuery) {
        daemon.fixture->Take(QueryAnswered{prepare.attempt, false, restarted_at});
      } else if (shown == Shown::kSameProcess) {
        daemon.fixture->Take(QueryAnswered{prepare.attempt, false, kStarted});
      } else if (shown == Shown::kByStop) {
        daemon.fixture->Run(daemon.fixture->now + 61 * kSecond);  // stopped at the end of the client's wait
        daemon.fixture->Take(StopAnswered{prepare.attempt, false, restarted_at});
      }
      daemon.fixture->Run(daemon.fixture->now + 30 * kSecond);
      const bool may_run_again = shown == Shown::kSameProcess || (task_class == 1 && shown != Shown::kByStop);
      EXPECT_EQ(!daemon.fixture->All<PrepareAttempt>().empty(), may_run_again)
          << static_cast<int>(shown) << " class " << task_class;
      if (!may_run_again) {
        EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kFailed);
      }
    }
  }
}

// Guards against an attempt that runs on because its stop request was lost with an earlier incarnation.
TEST(Restart, RepeatsAStopRequestWhenTheNodeIsReconciled) {
  RestartableJobManager daemon;
  daemon.fixture->List({JobManagerFixture::Node("a")});
  daemon.fixture->ReconcileAll();
  const PrepareAttempt prepare = daemon.fixture->SubmitAndStart(1);
  EXPECT_EQ(daemon.fixture->job_manager.Delete(daemon.fixture->now, prepare.attempt.job, "thandi"),
            CommandResult::kOk);
  daemon.fixture->Collect();
  daemon.Restart();
  daemon.fixture->List({JobManagerFixture::Node("a")});
  const auto reconciliations = daemon.fixture->All<ReconcileNode>();
  ASSERT_EQ(reconciliations.size(), 1u);
  daemon.fixture->Clear();
  daemon.fixture->Take(NodeReconciled{reconciliations[0].node, 0, {}});
  ASSERT_EQ(daemon.fixture->All<StopAttempt>().size(), 1u);
  EXPECT_EQ(daemon.fixture->Last<StopAttempt>()->attempt, prepare.attempt);
}

TEST(Restart, ContinuesWaitingHeldAndTimedJobsAndRejectsNothingWithoutANodeList) {
  RestartableJobManager daemon;
  const std::uint64_t waiting = daemon.fixture->Submit(1);  // no node yet: the scheduler rejects it or waits
  JobSpec held;
  held.user = "thandi", held.task_class = 1, held.hold = "u", held.script = "echo";
  const std::uint64_t held_job = daemon.fixture->Submit(held);
  JobSpec timed = held;
  timed.hold.clear(), timed.due = daemon.fixture->now + 60 * kSecond, timed.key = "k1";
  const std::uint64_t later = daemon.fixture->Submit(timed);
  const FinalAnswer before = daemon.fixture->Job(waiting).answer;
  daemon.Restart();
  EXPECT_EQ(daemon.fixture->Job(waiting).answer, before);
  EXPECT_EQ(daemon.fixture->Job(held_job).state, JobState::kHeld);
  EXPECT_EQ(daemon.fixture->Job(held_job).spec->script, "echo");
  EXPECT_EQ(daemon.fixture->job_manager.FindJobByKey("thandi", "k1"), later);
  daemon.fixture->Run(daemon.fixture->now + 2 * kSecond);
  EXPECT_TRUE(daemon.fixture->All<JobAnswered>().empty());
  daemon.fixture->List({JobManagerFixture::Node("a")});
  daemon.fixture->ReconcileAll();
  EXPECT_EQ(daemon.fixture->job_manager.Release(daemon.fixture->now, held_job, "thandi", "u"),
            CommandResult::kOk);
  daemon.fixture->Collect();
  EXPECT_EQ(daemon.fixture->All<PrepareAttempt>().size(), 1u);
  daemon.fixture->Run(daemon.fixture->now + 62 * kSecond);
  EXPECT_GE(daemon.fixture->All<PrepareAttempt>().size(), 2u);
  EXPECT_GT(daemon.fixture->job_manager.NewJobNumber(), later);
}

TEST(Restart, KeepsDeletedJobsDeletedAndForgottenOnesForgotten) {
  JobManagerOptions options = Durable();
  options.history_retention = 2 * kSecond;
  RestartableJobManager daemon;
  daemon.fixture = std::make_unique<JobManagerFixture>(options);
  JobSpec held;
  held.user = "thandi", held.task_class = 1, held.hold = "u";
  const std::uint64_t job = daemon.fixture->Submit(held);
  EXPECT_EQ(daemon.fixture->job_manager.Delete(daemon.fixture->now, job, "thandi"), CommandResult::kOk);
  daemon.fixture->Collect();
  daemon.StoreRecords();
  daemon.Restart();
  ASSERT_NE(daemon.fixture->job_manager.Find(job), nullptr);
  EXPECT_EQ(daemon.fixture->Job(job).state, JobState::kComplete);
  EXPECT_EQ(daemon.fixture->Job(job).answer, FinalAnswer::kDeleted);
  // Longer than the retention time of the second incarnation, which has the default options.
  daemon.fixture->Run(daemon.fixture->now + 700 * kSecond);
  daemon.Restart();
  EXPECT_EQ(daemon.fixture->job_manager.Find(job), nullptr);
}

TEST(Restart, FindsQueuesByNameAndNamesThoseThatAreNotConfigured) {
  RestartableJobManager daemon;
  JobSpec spec;
  spec.user = "thandi", spec.queue = "unsafe", spec.task_class = 2, spec.hold = "u";
  const std::uint64_t job = daemon.fixture->Submit(spec);
  daemon.StoreRecords();
  JobManagerOptions reordered = Durable();  // the same queues in another order
  std::swap(reordered.classes[1], reordered.classes[2]);
  std::swap(reordered.settings.classes[1], reordered.settings.classes[2]);
  JobManagerOptions without = Durable();
  without.classes[2] = "other";
  JobManager same(reordered, 1, daemon.fixture->now), missing(without, 1, daemon.fixture->now);
  for (JobManager* job_manager : {&same, &missing}) {
    for (const std::string& record : daemon.records) ASSERT_TRUE(job_manager->Restore(record));
  }
  const auto finished = same.FinishRestore(daemon.fixture->now);
  ASSERT_TRUE(finished) << Describe(finished.error());
  EXPECT_EQ(same.Find(job)->spec->task_class, 1u);
  const auto finished_without = missing.FinishRestore(daemon.fixture->now);
  ASSERT_FALSE(finished_without);
  EXPECT_EQ(finished_without.error().code, JournalErrorCode::kUnknownQueue);
  EXPECT_EQ(finished_without.error().job_id, daemon.fixture->job_manager.JobId(job));
  EXPECT_NE(Describe(finished_without.error()).find("expected queue 'unsafe' to be configured"),
            std::string::npos);
}

TEST(Restart, RestoresTheSameFromASnapshotAsFromRecords) {
  RestartableJobManager daemon;
  daemon.fixture->List({JobManagerFixture::Node("a")});
  daemon.fixture->ReconcileAll();
  for (unsigned i = 0; i < 12; ++i)
    daemon.fixture->Submit(i % 3, i % 2 == 0 ? "key" + std::to_string(i) : "");
  daemon.StoreRecords();
  JobManager again(Durable(), 1, daemon.fixture->now);
  const std::string snapshot = daemon.fixture->job_manager.Snapshot();
  ASSERT_TRUE(
      ForEachRecord(snapshot, [&](std::string_view record) { return again.Restore(record).has_value(); }));
  ASSERT_TRUE(again.FinishRestore(daemon.fixture->now));
  EXPECT_EQ(again.Count().waiting + again.Count().complete + again.Count().held, 12u);
  JobManager other(Durable(), 1, daemon.fixture->now);
  for (const std::string& record : daemon.records) ASSERT_TRUE(other.Restore(record));
  ASSERT_TRUE(other.FinishRestore(daemon.fixture->now));
  EXPECT_EQ(again.Snapshot(), other.Snapshot());
  EXPECT_FALSE(ForEachRecord(snapshot.substr(0, snapshot.size() - 1), [](std::string_view) { return true; }));
}

// With simulated nodes and random restarts of the daemon, every job is answered exactly once, and no two
// attempts of one job run at the same time.
TEST(Restart, RunsAndAnswersNothingTwiceWhereverItIsRestarted) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&random](unsigned percent) { return random() % 100 < percent; };
    RestartableJobManager daemon;
    const std::vector<ListedNode> nodes = {JobManagerFixture::Node("a"),
                                           JobManagerFixture::Node("b", "other"),
                                           JobManagerFixture::Node("c", "third")};
    std::map<NodeId, std::map<std::uint64_t, AttemptId>> runs;  // by node and job
    std::map<NodeId, std::set<std::string>> rejected;  // queried or stopped, and never accepted later
    std::map<std::uint64_t, int> answers;
    std::vector<std::pair<Micros, NodeMessage>> pending_messages;
    std::vector<std::pair<NodeId, AttemptId>> commits;  // in flight; delivered even if the daemon ends
    daemon.fixture->List(nodes);
    const auto name = [&](const AttemptId& id) {
      return std::to_string(id.job) + "/" + std::to_string(id.number);
    };
    const auto deliver_commits = [&] {
      for (const auto& [node, id] : std::exchange(commits, {})) {
        if (rejected[node].count(name(id)) > 0) continue;
        for (const auto& [other, held] : runs) {
          EXPECT_EQ(held.count(id.job), 0u) << "seed " << seed << ": two attempts of one job run";
        }
        runs[node][id.job] = id;
        pending_messages.emplace_back(daemon.fixture->now, AttemptCommitted{id});
      }
    };
    const auto answer_requests = [&] {
      daemon.StoreRecords();
      std::vector<Output> outputs = std::exchange(daemon.fixture->all, {});
      for (const Output& o : outputs) {
        const Micros soon = daemon.fixture->now + random() % (300 * kMs);
        if (const auto* prepare = std::get_if<PrepareAttempt>(&o)) {
          if (chance(80)) pending_messages.emplace_back(soon, AttemptPrepared{prepare->attempt});
        } else if (const auto* commit = std::get_if<CommitAttempt>(&o)) {
          if (chance(90)) commits.emplace_back(commit->node, commit->attempt);
        } else if (const auto* stop = std::get_if<StopAttempt>(&o)) {
          auto& held = runs[stop->node];
          const bool had = held.count(stop->attempt.job) > 0 && held[stop->attempt.job] == stop->attempt;
          rejected[stop->node].insert(name(stop->attempt));
          if (had) held.erase(stop->attempt.job);
          pending_messages.emplace_back(soon, StopAnswered{stop->attempt, had, 0});
          if (had)
            pending_messages.emplace_back(soon + 1,
                                          AttemptFinished{stop->attempt, EndReason::kKilled, 9, "", {}});
        } else if (const auto* query = std::get_if<QueryAttempt>(&o)) {
          const auto& held = runs[query->node];
          const auto it = held.find(query->attempt.job);
          const bool had = it != held.end() && it->second == query->attempt;
          if (!had) rejected[query->node].insert(name(query->attempt));
          pending_messages.emplace_back(soon, QueryAnswered{query->attempt, had, 0});
        } else if (const auto* reconcile = std::get_if<ReconcileNode>(&o)) {
          NodeReconciled s{reconcile->node, 0, {}};
          for (const auto& [job, id] : runs[reconcile->node]) {
            ReportedAttempt r;
            r.attempt = id;
            if (const Job* known = daemon.fixture->job_manager.Find(job)) r.spec = *known->spec;
            s.held.push_back(r);
          }
          pending_messages.emplace_back(daemon.fixture->now, s);
        } else if (const auto* answered = std::get_if<JobAnswered>(&o)) {
          EXPECT_EQ(++answers[answered->job], 1) << "seed " << seed;
        }
      }
    };
    const auto deliver_messages = [&] {
      answer_requests();
      std::sort(pending_messages.begin(), pending_messages.end(),
                [](const auto& x, const auto& y) { return x.first < y.first; });
      while (!pending_messages.empty() && pending_messages.front().first <= daemon.fixture->now) {
        const NodeMessage m = pending_messages.front().second;
        pending_messages.erase(pending_messages.begin());
        daemon.fixture->Take(m);
        answer_requests();
      }
    };
    std::vector<std::uint64_t> jobs;
    for (int step = 0; step < 400; ++step) {
      if (step < 250 && chance(15)) jobs.push_back(daemon.fixture->Submit(random() % 3, "", chance(50)));
      if (chance(40)) deliver_commits();
      for (auto& [node, held] : runs) {
        if (held.empty() || !chance(5)) continue;
        const AttemptId id = held.begin()->second;
        held.erase(held.begin());
        pending_messages.emplace_back(daemon.fixture->now,
                                      AttemptFinished{id, EndReason::kExited, 0, "", {}});
      }
      deliver_messages();
      // The daemon restarts. Messages in flight are lost, except reports of ends, which nodes repeat.
      if (chance(4)) {
        std::vector<std::pair<Micros, NodeMessage>> ends;
        for (auto& c : pending_messages) {
          if (std::holds_alternative<AttemptFinished>(c.second)) ends.push_back(std::move(c));
        }
        pending_messages = std::move(ends);
        daemon.Restart(random() % (3 * kSecond));
        if (HasFatalFailure()) return;
        daemon.fixture->List(nodes);
      }
      daemon.fixture->Run(daemon.fixture->now + 50 * kMs);
    }
    for (int i = 0; i < 400; ++i) {
      deliver_commits();
      deliver_messages();
      daemon.fixture->Run(daemon.fixture->now + 100 * kMs);
    }
    for (const std::uint64_t job : jobs) {
      const job_manager::Job* j = daemon.fixture->job_manager.Find(job);
      ASSERT_NE(j, nullptr);
      EXPECT_NE(j->answer, FinalAnswer::kNone)
          << "seed " << seed << " job " << job << " state " << static_cast<char>(j->state);
    }
  }
}

}  // namespace
}  // namespace mountflow::testing
