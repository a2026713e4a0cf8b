// Tests which message each reply to an attempt's requests produces, step by step.
#include "node_sessions/attempt_exchange.hpp"

#include <gtest/gtest.h>

#include "pbs_server/attribute_values.hpp"

namespace mountflow::node_sessions {
namespace {

constexpr job_manager::AttemptId kAttempt{7, 2};

pbs_protocol::Reply Success() { return {}; }

pbs_protocol::Reply Failure(const std::string& text, std::int64_t cause = 0) {
  pbs_protocol::Reply reply;
  reply.code = pbs_protocol::Code::kNoRoom;
  reply.auxiliary = cause;
  reply.choice = pbs_protocol::Choice::kText;
  reply.text = text;
  return reply;
}

class AttemptExchangeTest : public ::testing::Test {
 protected:
  void BeginCommit() {
    exchange_.Begin(kAttempt, 1);
    ASSERT_TRUE(exchange_.OnReply(Success()).has_value());
    exchange_.BeginCommit();
  }
  job_manager::AttemptRejected ReadRejectionOf(pbs_protocol::Reply reply) {
    exchange_.Begin(kAttempt, 1);
    return std::get<job_manager::AttemptRejected>(exchange_.OnReply(std::move(reply)).value());
  }

  AttemptExchange exchange_;
};

TEST_F(AttemptExchangeTest, AwaitsNoReplyWhileIdle) {
  EXPECT_EQ(exchange_.step(), AttemptStep::kIdle);
  EXPECT_FALSE(exchange_.AwaitsReply());
}

TEST_F(AttemptExchangeTest, IsReadyWhenAllRepliesAreWithoutError) {
  exchange_.Begin(kAttempt, 3);
  EXPECT_FALSE(exchange_.OnReply(Success()).has_value());
  EXPECT_FALSE(exchange_.OnReply(Success()).has_value());
  EXPECT_EQ(exchange_.step(), AttemptStep::kSubmitting);
  EXPECT_TRUE(exchange_.AwaitsReply());
  const auto message = exchange_.OnReply(Success());
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<job_manager::AttemptPrepared>(*message).attempt, kAttempt);
  EXPECT_EQ(exchange_.step(), AttemptStep::kReady);
  EXPECT_FALSE(exchange_.AwaitsReply());
}

TEST_F(AttemptExchangeTest, ReportsTheFirstErrorAfterTheLastReply) {
  exchange_.Begin(kAttempt, 3);
  EXPECT_FALSE(exchange_.OnReply(Failure("first", 1)).has_value());
  EXPECT_FALSE(exchange_.OnReply(Failure("second", 2)).has_value());
  const auto message = exchange_.OnReply(Success());
  ASSERT_TRUE(message.has_value());
  const auto& rejection = std::get<job_manager::AttemptRejected>(*message);
  EXPECT_EQ(rejection.attempt, kAttempt);
  EXPECT_EQ(rejection.reason, "first");
  EXPECT_EQ(rejection.cause, RejectionReason::kNoCores);
  EXPECT_FALSE(rejection.error);
  EXPECT_EQ(exchange_.step(), AttemptStep::kIdle);
}

TEST_F(AttemptExchangeTest, ErrorOfOneAttemptDoesNotAffectTheNext) {
  ReadRejectionOf(Failure("full"));
  exchange_.Begin({8, 1}, 1);
  const auto message = exchange_.OnReply(Success());
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<job_manager::AttemptPrepared>(*message).attempt, (job_manager::AttemptId{8, 1}));
}

TEST_F(AttemptExchangeTest, CommitsWithTheReplyToTheCommit) {
  BeginCommit();
  EXPECT_TRUE(exchange_.AwaitsReply());
  const auto message = exchange_.OnReply(Success());
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<job_manager::AttemptCommitted>(*message).attempt, kAttempt);
  EXPECT_EQ(exchange_.step(), AttemptStep::kIdle);
}

TEST_F(AttemptExchangeTest, ErrorOfTheCommitIsARejection) {
  BeginCommit();
  const auto message = exchange_.OnReply(Failure("too late", 4));
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<job_manager::AttemptRejected>(*message).reason, "too late");
  EXPECT_EQ(std::get<job_manager::AttemptRejected>(*message).cause, RejectionReason::kNotAccepting);
  EXPECT_EQ(exchange_.step(), AttemptStep::kIdle);
}

TEST_F(AttemptExchangeTest, ReadsLoadAfterTheTextOfARejection) {
  const job_manager::AttemptRejected rejection =
      ReadRejectionOf(Failure("full\tx0=1.5 x1=2 queue=3 util=0.5"));
  EXPECT_EQ(rejection.reason, "full");
  EXPECT_NE(pbs_server::FormatLoad(rejection.report), pbs_server::FormatLoad({}));
}

TEST_F(AttemptExchangeTest, RejectionWithoutTextDescribesItsCode) {
  EXPECT_EQ(ReadRejectionOf(Failure("")).reason, pbs_protocol::Describe(pbs_protocol::Code::kNoRoom));
}

TEST_F(AttemptExchangeTest, UnknownCauseIsClampedToTheNearestKnownCause) {
  EXPECT_EQ(ReadRejectionOf(Failure("full", 99)).cause, RejectionReason::kDrained);
  EXPECT_EQ(ReadRejectionOf(Failure("full", -1)).cause, RejectionReason::kUnspecified);
}

}  // namespace
}  // namespace mountflow::node_sessions
