// Tests the state directory: the state that the next incarnation of the daemon finds, and when a turn is
// durable.
#include "daemon/durable_state.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

job_manager::JobManagerOptions DurableOptions() {
  job_manager::JobManagerOptions options = Options();
  options.durable = true;
  return options;
}

class DurableStateTest : public ::testing::Test {
 protected:
  // One incarnation of a daemon that uses the directory.
  struct Incarnation {
    Incarnation(const std::string& directory, event_loop::EventLoop* committer_loop)
        : loop(committer_loop),
          log(std::make_shared<spdlog::logger>("test",
                                               std::make_shared<spdlog::sinks::ostream_sink_st>(lines))) {
      config.storage.folder = directory;
      state = std::make_unique<daemon::DurableState>(config, committer_loop, &fixture.job_manager, &log);
    }
    // Runs the event loop until the committer has reported the next durable turn, and returns its number;
    // nullopt after the time limit.
    std::optional<std::uint64_t> AwaitDurableTurn() {
      constexpr Micros kTimeLimit = 30'000'000;  // microseconds; reached only if the test fails
      std::optional<std::uint64_t> number;
      const auto time_limit = loop->AddTimer(loop->Now() + kTimeLimit, [this] { loop->Stop(); });
      loop->SetAfterTurn([this, &number] {
        state->UpdateStatus();
        number = state->NextDurableTurn();
        if (number) loop->Stop();
      });
      loop->Run();
      loop->SetAfterTurn({});
      loop->CancelTimer(time_limit);
      return number;
    }

    event_loop::EventLoop* loop;
    std::ostringstream lines;
    daemon::EventLog log;
    config::DaemonConfig config;
    JobManagerFixture fixture{DurableOptions()};
    std::unique_ptr<daemon::DurableState> state;
  };

  DurableStateTest() {
    char made[] = "/tmp/mountflow-state-XXXXXX";
    directory_ = mkdtemp(made);
  }
  ~DurableStateTest() override { std::filesystem::remove_all(directory_); }

  event_loop::EventLoop loop_;  // runs only in AwaitDurableTurn
  std::string directory_;
};

TEST_F(DurableStateTest, TurnWithoutRecordsOrRepliesHasNoNumber) {
  Incarnation incarnation(directory_, &loop_);
  ASSERT_TRUE(incarnation.state->Open().has_value());
  EXPECT_EQ(incarnation.state->CommitTurn(std::nullopt), std::nullopt);
  EXPECT_FALSE(incarnation.state->HasHeldTurns());
}

TEST_F(DurableStateTest, TurnWithRecordsAloneHoldsNothing) {
  Incarnation incarnation(directory_, &loop_);
  ASSERT_TRUE(incarnation.state->Open().has_value());
  incarnation.fixture.Submit(1);
  EXPECT_EQ(incarnation.state->CommitTurn(std::nullopt), std::nullopt);
  EXPECT_FALSE(incarnation.state->HasHeldTurns());
}

TEST_F(DurableStateTest, TurnWithRepliesIsDurableAfterItsRecords) {
  Incarnation incarnation(directory_, &loop_);
  ASSERT_TRUE(incarnation.state->Open().has_value());
  incarnation.fixture.Submit(1);
  EXPECT_EQ(incarnation.state->CommitTurn(100), 1u);
  EXPECT_TRUE(incarnation.state->HasHeldTurns());
  EXPECT_EQ(incarnation.AwaitDurableTurn(), 1u);
  EXPECT_FALSE(incarnation.state->HasHeldTurns());
  EXPECT_EQ(incarnation.state->CommitTurn(0), 2u);  // durable at once because it has no records
  incarnation.state->UpdateStatus();
  EXPECT_EQ(incarnation.state->NextDurableTurn(), 2u);
  EXPECT_EQ(incarnation.state->Rejection(), "");
  EXPECT_FALSE(incarnation.state->IsFull());
}

TEST_F(DurableStateTest, SecondIncarnationHasTheJobsOfTheFirst) {
  std::uint64_t job = 0;
  {
    Incarnation incarnation(directory_, &loop_);
    ASSERT_TRUE(incarnation.state->Open().has_value());
    job = incarnation.fixture.Submit(1);
    ASSERT_EQ(incarnation.state->CommitTurn(0), 1u);
    incarnation.state->Close();  // commits the pending records
  }
  Incarnation incarnation(directory_, &loop_);
  ASSERT_TRUE(incarnation.state->Open().has_value());
  ASSERT_NE(incarnation.fixture.job_manager.Find(job), nullptr);
  EXPECT_EQ(incarnation.fixture.job_manager.Find(job)->spec->user, "thandi");
}

TEST_F(DurableStateTest, DirectoryOfAnotherIncarnationIsLocked) {
  Incarnation first(directory_, &loop_);
  ASSERT_TRUE(first.state->Open().has_value());
  Incarnation second(directory_, &loop_);
  const daemon::DaemonStatus opened = second.state->Open();
  ASSERT_FALSE(opened.has_value());
  EXPECT_EQ(opened.error().code, daemon::DaemonErrorCode::kStorage);
  EXPECT_FALSE(second.state->is_open());
}

TEST_F(DurableStateTest, RecordThatIsNotValidNamesDirectoryAndPlace) {
  {
    auto files = storage::PosixFiles::Open(directory_);
    ASSERT_TRUE(files.has_value());
    storage::LogOptions options;
    options.name = "jobs";
    storage::Log log(files->get(), options);
    std::vector<storage::RecoveryNotice> notices;
    ASSERT_TRUE(log.Open({}, &notices).has_value());
    ASSERT_TRUE(log.Commit({"no record"}).has_value());
  }
  Incarnation incarnation(directory_, &loop_);
  const daemon::DaemonStatus opened = incarnation.state->Open();
  ASSERT_FALSE(opened.has_value());
  EXPECT_EQ(Describe(opened.error()).rfind(directory_ + ": record 1: expected ", 0), 0u)
      << Describe(opened.error());
}

TEST_F(DurableStateTest, SnapshotThatIsNotWholeNamesDirectoryAndPlace) {
  {
    auto files = storage::PosixFiles::Open(directory_);
    ASSERT_TRUE(files.has_value());
    storage::LogOptions options;
    options.name = "jobs";
    storage::Log log(files->get(), options);
    std::vector<storage::RecoveryNotice> notices;
    ASSERT_TRUE(log.Open({}, &notices).has_value());
    ASSERT_TRUE(log.Commit({"record"}).has_value());
    ASSERT_TRUE(log.WriteSnapshot(1, "\x7f").has_value());  // truncated: announces 127 bytes, contains none
  }
  Incarnation incarnation(directory_, &loop_);
  const daemon::DaemonStatus opened = incarnation.state->Open();
  ASSERT_FALSE(opened.has_value());
  EXPECT_EQ(Describe(opened.error()), directory_ + ": snapshot at 1: expected whole records");
}

}  // namespace
}  // namespace mountflow::testing
