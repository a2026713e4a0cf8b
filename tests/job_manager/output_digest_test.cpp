// Guards the behaviour of the job manager by a digest of all outputs and journal records of random runs. The
// commands of users, the answers of nodes and the node lists are drawn from a seed, and the process is
// restarted from its records. A change of names or structure must not change the digest. A commit that
// changes the behaviour updates the digest and states the reason.
#include "tests/support/output_digest.hpp"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <random>
#include <utility>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;

// One random run of the job manager, determined by its seed.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed) {
    options_ = Options();
    options_.durable = true;
    options_.settings.may_cancel = seed % 2 == 0;
    options_.settings.may_check_health = seed % 3 == 0;
    options_.settings.list_on_request = seed % 4 == 0;
    options_.settings.classes[1].topology_spread = TopologySpread::kRack;
    options_.settings.classes[1].max_per_domain = 4;
    options_.limits.jobs = 60;
    options_.limits.history = 40;
    options_.limits.reconciliations = 2;
    fixture_ = std::make_unique<JobManagerFixture>(options_, seed);
  }

  void Play() {
    for (int step = 0; step < 1200; ++step) {
      DrawStep();
      Collect();
      fixture_->Run(fixture_->now + Draw(200 * kMs));
      Collect();
      for (std::size_t i = 0; i < 2 && !pending_messages_.empty(); ++i) Deliver();
    }
  }

  Digest digest;
  std::array<std::size_t, std::variant_size_v<Output>> outputs{};
  std::size_t records = 0;

 private:
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return Draw(100) < percent; }

  void DrawStep() {
    const std::uint64_t job = jobs_.empty() ? 0 : jobs_[Draw(jobs_.size())];
    const std::string user = Chance(80) ? "thandi" : Chance(50) ? "" : "sipho";
    JobManager& job_manager = fixture_->job_manager;
    const Micros now = fixture_->now;
    switch (Draw(16)) {
      case 0:
        DrawNodeList();
        break;
      case 1:
        digest.Add(job_manager.Delete(now, job, user));
        break;
      case 2:
        digest.Add(job_manager.Hold(now, job, user, Chance(50) ? "u" : "uo"));
        break;
      case 3:
        digest.Add(job_manager.Release(now, job, user, "uo"));
        break;
      case 4:
        digest.Add(job_manager.Rerun(now, job, user));
        break;
      case 5:
        digest.Add(job_manager.Signal(now, job, user, "SIGUSR1"));
        break;
      case 6:
        digest.Add(job_manager.Alter(now, job, user, [](JobSpec* spec) {
          spec->cores += 0.5;
          return spec->cores < 4;
        }));
        break;
      case 7:
        if (Chance(15)) Restart();
        break;
      case 8:
        DrawMembership();
        break;
      default:
        DrawSubmission();
    }
  }

  void DrawSubmission() {
    JobSpec spec;
    spec.user = Chance(90) ? "thandi" : "sipho";
    spec.task_class = static_cast<unsigned>(Draw(3));
    spec.queue = options_.classes[spec.task_class];
    spec.service = "stock-" + std::to_string(Draw(4));
    if (Chance(40)) spec.key = "key-" + std::to_string(Draw(40));
    spec.rerunnable = Chance(50);
    spec.repeat = !spec.key.empty() && Chance(30);
    if (spec.repeat) spec.earlier_until = fixture_->now + Draw(4 * kSecond);
    if (Chance(10)) spec.hold = "u";
    if (Chance(10)) spec.due = fixture_->now + Draw(3 * kSecond);
    if (Chance(20)) spec.client_wait = 500 * kMs + Draw(6 * kSecond);
    spec.cores = static_cast<double>(1 + Draw(4));
    spec.script = "echo " + std::to_string(Draw(1000));
    jobs_.push_back(fixture_->Submit(std::move(spec)));
    digest.Add(fixture_->command_result);
    digest.Add(jobs_.back());
    if (jobs_.back() == 0) jobs_.pop_back();
  }

  void DrawNodeList() {
    std::vector<ListedNode> nodes;
    for (unsigned i = 0; i < 5; ++i) {
      if (Chance(20)) node_starts_[i] = fixture_->now - Draw(30 * kSecond);
      ListedNode node = JobManagerFixture::Node("node-" + std::to_string(i), "rack-" + std::to_string(i / 2),
                                                node_starts_[i]);
      if (Chance(10)) node.state = Chance(50) ? NodeState::kDraining : NodeState::kGone;
      node.free_cores = static_cast<double>(Draw(17));
      if (Chance(85)) nodes.push_back(node);
    }
    fixture_->List(nodes, Chance(50)   ? NodeListKind::kSnapshot
                          : Chance(80) ? NodeListKind::kDelta
                                       : NodeListKind::kCached);
  }

  void DrawMembership() {
    MembershipChange change;
    change.size = static_cast<int>(1 + Draw(3));
    change.index = Chance(80) ? 0 : -1;
    fixture_->job_manager.HandleMembershipChange(fixture_->now, change);
    fixture_->Collect();
  }

  void Restart() {
    Collect();
    const Micros now = fixture_->now + Draw(3 * kSecond);
    fixture_ = std::make_unique<JobManagerFixture>(options_, 8);
    fixture_->now = now;
    for (const std::string& record : stored_records_) {
      const auto restored = fixture_->job_manager.Restore(record);
      ASSERT_TRUE(restored) << Describe(restored.error());
    }
    const auto finished = fixture_->job_manager.FinishRestore(now);
    ASSERT_TRUE(finished) << Describe(finished.error());
    digest.Add(std::string_view(fixture_->job_manager.Snapshot()));
    fixture_->Collect();
    pending_messages_.clear();
  }

  // Adds the new outputs and records to the digest, and draws the answers of the nodes to the outputs.
  void Collect() {
    fixture_->Collect();
    for (std::string& record : fixture_->job_manager.TakeJournal()) {
      digest.Add(std::string_view(record));
      ++records;
      stored_records_.push_back(std::move(record));
    }
    for (const Output& output : std::exchange(fixture_->all, {})) {
      ++outputs[output.index()];
      if (const auto* entry = std::get_if<LogEntry>(&output)) CheckFields(*entry);
      AddOutput(output, &digest);
      Answer(output);
    }
  }
  // Checks that the table of log events has each field of the entry. The documentation for operators lists
  // only the fields of that table.
  static void CheckFields(const LogEntry& entry) {
    const auto expect = [&entry](bool is_set, std::string_view field) {
      EXPECT_TRUE(!is_set || logging::HasField(entry.event, field)) << Name(entry.event) << ": " << field;
    };
    expect(entry.job != 0, logging::kJobField);
    expect(entry.attempt != 0, logging::kAttemptField);
    expect(!entry.node.empty(), logging::kNodeField);
    expect(!entry.text.empty(), logging::kTextField);
    for (const logging::LogField& field : entry.fields) expect(true, field.name);
  }
  void Answer(const Output& output) {
    if (const auto* prepare = std::get_if<PrepareAttempt>(&output)) {
      if (Chance(80)) {
        pending_messages_.push_back(AttemptPrepared{prepare->attempt});
      } else if (Chance(60)) {
        pending_messages_.push_back(AttemptRejected{
            prepare->attempt, static_cast<RejectionReason>(Draw(5)), "no room", {}, Chance(20)});
      } else {
        pending_messages_.push_back(AttemptDisconnected{prepare->attempt, false});
      }
    } else if (const auto* commit = std::get_if<CommitAttempt>(&output)) {
      if (Chance(85)) {
        pending_messages_.push_back(AttemptCommitted{commit->attempt});
        if (Chance(80)) pending_messages_.push_back(DrawEnd(commit->attempt));
        running_.push_back(commit->attempt);
      } else {
        pending_messages_.push_back(AttemptDisconnected{commit->attempt, true});
      }
    } else if (const auto* stop = std::get_if<StopAttempt>(&output)) {
      const bool known = Chance(50);
      if (Chance(20)) {
        pending_messages_.push_back(StopFailed{stop->attempt});
        return;
      }
      pending_messages_.push_back(StopAnswered{stop->attempt, known, StartOf(stop->node)});
      if (known)
        pending_messages_.push_back(AttemptFinished{stop->attempt, EndReason::kKilled, 9, "", {}, 1, 2});
    } else if (const auto* query = std::get_if<QueryAttempt>(&output)) {
      if (Chance(20)) {
        pending_messages_.push_back(QueryFailed{query->attempt});
      } else {
        pending_messages_.push_back(QueryAnswered{query->attempt, Chance(50), StartOf(query->node)});
      }
    } else if (const auto* reconcile = std::get_if<ReconcileNode>(&output)) {
      if (Chance(15)) {
        pending_messages_.push_back(ReconcileFailed{reconcile->node});
      } else {
        pending_messages_.push_back(DrawReconciliation(reconcile->node));
      }
    } else if (const auto* find = std::get_if<FindKey>(&output)) {
      pending_messages_.push_back(
          FindKeyAnswered{find->node, find->job, Chance(85), Chance(20), {7, 1}, "d1", find->key});
    } else if (const auto* check = std::get_if<CheckNodeHealth>(&output)) {
      pending_messages_.push_back(NodeHealthChecked{check->node, Chance(50), 20 * kMs, {}});
    }
  }
  // Returns the start of the process that runs at a node now.
  Micros StartOf(NodeId node) const {
    for (unsigned i = 0; i < node_starts_.size(); ++i) {
      if (JobManager::NodeIdOf("node-" + std::to_string(i)) == node) return node_starts_[i];
    }
    return 0;
  }
  AttemptFinished DrawEnd(const AttemptId& attempt) {
    AttemptFinished ended{
        attempt, static_cast<EndReason>(Draw(7)), static_cast<int>(Draw(3)), "its words", {}};
    ended.started = fixture_->now - Draw(kSecond);
    ended.ended = fixture_->now;
    if (Chance(40)) ended.report.utilisation = static_cast<double>(Draw(100)) / 100.0;
    return ended;
  }
  NodeReconciled DrawReconciliation(NodeId node) {
    NodeReconciled reconciled{node, 0, {}};
    for (unsigned i = 0; i < 5; ++i) {
      if (JobManager::NodeIdOf("node-" + std::to_string(i)) == node) reconciled.started = node_starts_[i];
    }
    for (const AttemptId& attempt : running_) {
      const Job* job = fixture_->job_manager.Find(attempt.job);
      if (job == nullptr || !Chance(20)) continue;
      ReportedAttempt held{attempt, *job->spec, Chance(10)};
      reconciled.held.push_back(held);
    }
    return reconciled;
  }
  void Deliver() {
    const std::size_t index = Draw(pending_messages_.size());
    const NodeMessage message = pending_messages_[index];
    pending_messages_.erase(pending_messages_.begin() + static_cast<std::ptrdiff_t>(index));
    fixture_->Take(message);
    Collect();
  }

  std::mt19937_64 random_;
  JobManagerOptions options_;
  std::unique_ptr<JobManagerFixture> fixture_;
  std::vector<std::uint64_t> jobs_;
  std::vector<AttemptId> running_;
  std::vector<NodeMessage> pending_messages_;
  std::vector<std::string> stored_records_;
  std::array<Micros, 5> node_starts_{};
};

TEST(OutputDigest, EqualsTheRecordedOneOverSixteenSeeds) {
  constexpr std::uint64_t kRecorded = 459419408637803969u;
  Digest all;
  std::array<std::size_t, std::variant_size_v<Output>> outputs{};
  std::size_t records = 0;
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    RandomRun run(seed);
    run.Play();
    all.Add(run.digest.Value());
    records += run.records;
    for (std::size_t i = 0; i < outputs.size(); ++i) outputs[i] += run.outputs[i];
  }
  EXPECT_EQ(all.Value(), kRecorded);
  EXPECT_GT(records, 10'000u);
  for (std::size_t i = 0; i < outputs.size(); ++i) EXPECT_GT(outputs[i], 10u) << "outputs of kind " << i;
}

}  // namespace
}  // namespace mountflow::testing
