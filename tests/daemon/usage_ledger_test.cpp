// Tests which usage is posted, which log receives the records, and which records of the jobs' log are applied
// at startup.
#include "daemon/usage_ledger.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/support/faulty_files.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

constexpr double kMemoryUnitBytes = 1073741824.0;

class UsageLedgerTest : public ::testing::Test {
 protected:
  UsageLedgerTest()
      : log_(std::make_shared<spdlog::logger>("test",
                                              std::make_shared<spdlog::sinks::ostream_sink_st>(lines_))) {}

  std::unique_ptr<daemon::UsageLedger> NewLedger(ledger::BillingRules rules = {}) {
    return std::make_unique<daemon::UsageLedger>(std::move(rules), kMemoryUnitBytes, &fixture_.job_manager,
                                                 &log_);
  }
  std::unique_ptr<daemon::UsageLedger> OpenLedger(storage::Files* files, ledger::BillingRules rules = {}) {
    auto usage_ledger = NewLedger(std::move(rules));
    const daemon::DaemonStatus opened = usage_ledger->Open(files, "folder", [] {});
    EXPECT_TRUE(opened.has_value()) << Describe(opened.error());
    return usage_ledger;
  }
  [[nodiscard]] job_manager::ResourceUsage Usage(std::uint64_t job) const {
    job_manager::ResourceUsage usage;
    usage.attempt = {job, 1};
    usage.cores = 2.0;
    usage.memory = 4.0;
    usage.started = fixture_.now - kSecond;
    usage.ended = fixture_.now;
    return usage;
  }

  std::ostringstream lines_;
  daemon::EventLog log_;
  JobManagerFixture fixture_;
  FaultyFiles files_;
};

TEST_F(UsageLedgerTest, NothingIsPostedUnlessOpen) {
  const auto usage_ledger = NewLedger();
  usage_ledger->Post(fixture_.now, Usage(1));
  EXPECT_FALSE(usage_ledger->has_posted());
  EXPECT_TRUE(usage_ledger->RecordsForJobsLog().empty());
  EXPECT_EQ(usage_ledger->book().last_sequence(), 0u);
}

TEST_F(UsageLedgerTest, UsageIsPostedInMillicoresAndMebibytes) {
  const auto usage_ledger = OpenLedger(&files_);
  usage_ledger->Post(fixture_.now, Usage(1));
  EXPECT_TRUE(usage_ledger->has_posted());
  const ledger::Posting* posting = usage_ledger->book().Find(1);
  ASSERT_NE(posting, nullptr);
  EXPECT_EQ(posting->attempt, "1.d0/1");
  EXPECT_EQ(posting->task_class, "keyed");
  EXPECT_EQ(ledger::ToText(posting->millicore_us), std::to_string(2000 * kSecond));
  EXPECT_EQ(ledger::ToText(posting->mebibyte_us), std::to_string(4096 * kSecond));
}

TEST_F(UsageLedgerTest, SameAttemptIsPostedOnceAndAConflictIsLogged) {
  const auto usage_ledger = OpenLedger(&files_);
  usage_ledger->Post(fixture_.now, Usage(1));
  usage_ledger->Post(fixture_.now, Usage(1));
  EXPECT_EQ(usage_ledger->book().last_sequence(), 1u);
  EXPECT_EQ(lines_.str(), "");
  job_manager::ResourceUsage other = Usage(1);
  other.cores = 3.0;
  usage_ledger->Post(fixture_.now, other);
  EXPECT_EQ(usage_ledger->book().last_sequence(), 1u);
  EXPECT_NE(lines_.str().find(R"({"event":"usage_not_counted","text":")"), std::string::npos) << lines_.str();
}

TEST_F(UsageLedgerTest, StartReadsTheLedgersLog) {
  {
    const auto usage_ledger = OpenLedger(&files_);
    usage_ledger->Post(fixture_.now, Usage(1));
    usage_ledger->CommitPosted();
    EXPECT_FALSE(usage_ledger->has_posted());
    usage_ledger->Close();
  }
  EXPECT_EQ(OpenLedger(&files_)->book().last_sequence(), 1u);
}

TEST_F(UsageLedgerTest, StartTakesFromTheJobsLogWhatTheLedgersLogLacks) {
  std::vector<std::string> records;
  {
    const auto usage_ledger = OpenLedger(&files_);
    usage_ledger->Post(fixture_.now, Usage(1));
    records = usage_ledger->RecordsForJobsLog();
    usage_ledger->CommitPosted();
    usage_ledger->Post(fixture_.now, Usage(2));
    for (std::string& record : usage_ledger->RecordsForJobsLog()) records.push_back(std::move(record));
    usage_ledger->Close();  // the second record was not passed to the ledger's log
  }
  ASSERT_EQ(records.size(), 2u);
  const auto usage_ledger = OpenLedger(&files_);
  for (const std::string& record : records) {
    EXPECT_TRUE(daemon::UsageLedger::IsLedgerRecord(record));
    EXPECT_TRUE(usage_ledger->Replay(record).has_value());
  }
  EXPECT_EQ(usage_ledger->book().last_sequence(), 2u);
  ASSERT_NE(usage_ledger->book().Find(2), nullptr);
  EXPECT_EQ(usage_ledger->book().Find(2)->attempt, "2.d0/1");
  EXPECT_TRUE(usage_ledger->has_posted());  // the record is still to be written to the ledger's log
}

TEST_F(UsageLedgerTest, RecordsOfTheJobsLogAreIgnoredWithoutBilling) {
  const auto usage_ledger = NewLedger();
  EXPECT_TRUE(usage_ledger->Replay("L is the mark").has_value());
  EXPECT_EQ(usage_ledger->book().last_sequence(), 0u);
}

TEST_F(UsageLedgerTest, DamagedRecordOfTheJobsLogIsAnError) {
  const auto usage_ledger = OpenLedger(&files_);
  const daemon::DaemonStatus replayed = usage_ledger->Replay("L");
  ASSERT_FALSE(replayed.has_value());
  EXPECT_EQ(replayed.error().code, daemon::DaemonErrorCode::kStorage);
  EXPECT_NE(replayed.error().detail, "");
}

TEST_F(UsageLedgerTest, RecordOfTheLedgersLogThatIsNotValidNamesItsPlace) {
  {
    storage::LogOptions options;
    options.name = "ledger";
    storage::Log log(&files_, options);
    std::vector<storage::RecoveryNotice> notices;
    ASSERT_TRUE(log.Open({}, &notices).has_value());
    ASSERT_TRUE(log.Commit({"no record"}).has_value());
  }
  const auto usage_ledger = NewLedger();
  const daemon::DaemonStatus opened = usage_ledger->Open(&files_, "folder", [] {});
  ASSERT_FALSE(opened.has_value());
  EXPECT_EQ(Describe(opened.error()).rfind("folder: ledger record 1: expected ", 0), 0u)
      << Describe(opened.error());
  EXPECT_FALSE(usage_ledger->is_open());
}

}  // namespace
}  // namespace mountflow::testing
