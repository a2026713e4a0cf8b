// Tests a host's control API over loopback against the replies of a recorded run.
#include "node_agent/node_host.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tests/support/golden.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kMaxRunTime = 20'000'000;

// Sends requests one after another over one connection, and stops the loop after the last reply.
class ControlClient : public event_loop::ConnectionHandler {
 public:
  ControlClient(event_loop::EventLoop* loop, std::vector<std::pair<std::string, std::string>> requests)
      : loop_(loop), requests_(std::move(requests)) {}
  void Start(int port) {
    connection_ = loop_->Connect("127.0.0.1:" + std::to_string(port), this);
    SendNext();
  }
  void OnReceived(event_loop::ConnId, std::string_view bytes) override {
    reader_.Feed(bytes);
    while (!reader_.messages().empty()) {
      const http::Message& reply = reader_.messages().front();
      replies_.push_back(std::to_string(reply.status) + " " + reply.body);
      reader_.messages().pop_front();
      SendNext();
    }
  }
  void OnClosed(event_loop::ConnId, const std::string&) override { loop_->Stop(); }
  const std::vector<std::string>& replies() const { return replies_; }

 private:
  void SendNext() {
    if (replies_.size() == requests_.size()) return loop_->Stop();
    const auto& [method, path] = requests_[replies_.size()];
    loop_->Send(connection_, http::WriteRequest(method, path, {{"Host", "node"}}, ""));
  }

  event_loop::EventLoop* loop_;
  std::vector<std::pair<std::string, std::string>> requests_;
  event_loop::ConnId connection_ = 0;
  http::Reader reader_{http::Reader::Side::kReplies, 1 << 16};
  std::vector<std::string> replies_;
};

// Replaces values that differ between runs: ports and start times.
std::string WithoutRunValues(std::string text, int port) {
  const std::string address = ":" + std::to_string(port);
  for (std::size_t at; (at = text.find(address)) != std::string::npos;)
    text.replace(at, address.size(), ":P");
  const std::string started = "\"started_us\":";
  for (std::size_t at = 0; (at = text.find(started, at)) != std::string::npos;) {
    at += started.size();
    while (text[at] > '0' && text[at] <= '9') text.erase(at, text.find_first_not_of("0123456789", at) - at);
  }
  return text;
}

TEST(NodeHost, EachReplyOfTheControlApiIsAsRecorded) {
  const std::vector<std::pair<std::string, std::string>> requests = {
      {"GET", "/v1/nodes"},
      {"PUT", "/v1/nodes/a/drain"},
      {"GET", "/v1/nodes"},
      {"PUT", "/v1/nodes/a/undrain"},
      {"PUT", "/v1/nodes/a/slow?factor=3"},
      {"PUT", "/v1/nodes/a/slow"},
      {"PUT", "/v1/nodes/a/fail?queue=safe"},
      {"PUT", "/v1/nodes/a/fail"},
      {"PUT", "/v1/nodes/a/hang"},
      {"GET", "/v1/nodes"},
      {"PUT", "/v1/nodes/a/unhang"},
      {"PUT", "/v1/nodes/a/kill"},
      {"PUT", "/v1/nodes/a/kill"},
      {"GET", "/v1/nodes"},
      {"PUT", "/v1/nodes/a/drain"},
      {"PUT", "/v1/nodes/a/undrain"},
      {"PUT", "/v1/nodes/a/slow"},
      {"PUT", "/v1/nodes/a/fail"},
      {"PUT", "/v1/nodes/a/hang"},
      {"PUT", "/v1/nodes/a/start"},
      {"PUT", "/v1/nodes/a/start"},
      {"GET", "/v1/nodes"},
      {"PUT", "/v1/nodes/a/explode"},
      {"PUT", "/v1/nodes/a/"},
      {"PUT", "/v1/nodes/a/drain/"},
      {"PUT", "/v1/nodes/a"},
      {"PUT", "/v1/nodes/b/kill"},
      {"PUT", "/v1/nodes/"},
      {"PUT", "/v1/nodes"},
      {"GET", "/v1/nodes/"},
      {"GET", "/v1/nodes/a/kill"},
      {"POST", "/v1/nodes/a/kill"},
      {"GET", "/"},
  };
  event_loop::EventLoop loop;
  node_agent::NodeHostOptions options;
  options.control_address = "127.0.0.1:0";
  node_agent::HostedNodeConfig node;
  node.config.name = "a";
  node_agent::NodeHost host(&loop, options, {node});
  const auto started = host.Start();
  ASSERT_TRUE(started) << node_agent::Describe(started.error());
  const int port = host.PortOf("a");
  EXPECT_GT(port, 0);
  EXPECT_EQ(host.PortOf("b"), 0);
  ControlClient client(&loop, requests);
  client.Start(host.control_port());
  loop.AddTimer(loop.Now() + kMaxRunTime, [&loop] { loop.Stop(); });
  loop.Run();

  ASSERT_EQ(client.replies().size(), requests.size());
  GoldenFile golden("node_control_api.txt");
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const std::string name = std::to_string(i) + ":" + requests[i].first + requests[i].second;
    golden.AddBytes(name, WithoutRunValues(client.replies()[i], port));
  }
  golden.Compare();
}

}  // namespace
}  // namespace mountflow::testing
