// A fake node on the loopback interface. The test chooses its reply to each batch protocol request.
#ifndef MOUNTFLOW_TESTS_SUPPORT_FAKE_BATCH_NODE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_FAKE_BATCH_NODE_HPP_

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/entry.hpp"
#include "pbs_client/connection.hpp"
#include "pbs_protocol/protocol.hpp"
#include "tests/support/child_process.hpp"
#include "tests/support/loopback_http.hpp"

namespace mountflow::testing {

// Serves its sockets only during calls of its member functions, in the test's thread. Answers QueueJob and
// JobScript requests, and status requests for all tasks, by itself; the test answers all other requests.
class FakeBatchNode {
 public:
  struct ReceivedRequest {
    int connection = -1;
    pbs_protocol::Request request;
  };

  explicit FakeBatchNode(std::string name) : name_(std::move(name)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(0);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 64) != 0) {
      abort();
    }
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~FakeBatchNode() {
    for (const auto& [connection, input] : input_) close(connection);
    close(listener_);
  }
  FakeBatchNode(const FakeBatchNode&) = delete;
  FakeBatchNode& operator=(const FakeBatchNode&) = delete;

  job_manager::ListedNode Entry() const {
    job_manager::ListedNode node;
    node.name = name_;
    node.address = "127.0.0.1:" + std::to_string(port_);
    node.rack = "rack";
    node.room = "room-a";
    node.kind = "small";
    node.free_cores = 32;
    node.free_memory = 64;
    return node;
  }
  // Waits for the next request of this type that the test must answer. Fails the test if none arrives within
  // kWaitLimit.
  ReceivedRequest WaitForRequest(pbs_protocol::RequestType type) {
    const Micros deadline = MonotonicTime() + kWaitLimit;
    for (;;) {
      const auto found = std::find_if(unanswered_.begin(), unanswered_.end(),
                                      [type](const auto& received) { return received.request.type == type; });
      if (found != unanswered_.end()) {
        const ReceivedRequest received = *found;
        unanswered_.erase(found);
        return received;
      }
      if (MonotonicTime() > deadline) {
        ADD_FAILURE() << "no request of type " << static_cast<unsigned>(type);
        return {};
      }
      ServeOnce(100);
    }
  }
  // Accepts the next attempt and returns its commit.
  ReceivedRequest AcceptNextAttempt() {
    Reply(WaitForRequest(pbs_protocol::RequestType::kReadyToCommit));
    const ReceivedRequest commit = WaitForRequest(pbs_protocol::RequestType::kCommit);
    Reply(commit);
    accepted_.insert(commit.request.id);
    return commit;
  }
  // Answers the next search for a key as a node does: with the accepted attempt whose user and key are
  // exactly those of the search. Returns the number of attempts in the reply.
  std::size_t AnswerNextKeySearch() {
    const ReceivedRequest search = WaitForRequest(pbs_protocol::RequestType::kSelectJobs);
    const std::string_view key = pbs_protocol::ValueOf(search.request.attributes, "key");
    pbs_protocol::Reply reply;
    reply.choice = pbs_protocol::Choice::kSelected;
    for (const ReceivedRequest& received : received_) {
      const pbs_protocol::Request& request = received.request;
      if (request.type != pbs_protocol::RequestType::kQueueJob || accepted_.count(request.id) == 0) continue;
      const std::string user(pbs_protocol::ValueOf(request.attributes, "Job_Owner"));
      if (user + "\n" + std::string(pbs_protocol::ValueOf(request.attributes, "key")) != key) continue;
      reply.ids.push_back(request.id);
    }
    SendReply(search.connection, reply);
    return reply.ids.size();
  }
  // Returns the number of requests of this type that arrived so far.
  std::size_t CountRequests(pbs_protocol::RequestType type) const {
    return static_cast<std::size_t>(
        std::count_if(received_.begin(), received_.end(),
                      [type](const auto& received) { return received.request.type == type; }));
  }
  void Reply(const ReceivedRequest& received, pbs_protocol::Code code = pbs_protocol::Code::kNone,
             int auxiliary = 0, const std::string& text = "") {
    pbs_protocol::Reply reply;
    reply.code = code;
    reply.auxiliary = auxiliary;
    if (!text.empty()) {
      reply.choice = pbs_protocol::Choice::kText;
      reply.text = text;
    }
    const auto type = received.request.type;
    const bool is_of_attempt =
        type == pbs_protocol::RequestType::kStatusJob || type == pbs_protocol::RequestType::kDeleteJob;
    // As a node does, says which process does not have the attempt.
    if (code == pbs_protocol::Code::kUnknownJob && is_of_attempt) {
      reply.choice = pbs_protocol::Choice::kStatus;
      reply.objects = StatusWithoutTasks().objects;
    }
    SendReply(received.connection, reply);
  }
  // Sends a reply. Does nothing if the daemon has closed the connection.
  void SendReply(int connection, const pbs_protocol::Reply& reply) {
    std::string bytes;
    pbs_protocol::Encode(reply, &bytes);
    if (send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) return;
  }
  // Resets the connection of a request instead of answering it.
  void ResetConnection(const ReceivedRequest& received) {
    const linger reset_on_close{1, 0};
    setsockopt(received.connection, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close(received.connection);
    input_.erase(received.connection);
  }
  // Serves its sockets until `condition` returns true. Returns false if that takes longer than kWaitLimit.
  bool ServeUntil(const std::function<bool()>& condition) {
    const Micros deadline = MonotonicTime() + kWaitLimit;
    while (!condition()) {
      if (MonotonicTime() > deadline) return false;
      ServeOnce(20);
    }
    return true;
  }
  // Reports the end of an attempt's task to a daemon, as a node does, and returns the code of the daemon's
  // reply. If `end` is 0, the report contains no times.
  static pbs_protocol::Code ReportEnd(int batch_port, const std::string& attempt, const std::string& reason,
                                      int status, Micros start = 0, Micros end = 0) {
    pbs_client::BatchConnection client;
    pbs_protocol::Request request;
    request.type = pbs_protocol::RequestType::kJobObit;
    request.user = "node@double";
    request.id = attempt;
    request.status = status;
    request.attributes = {{"end_reason", "", reason, pbs_protocol::Op::kSet}};
    if (end != 0) {
      request.attributes.push_back({"start", "", std::to_string(start), pbs_protocol::Op::kSet});
      request.attributes.push_back({"end", "", std::to_string(end), pbs_protocol::Op::kSet});
    }
    const auto connected = client.Connect("127.0.0.1:" + std::to_string(batch_port), kWaitLimit);
    EXPECT_TRUE(connected) << pbs_client::Describe(connected.error());
    const auto reply = client.Call(request, kWaitLimit);
    EXPECT_TRUE(reply) << pbs_client::Describe(reply.error());
    return reply.value_or(pbs_protocol::Reply{}).code;
  }

 private:
  // Waits for input for at most `wait_ms` milliseconds, then reads once from each readable socket.
  void ServeOnce(int wait_ms) {
    std::vector<pollfd> readable = {{listener_, POLLIN, 0}};
    for (const auto& [connection, input] : input_) readable.push_back({connection, POLLIN, 0});
    if (poll(readable.data(), readable.size(), wait_ms) <= 0) return;
    for (const pollfd& ready : readable) {
      if (ready.revents == 0) continue;
      if (ready.fd == listener_) {
        AcceptConnection();
      } else {
        ReadFrom(ready.fd);
      }
    }
  }
  void AcceptConnection() {
    const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection >= 0) input_[connection];
  }
  void ReadFrom(int connection) {
    char buffer[65536];
    const ssize_t size = recv(connection, buffer, sizeof buffer, MSG_DONTWAIT);
    if (size <= 0) {
      close(connection);
      input_.erase(connection);
      return;
    }
    std::string& input = input_[connection];
    input.append(buffer, static_cast<std::size_t>(size));
    for (;;) {
      ReceivedRequest received{connection, {}};
      const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(input, &received.request);
      if (parsed.state != pbs_protocol::DisState::kOk) return;
      input.erase(0, parsed.used);
      HandleRequest(received);
    }
  }
  void HandleRequest(const ReceivedRequest& received) {
    received_.push_back(received);
    const auto type = received.request.type;
    if (type == pbs_protocol::RequestType::kQueueJob || type == pbs_protocol::RequestType::kJobScript) {
      Reply(received);
    } else if (type == pbs_protocol::RequestType::kStatusJob && received.request.id.empty()) {
      SendReply(received.connection, StatusWithoutTasks());
    } else {
      unanswered_.push_back(received);
    }
  }
  pbs_protocol::Reply StatusWithoutTasks() const {
    pbs_protocol::Reply reply;
    reply.choice = pbs_protocol::Choice::kStatus;
    reply.objects = {{pbs_protocol::ObjectType::kServer,
                      name_,
                      {{"started", "", "0", pbs_protocol::Op::kSet},
                       {"process_started", "", "0", pbs_protocol::Op::kSet}}}};
    return reply;
  }

  std::string name_;
  int listener_ = -1;
  int port_ = 0;
  std::map<int, std::string> input_;  // bytes that are not decoded yet, by connection
  std::vector<ReceivedRequest> unanswered_;
  std::vector<ReceivedRequest> received_;  // all requests since the start
  std::set<std::string> accepted_;         // attempts
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_FAKE_BATCH_NODE_HPP_
