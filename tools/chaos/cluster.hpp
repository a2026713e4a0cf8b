// The cluster of a chaos test: one registry stand-in, one program that simulates all nodes, and the daemons,
// with a recording proxy in front of each of their ports. Starts and supervises the programs, and gives fault
// injectors access to nodes, daemons and proxies.
#ifndef MOUNTFLOW_TOOLS_CHAOS_CLUSTER_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_CLUSTER_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "tools/chaos/child_process.hpp"
#include "tools/chaos/cluster_config.hpp"
#include "tools/chaos/event_recorder.hpp"
#include "tools/chaos/recording_proxy.hpp"
#include "tools/chaos/runner.hpp"
#include "tools/chaos/scenario.hpp"

namespace mountflow::chaos {

struct ClusterNode {
  std::string name;
  std::string rack;
  std::string zone;
  std::unique_ptr<RecordingProxy> proxy;
  bool is_alive = true;
};

struct ClusterDaemon {
  std::string name;
  std::unique_ptr<RecordingProxy> client_proxy;
  std::unique_ptr<RecordingProxy> report_proxy;
  std::unique_ptr<RecordingProxy> node_list_proxy;
  TrafficControl node_list_control;
  std::unique_ptr<ChildProcess> process;
  bool is_up = false;
  bool is_stopping = false;          // SIGTERM was sent; the daemon must exit by itself
  double restart_after_seconds = 0;  // delay between that exit and the next start
  bool sees_all_nodes = false;       // has received at least one node list with all nodes
};

// Inputs and services that a cluster uses. All pointers must outlive the cluster.
struct ClusterContext {
  const Scenario* scenario = nullptr;
  const RunOptions* options = nullptr;
  event_loop::EventLoop* loop = nullptr;
  MessageLogWriter* log = nullptr;
  EventRecorder* events = nullptr;
};

// Runs all programs of one scenario.
class Cluster : public event_loop::ConnectionHandler {
 public:
  // `on_ready` is called once, when all daemons are up and have received a list of all nodes. `on_failure` is
  // called at each failure.
  Cluster(const ClusterContext& context, std::function<void()> on_ready,
          std::function<void(const RunError&)> on_failure);

  // Opens the proxies, writes the head of the message log, and starts the first program. The program of
  // the nodes is started when the registry is ready, and the daemons when the nodes are ready.
  [[nodiscard]] tl::expected<void, RunError> Start();
  // Kills all programs with SIGKILL and waits until they have ended.
  void KillAll();

  [[nodiscard]] std::vector<ClusterNode>& nodes() { return nodes_; }
  [[nodiscard]] std::vector<ClusterDaemon>& daemons() { return daemons_; }
  void StartDaemon(std::size_t index);
  // Sends SIGTERM to the daemon. The run fails unless the daemon exits by itself with status 0. The daemon is
  // started again `restart_after_seconds` after its exit.
  void StopDaemon(std::size_t index, double restart_after_seconds);
  // Send one control request to the program of the nodes or to the registry stand-in. Replies are ignored.
  void ControlNode(const std::string& node, const std::string& action);
  void ControlRegistry(const std::string& path);
  // Delays the delivery of node lists to daemons by `seconds`.
  void DelayNodeLists(double seconds);
  // Apply a function to the node list connections of one daemon, or of all daemons (kAnyDaemon).
  void ChangeNodeListControl(int daemon, const std::function<void(TrafficControl*)>& change);
  void ForEachNodeListProxy(int daemon, const std::function<void(RecordingProxy*)>& call);

  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;

 private:
  [[nodiscard]] tl::expected<void, RunError> AddNode(int number);
  [[nodiscard]] tl::expected<void, RunError> AddDaemon(int number);
  [[nodiscard]] tl::expected<std::unique_ptr<RecordingProxy>, RunError> OpenProxy(ProxyPoint point,
                                                                                  const std::string& peer);
  [[nodiscard]] tl::expected<void, RunError> StartRegistry();
  void OnRegistryReady(const std::string& first_line);
  void OnNodesReady(const std::string& first_line);
  void OnDaemonReady(std::size_t index, const std::string& first_line);
  void OnDaemonExit(std::size_t index, int status);
  void OnDaemonStopped(std::size_t index, int status);
  [[nodiscard]] std::function<void(int)> FailOnExit(const std::string& program);
  void ReportReadyOnce();
  [[nodiscard]] std::vector<NodeAddress> NodeAddresses() const;
  [[nodiscard]] bool WriteFile(const std::string& name, const json& content);
  [[nodiscard]] std::string FileNamed(const std::string& name) const;
  [[nodiscard]] std::string Program(const std::string& name) const;
  void Put(const std::string& address, const std::string& path);

  ClusterContext context_;
  std::function<void()> on_ready_;
  std::function<void(const RunError&)> on_failure_;
  std::vector<ClusterNode> nodes_;
  std::vector<ClusterDaemon> daemons_;
  std::unique_ptr<ChildProcess> registry_process_;
  std::unique_ptr<ChildProcess> nodes_process_;
  std::string registry_address_;
  std::string node_control_address_;
  bool is_ready_ = false;
  bool is_stopping_ = false;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_CLUSTER_HPP_
