#include "node_agent/pbs_session.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

std::string ConnectRequest() {
  pbs_protocol::Request request;
  request.type = pbs_protocol::RequestType::kConnect;
  request.user = "daemon";
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return bytes;
}

TEST(PbsSession, ARequestIsReadOnceItIsComplete) {
  PbsSession session;
  const std::string bytes = ConnectRequest() + ConnectRequest();
  for (std::size_t i = 0; i + 1 < bytes.size() / 2; ++i) {
    session.AddInput(bytes.substr(i, 1));
    ASSERT_FALSE(session.ReadRequest());
  }
  session.AddInput(bytes.substr(bytes.size() / 2 - 1));
  EXPECT_TRUE(session.ReadRequest());
  session.DiscardReadInput();
  EXPECT_TRUE(session.ReadRequest());
  EXPECT_FALSE(session.ReadRequest());
  EXPECT_FALSE(session.closing());
  EXPECT_TRUE(session.output()->empty());
}

TEST(PbsSession, MalformedBytesAreAnsweredAndCloseTheSession) {
  PbsSession session;
  session.AddInput("broken");
  EXPECT_FALSE(session.ReadRequest());
  EXPECT_TRUE(session.closing());
  pbs_protocol::Reply reply;
  ASSERT_EQ(pbs_protocol::Decode(*session.output(), &reply).state, pbs_protocol::DisState::kOk);
  EXPECT_EQ(reply.code, pbs_protocol::Code::kProtocol);
}

TEST(PbsSession, ASubmissionMatchesOnlyItsAttempt) {
  PbsSession session;
  EXPECT_FALSE(session.IsSubmitting(""));
  session.submission = PbsSession::Submission{"a", {}, false};
  EXPECT_TRUE(session.IsSubmitting("a"));
  EXPECT_FALSE(session.IsSubmitting("b"));
  EXPECT_FALSE(session.HasRequestedAdmission("a"));
  session.submission->admission_requested = true;
  EXPECT_TRUE(session.HasRequestedAdmission("a"));
}

}  // namespace
}  // namespace mountflow::node_agent
