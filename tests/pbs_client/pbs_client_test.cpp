// Tests of the PBS client with a fake server on the loopback interface.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "pbs_client/connection.hpp"
#include "pbs_client/submission.hpp"

namespace mountflow::pbs_client {
namespace {

using pbs_protocol::Choice;
using pbs_protocol::Code;
using pbs_protocol::Reply;
using pbs_protocol::Request;
using pbs_protocol::RequestType;

constexpr Micros kTimeout = 10'000'000;

// Serves one connection at a time, on a thread of its own. `answer` returns the reply to each request. If it
// returns nothing, the server closes the connection.
class FakeServer {
 public:
  using Answer = std::function<std::optional<Reply>(const Request& request)>;

  explicit FakeServer(Answer answer) : answer_(std::move(answer)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(listen(listener_, 8), 0);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    thread_ = std::thread([this] { Run(); });
  }
  ~FakeServer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  const std::string& address() const { return address_; }
  // Not synchronised: call it only when no client is connected.
  const std::vector<Request>& requests() const { return requests_; }

 private:
  void Run() {
    for (;;) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) return;
      Serve(fd);
      close(fd);
    }
  }
  void Serve(int fd) {
    std::string input;
    char buffer[4096];
    for (;;) {
      Request request;
      const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(input, &request);
      if (parsed.state == pbs_protocol::DisState::kOk) {
        input.erase(0, parsed.used);
        requests_.push_back(request);
        const std::optional<Reply> reply = answer_(request);
        if (!reply) return;
        std::string bytes;
        pbs_protocol::Encode(*reply, &bytes);
        if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return;
        continue;
      }
      const ssize_t count = recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0) return;
      input.append(buffer, static_cast<std::size_t>(count));
    }
  }

  Answer answer_;
  int listener_ = -1;
  std::string address_;
  std::vector<Request> requests_;
  std::thread thread_;
};

Reply QueuedReply(const std::string& id) {
  Reply reply;
  reply.choice = Choice::kQueued;
  reply.text = id;
  return reply;
}

Reply RejectionReply(Code code, const std::string& text, std::int64_t auxiliary = 0) {
  Reply reply;
  reply.code = code;
  reply.auxiliary = auxiliary;
  reply.choice = Choice::kText;
  reply.text = text;
  return reply;
}

// Accepts a submission as job "7.d0".
Reply Accept(const Request& request) {
  return request.type == RequestType::kQueueJob ? QueuedReply("7.d0") : Reply{};
}

Submission MakeSubmission() {
  Submission submission;
  submission.user = "root@test";
  submission.destination = "late";
  submission.script = "echo\n";
  return submission;
}

// ---- Connection ----

TEST(BatchConnection, ReportsBadAddresses) {
  BatchConnection connection;
  const auto bad_port = connection.Connect("127.0.0.1:x", kTimeout);
  ASSERT_FALSE(bad_port);
  EXPECT_EQ(bad_port.error().code, ConnectionErrorCode::kBadPort);
  EXPECT_EQ(Describe(bad_port.error()), "127.0.0.1:x: expected HOST:PORT");
  EXPECT_FALSE(connection.Connect("127.0.0.1:65536", kTimeout));
  const auto bad_host = connection.Connect("nowhere:1", kTimeout);
  ASSERT_FALSE(bad_host);
  EXPECT_EQ(Describe(bad_host.error()), "nowhere:1: expected an IP address");
}

TEST(BatchConnection, ReportsConnectionErrorAndCallWithoutConnection) {
  BatchConnection connection;
  std::string address;
  {
    FakeServer server(Accept);
    address = server.address();
  }
  const auto connected = connection.Connect(address, kTimeout);
  ASSERT_FALSE(connected);
  EXPECT_EQ(connected.error().system, std::errc::connection_refused);
  EXPECT_EQ(Describe(connected.error()), address + ": Connection refused");
  const auto reply = connection.Call(Request{}, kTimeout);
  ASSERT_FALSE(reply);
  EXPECT_EQ(reply.error().code, ConnectionErrorCode::kNotConnected);
}

TEST(BatchConnection, ReturnsReplyWhateverItsCode) {
  FakeServer server([](const Request&) { return RejectionReply(Code::kPermission, "no"); });
  BatchConnection connection;
  ASSERT_TRUE(connection.Connect(server.address(), kTimeout));
  for (int i = 0; i < 2; ++i) {
    const auto reply = connection.Call(Request{}, kTimeout);
    ASSERT_TRUE(reply) << Describe(reply.error());
    EXPECT_EQ(reply->code, Code::kPermission);
    EXPECT_EQ(reply->text, "no");
  }
}

