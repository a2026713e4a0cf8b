// A deployment of real programs on loopback: a registry, any number of daemons that use it, and clients of
// their batch ports.
#ifndef MOUNTFLOW_TESTS_SUPPORT_DAEMON_SITE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_DAEMON_SITE_HPP_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery/entry.hpp"
#include "pbs_client/connection.hpp"
#include "pbs_protocol/protocol.hpp"
#include "tests/support/child_process.hpp"
#include "tests/support/loopback_http.hpp"

namespace mountflow::testing {

struct RunningDaemon {
  std::unique_ptr<Process> process;
  int batch_port = 0;
  int http_port = 0;
  std::string address() const { return "127.0.0.1:" + std::to_string(batch_port); }
};

struct DaemonOptions {
  int batch_port = 0;                       // 0: any free port
  std::string storage_folder = "none";      // "none": jobs are not stored
  std::vector<std::string> command_prefix;  // command and arguments that run the daemon's command
};

// A registry, and functions that start daemons which read their nodes from it.
class DaemonSite {
 public:
  DaemonSite() : registry_({"mountflow-registry-standin", "--listen", "127.0.0.1:0"}) {
    registry_port_ = PortAfter(registry_.ReadLine(), "ready: ");
  }
  int registry_port() const { return registry_port_; }
  std::string registry_address() const { return "127.0.0.1:" + std::to_string(registry_port_); }

  void Publish(const job_manager::ListedNode& node) {
    const std::string target = "/v1/kv/mountflow/nodes/" + node.name;
    ASSERT_EQ(CallHttp(registry_port_, "PUT", target, discovery::EncodeNodeEntry(node)).status, 200);
  }
  RunningDaemon StartDaemon(const std::string& name, const DaemonOptions& options = {}) const {
    std::vector<std::string> arguments = options.command_prefix;
    arguments.push_back(arguments.empty() ? "mountflowd" : ProgramFolder() + "/mountflowd");
    const std::string batch_address = "127.0.0.1:" + std::to_string(options.batch_port);
    arguments.insert(arguments.end(), {"--name", name, "--batch", batch_address, "--http", "127.0.0.1:0",
                                       "--list", registry_address(), "--storage", options.storage_folder});
    return StartDaemonWith(arguments);
  }
  // Starts a daemon with a configuration file and no other options.
  static RunningDaemon StartConfiguredDaemon(const std::string& file) {
    return StartDaemonWith({"mountflowd", "-c", file});
  }
  // Waits until a daemon knows exactly `nodes` nodes.
  static void WaitForNodeCount(const RunningDaemon& daemon, std::size_t nodes) {
    std::string body;
    const bool reached = PollUntil([&] {
      body = CallHttp(daemon.http_port, "GET", "/v1/nodes").body;
      return CountNames(body) == nodes;
    });
    ASSERT_TRUE(reached) << body;
  }

 private:
  static RunningDaemon StartDaemonWith(const std::vector<std::string>& arguments) {
    RunningDaemon daemon;
    daemon.process = std::make_unique<Process>(arguments);
    const std::string line = daemon.process->ReadLine();
    daemon.batch_port = PortAfter(line, "batch ");
    daemon.http_port = PortAfter(line, "http ");
    EXPECT_NE(daemon.batch_port, 0) << line;
    return daemon;
  }
  static std::size_t CountNames(const std::string& nodes) {
    const std::string key = "\"name\"";
    std::size_t count = 0;
    for (std::size_t at = 0; (at = nodes.find(key, at)) != std::string::npos; ++at) ++count;
    return count;
  }

  Process registry_;
  int registry_port_ = 0;
};

// A blocking connection to a daemon's batch port, as user root.
class BatchClient {
 public:
  explicit BatchClient(const RunningDaemon& daemon) {
    const auto connected = connection_.Connect(daemon.address(), kWaitLimit);
    EXPECT_TRUE(connected) << pbs_client::Describe(connected.error());
  }
  pbs_protocol::Reply Call(pbs_protocol::Request request) {
    request.user = "root";
    const auto reply = connection_.Call(request, kWaitLimit);
    EXPECT_TRUE(reply) << pbs_client::Describe(reply.error());
    return reply.value_or(pbs_protocol::Reply{});
  }
  pbs_protocol::Reply Call(pbs_protocol::RequestType type, const std::string& id = "",
                           const std::string& extension = "") {
    pbs_protocol::Request request;
    request.type = type;
    request.id = id;
    request.extension = extension;
    return Call(request);
  }
  // Queues a job without committing it.
  pbs_protocol::Reply Queue(const std::string& queue, pbs_protocol::Attributes attributes = {}) {
    pbs_protocol::Request request;
    request.type = pbs_protocol::RequestType::kQueueJob;
    request.destination = queue;
    request.attributes = std::move(attributes);
    return Call(request);
  }
  // Queues and commits a job. Returns its id.
  std::string Submit(const std::string& queue, pbs_protocol::Attributes attributes = {}) {
    const pbs_protocol::Reply queued = Queue(queue, std::move(attributes));
    EXPECT_EQ(queued.code, pbs_protocol::Code::kNone) << queued.text;
    const pbs_protocol::Reply committed = Call(pbs_protocol::RequestType::kCommit, queued.text);
    EXPECT_EQ(committed.code, pbs_protocol::Code::kNone) << committed.text;
    return committed.text;
  }
  // Deletes a job. A running job is stopped on its node.
  pbs_protocol::Reply Delete(const std::string& id) {
    pbs_protocol::Request request;
    request.type = pbs_protocol::RequestType::kDeleteJob;
    request.command = 1;
    request.id = id;
    return Call(request);
  }
  std::string Attribute(const std::string& id, const std::string& name, const std::string& extension = "") {
    const pbs_protocol::Reply reply = Call(pbs_protocol::RequestType::kStatusJob, id, extension);
    return reply.objects.empty() ? "" : std::string(pbs_protocol::ValueOf(reply.objects[0].attributes, name));
  }
  // Returns an attribute after the job has its final answer or, for the second function, after it has ended.
  std::string AttributeAfterAnswer(const std::string& id, const std::string& name) {
    return Attribute(id, name, "wait=answer,seconds=25");
  }
  std::string AttributeAfterEnd(const std::string& id, const std::string& name) {
    return Attribute(id, name, "wait=end,seconds=25");
  }

 private:
  pbs_client::BatchConnection connection_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_DAEMON_SITE_HPP_
