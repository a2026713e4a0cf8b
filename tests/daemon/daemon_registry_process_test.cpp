// Tests a daemon and its registry: the node list over etcd, leases of nodes, and the group of daemons.
#include <fstream>

#include "discovery/etcd.hpp"
#include "tests/support/daemon_process_fixture.hpp"
#include "tests/support/temporary_folder.hpp"

namespace mountflow::testing {
namespace {

// Returns the fields of a group event as the log prints them.
std::string GroupFields(int size, int index) {
  return R"("group_index":)" + std::to_string(index) + R"(,"group_size":)" + std::to_string(size);
}

TEST(DaemonRegistry, FollowsEtcdAndServesItsLastViewWithoutTheRegistry) {
  const TemporaryFolder folder;
  auto registry = std::make_unique<Process>(
      std::vector<std::string>{"mountflow-registry-standin", "--etcd", "--listen", "127.0.0.1:0"});
  const int port = PortAfter(registry->ReadLine(), "ready: ");
  FakeBatchNode node("n"), other("o");
  const auto put = [&](const job_manager::ListedNode& listed) {
    EXPECT_EQ(
        CallHttp(port, "POST", "/v3/kv/put",
                 discovery::WritePut("mountflow/nodes/" + listed.name, discovery::EncodeNodeEntry(listed), 0))
            .status,
        200);
  };
  put(node.Entry());
  std::ofstream(folder.File("daemon.json"))
      << R"({"name": "d0", "listen": {"batch": "127.0.0.1:0", "http": "127.0.0.1:0"}, "list": {"kind": "etcd",
    "address": "127.0.0.1:)"
      << port << R"(", "snapshot": ")" << folder.path() << R"(/view"}})";
  const auto start = [&folder] { return DaemonSite::StartConfiguredDaemon(folder.File("daemon.json")); };
  {
    const auto daemon = start();
    DaemonSite::WaitForNodeCount(daemon, 1);
    put(other.Entry());
    DaemonSite::WaitForNodeCount(daemon, 2);
    EXPECT_EQ(
        CallHttp(port, "POST", "/v3/kv/deleterange", discovery::WriteDelete("mountflow/nodes/o")).status,
        200);
    DaemonSite::WaitForNodeCount(daemon, 1);
    registry->Kill();  // the daemon continues with the last node list
    BatchClient client(daemon);
    const std::string id = client.Submit("service");
    node.AcceptNextAttempt();
    EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
  }
  const auto daemon = start();  // loads the stored node list
  DaemonSite::WaitForNodeCount(daemon, 1);
  EXPECT_NE(CallHttp(daemon.http_port, "GET", "/v1/status").body.find("\"known\":false"), std::string::npos);
  BatchClient client(daemon);
  const std::string id = client.Submit("service");
  node.AcceptNextAttempt();
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
}

TEST(DaemonRegistry, NodeUnderALeaseIsRemovedWhenItDies) {
  for (const bool etcd : {false, true}) {
    std::vector<std::string> arguments = {"mountflow-registry-standin", "--listen", "127.0.0.1:0"};
    if (etcd) arguments.push_back("--etcd");
    Process registry(arguments);
    const std::string address = "127.0.0.1:" + std::to_string(PortAfter(registry.ReadLine(), "ready: "));
    arguments = {"mountflow-node", "--name", "n", "--list", address, "--lease", "1.5"};
    if (etcd) arguments.push_back("--etcd");
    auto node = std::make_unique<Process>(arguments);
    ASSERT_FALSE(node->ReadLine().empty());
    const TemporaryFolder folder;
    std::ofstream(folder.File("daemon.json"))
        << R"({"listen": {"batch": "127.0.0.1:0", "http": "127.0.0.1:0"}, "list": {"kind": ")"
        << (etcd ? "etcd" : "consul") << R"(", "address": ")" << address << R"("}, "storage": {"folder": ")"
        << folder.path() << R"(/jobs"}})";
    const auto daemon = DaemonSite::StartConfiguredDaemon(folder.File("daemon.json"));
    DaemonSite::WaitForNodeCount(daemon, 1);
    node->Kill();  // its entry remains until the lease expires
    DaemonSite::WaitForNodeCount(daemon, 0);
  }
}

TEST(DaemonRegistry, DaemonsNumberThemselvesAndLoseTheirNumbersWithoutTheRegistry) {
  for (const bool etcd : {false, true}) {
    const TemporaryFolder folder;
    std::vector<std::string> arguments = {"mountflow-registry-standin", "--listen", "127.0.0.1:0"};
    if (etcd) arguments.push_back("--etcd");
    auto registry = std::make_unique<Process>(arguments);
    const int port = PortAfter(registry->ReadLine(), "ready: ");
    const auto start = [&](const std::string& name) {
      std::ofstream(folder.File(name + ".json"))
          << R"({"name": ")" << name
          << R"(", "listen": {"batch": "127.0.0.1:0", "http": "127.0.0.1:0"}, "log": {"file": ")"
          << folder.path() << "/" << name
          << R"(.log"}, "group": {"from_registry": true, "ttl_s": 1.5, "most_age_s": 3}, "list": {"kind": ")"
          << (etcd ? "etcd" : "consul") << R"(", "address": "127.0.0.1:)" << port << R"("}})";
      auto process = std::make_unique<Process>(
          std::vector<std::string>{"mountflowd", "-c", folder.File(name + ".json"), "--storage", "none"});
      EXPECT_FALSE(process->ReadLine().empty());
      return process;
    };
    // Group changes are written to the log at once.
    const auto log_contains = [&folder](const std::string& name, const std::string& text) {
      return WaitForTextInFile(folder.File(name + ".log"), text);
    };
    const auto d0 = start("d0");
    EXPECT_TRUE(log_contains("d0", GroupFields(1, 0)));
    auto d1 = start("d1");
    EXPECT_TRUE(log_contains("d0", GroupFields(2, 0)));
    EXPECT_TRUE(log_contains("d1", GroupFields(2, 1)));
    registry->Kill();
    EXPECT_TRUE(log_contains("d0", GroupFields(2, -1)));  // the group size is still known, the index is not
    EXPECT_TRUE(log_contains("d1", GroupFields(2, -1)));
  }
}

}  // namespace
}  // namespace mountflow::testing