TEST(BatchConnection, ClosesAfterTimeoutAndAfterServerClosed) {
  FakeServer closing([](const Request&) { return std::nullopt; });
  BatchConnection connection;
  ASSERT_TRUE(connection.Connect(closing.address(), kTimeout));
  auto reply = connection.Call(Request{}, kTimeout);
  ASSERT_FALSE(reply);
  EXPECT_EQ(Describe(reply.error()), "connection closed by the daemon");
  EXPECT_EQ(connection.Call(Request{}, kTimeout).error().code, ConnectionErrorCode::kNotConnected);

  std::promise<void> client_timed_out;
  FakeServer slow([&client_timed_out](const Request&) {
    client_timed_out.get_future().wait();
    return Reply{};
  });
  ASSERT_TRUE(connection.Connect(slow.address(), kTimeout));
  reply = connection.Call(Request{}, 20'000);
  client_timed_out.set_value();
  ASSERT_FALSE(reply);
  EXPECT_EQ(reply.error().code, ConnectionErrorCode::kReplyTimeout);
}

// ---- Submission ----

TEST(Submit, SendsScriptInChunksAndCommits) {
  FakeServer server(Accept);
  Submission submission = MakeSubmission();
  submission.script = std::string((64 << 10) + 1, 'x');
  const auto job = Submit({server.address()}, submission);
  ASSERT_TRUE(job) << Describe(job.error());
  EXPECT_EQ(job->id, "7.d0");
  EXPECT_EQ(job->server, server.address());
  EXPECT_FALSE(job->already_existed);
  std::vector<RequestType> types;
  for (const Request& request : server.requests()) types.push_back(request.type);
  EXPECT_EQ(types, (std::vector<RequestType>{RequestType::kQueueJob, RequestType::kJobScript,
                                             RequestType::kJobScript, RequestType::kReadyToCommit,
                                             RequestType::kCommit}));
  EXPECT_EQ(server.requests()[2].script, "x");
  EXPECT_EQ(server.requests()[2].sequence, 1u);
}

TEST(Submit, ReturnsJobThatAlreadyExists) {
  FakeServer server([](const Request&) { return RejectionReply(Code::kExists, "5.d0"); });
  const auto job = Submit({server.address()}, MakeSubmission());
  ASSERT_TRUE(job);
  EXPECT_EQ(job->id, "5.d0");
  EXPECT_TRUE(job->already_existed);
}

TEST(Submit, ReportsRejectionWithoutRetryAfterAtOnce) {
  FakeServer server([](const Request&) { return RejectionReply(Code::kBadValue, "bad"); });
  Submission submission = MakeSubmission();
  submission.max_attempts = 3;
  const auto job = Submit({server.address()}, submission);
  ASSERT_FALSE(job);
  EXPECT_EQ(job.error().reply_code, Code::kBadValue);
  EXPECT_EQ(Describe(job.error()), std::string(pbs_protocol::Describe(Code::kBadValue)) + ": bad");
  EXPECT_EQ(server.requests().size(), 1u);
}

TEST(Submit, RetriesAfterTheTimeThatServerStates) {
  int rejections = 1;
  FakeServer server([&rejections](const Request& request) {
    return rejections-- > 0 ? RejectionReply(Code::kSystem, "busy", 1) : Accept(request);
  });
  Submission submission = MakeSubmission();
  submission.max_attempts = 2;
  EXPECT_TRUE(Submit({server.address()}, submission));
}

TEST(Submit, InformsNextServerOfCommitWithoutReply) {
  FakeServer first([](const Request& request) -> std::optional<Reply> {
    if (request.type == RequestType::kCommit) return std::nullopt;
    return Accept(request);
  });
  FakeServer second(Accept);
  Submission submission = MakeSubmission();
  submission.key = "k";
  submission.client_time = kTimeout;
  submission.max_attempts = 2;
  const auto job = Submit({first.address(), second.address()}, submission);
  ASSERT_TRUE(job) << Describe(job.error());
  EXPECT_EQ(job->server, second.address());
  const pbs_protocol::Attributes& attributes = second.requests()[0].attributes;
  EXPECT_EQ(pbs_protocol::ValueOf(attributes, "key"), "k");
  EXPECT_EQ(pbs_protocol::ValueOf(attributes, "repeat"), "true");
  EXPECT_EQ(pbs_protocol::ValueOf(attributes, "earlier_until"),
            pbs_protocol::ValueOf(first.requests()[0].attributes, "owner_deadline"));
}

TEST(Submit, DoesNotRetryCommitWithoutReplyAndKey) {
  FakeServer server([](const Request& request) -> std::optional<Reply> {
    if (request.type == RequestType::kCommit) return std::nullopt;
    return Accept(request);
  });
  Submission submission = MakeSubmission();
  submission.max_attempts = 3;
  const auto job = Submit({server.address()}, submission);
  ASSERT_FALSE(job);
  EXPECT_EQ(Describe(job.error()), "connection closed by the daemon; the job may have been taken as 7.d0");
}

TEST(Submit, NeedsServer) {
  const auto job = Submit({}, MakeSubmission());
  ASSERT_FALSE(job);
  EXPECT_EQ(Describe(job.error()), "no daemon is named");
}

}  // namespace
}  // namespace mountflow::pbs_client
