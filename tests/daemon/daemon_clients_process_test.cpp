// Tests clients of the batch port over real sockets: clients that disconnect, send malformed bytes, or retry
// with a key.
#include "pbs_client/host.hpp"
#include "pbs_client/submission.hpp"
#include "tests/support/daemon_process_fixture.hpp"

namespace mountflow::testing {
namespace {

using pbs_protocol::Code;
using pbs_protocol::Op;
using pbs_protocol::RequestType;

using DaemonClients = DaemonProcessTest;

TEST_F(DaemonClients, ClientThatLeavesBeforeItsCommitLeavesNoJobAndAfterItOne) {
  FakeBatchNode node("n");
  const auto daemon = StartWithNodes({&node});
  {
    BatchClient leaving(daemon);
    EXPECT_EQ(leaving.Queue("service").code, Code::kNone);
    leaving.Call(RequestType::kReadyToCommit);
  }
  BatchClient client(daemon);
  EXPECT_TRUE(client.Call(RequestType::kStatusJob, "", "x").objects.empty());
  std::string id;
  {
    BatchClient leaving(daemon);
    id = leaving.Submit("service", {{"key", "", "k", Op::kSet}});
  }
  node.AcceptNextAttempt();
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
  // A retry with the same key creates no second job.
  const pbs_protocol::Reply again = client.Queue("service", {{"key", "", "k", Op::kSet}});
  EXPECT_EQ(again.code, Code::kExists);
  EXPECT_EQ(again.text, id);
}

TEST_F(DaemonClients, MalformedRequestsCloseOnlyTheirOwnConnection) {
  const auto daemon = site.StartDaemon("d0");
  const sockaddr_in address = LoopbackAddress(daemon.batch_port);
  const auto connect_and_send = [&address](const std::string& bytes) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    EXPECT_GT(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), 0);
    return fd;
  };
  const int incomplete = connect_and_send("+2+1+1+4root+0+7serv");
  const int endless = connect_and_send(std::string(100'000, '9'));
  const int unknown = connect_and_send("+2+12+99+4root");
  char buffer[4096];
  // The daemon replies with a protocol error and closes the connection. It waits for more bytes of the
  // incomplete request.
  for (const int fd : {endless, unknown}) {
    std::string all;
    for (ssize_t size = 0; (size = recv(fd, buffer, sizeof buffer, 0)) > 0;) {
      all.append(buffer, static_cast<std::size_t>(size));
    }
    pbs_protocol::Reply reply;
    if (!all.empty()) {  // a reset may discard the reply if the daemon left input unread
      ASSERT_EQ(pbs_protocol::Decode(all, &reply).state, pbs_protocol::DisState::kOk);
      EXPECT_TRUE(reply.code == Code::kProtocol || reply.code == Code::kUnknownRequest);
    }
  }
  EXPECT_EQ(recv(incomplete, buffer, sizeof buffer, MSG_DONTWAIT), -1);
  BatchClient client(daemon);
  EXPECT_EQ(client.Call(RequestType::kStatusServer).objects.size(), 1u);
  for (const int fd : {incomplete, endless, unknown}) close(fd);
}

TEST_F(DaemonClients, KeyedRetryToTheSameDaemonIsOneJob) {
  FakeBatchNode node("n");
  const auto daemon = StartWithNodes({&node});
  // The daemon is suspended while the client commits, so the client's call times out. The client then closes
  // its connection while the commit is still in the daemon's receive buffer, and retries.
  pbs_client::Submission submission;
  submission.user = "root";
  submission.destination = "service";
  submission.key = "k";
  submission.client_time = 20'000'000;
  submission.max_attempts = 3;
  {
    pbs_client::BatchConnection first;
    const auto connected = first.Connect(daemon.address(), kWaitLimit);
    ASSERT_TRUE(connected) << pbs_client::Describe(connected.error());
    pbs_protocol::Request request;
    request.type = RequestType::kQueueJob;
    request.user = "root";
    request.destination = "service";
    request.attributes = {{"key", "", "k", Op::kSet}};
    const auto reply = first.Call(request, kWaitLimit);
    ASSERT_TRUE(reply) << pbs_client::Describe(reply.error());
    daemon.process->Halt();
    request.type = RequestType::kCommit;
    request.id = reply->text;
    EXPECT_FALSE(first.Call(request, 200'000));
  }
  daemon.process->Signal(SIGCONT);
  const auto result = pbs_client::Submit({daemon.address()}, submission);
  ASSERT_TRUE(result) << pbs_client::Describe(result.error());
  node.AcceptNextAttempt();
  BatchClient client(daemon);
  EXPECT_EQ(client.AttributeAfterAnswer(result->id, "answer"), "placed");
  EXPECT_EQ(client.Call(RequestType::kStatusJob, "", "x").objects.size(), 1u);
  EXPECT_EQ(node.CountRequests(RequestType::kCommit), 1u);
}

TEST_F(DaemonClients, KeyedRetryToAnotherDaemonFindsTheRunningTask) {
  FakeBatchNode node("n");
  site.Publish(node.Entry());
  const auto d0 = site.StartDaemon("d0");
  const auto d1 = site.StartDaemon("d1");
  DaemonSite::WaitForNodeCount(d0, 1);
  DaemonSite::WaitForNodeCount(d1, 1);
  // The first daemon has started the job; its reply to the client is treated as lost.
  BatchClient first(d0), second(d1);
  const std::string id = first.Submit("service", {{"key", "", "k", Op::kSet}});
  node.AcceptNextAttempt();
  EXPECT_EQ(first.AttributeAfterAnswer(id, "answer"), "placed");
  const Micros until = pbs_client::WallTime() + 4'000'000;
  const std::string again =
      second.Submit("service", {{"key", "", "k", Op::kSet},
                                {"repeat", "", "true", Op::kSet},
                                {"earlier_until", "", std::to_string(until), Op::kSet}});
  EXPECT_EQ(node.AnswerNextKeySearch(), 1u);
  EXPECT_EQ(second.AttributeAfterAnswer(again, "answer"), "placed");
  EXPECT_NE(second.Attribute(again, "comment").find(id), std::string::npos);
  EXPECT_EQ(node.CountRequests(RequestType::kReadyToCommit), 1u);  // no second attempt
}

}  // namespace
}  // namespace mountflow::testing
