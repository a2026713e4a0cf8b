// Where the job manager's node list comes from: the registry, and at a start the file of the last list.
#ifndef MOUNTFLOW_DAEMON_NODE_LIST_SOURCE_HPP_
#define MOUNTFLOW_DAEMON_NODE_LIST_SOURCE_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "daemon/event_log.hpp"
#include "daemon/node_list_file.hpp"
#include "daemon/registry_connection.hpp"
#include "discovery/client.hpp"
#include "event_loop/event_loop.hpp"
#include "job_manager/job_manager.hpp"
#include "mountflow/scheduler.hpp"
#include "tls/keys.hpp"

namespace mountflow::daemon {

// Not thread-safe: used by the event loop's thread alone. The pointers must outlive it.
class NodeListSource {
 public:
  NodeListSource(const config::DaemonConfig& config, std::uint64_t seed, event_loop::EventLoop* loop,
                 job_manager::JobManager* job_manager, tls::Keys* keys, EventLog* log);
  NodeListSource(const NodeListSource&) = delete;
  NodeListSource& operator=(const NodeListSource&) = delete;

  // Hands the saved node list to the job manager, if there is one.
  void LoadSavedList();
  // Reads on and hands what came to the job manager. Call after each turn of the loop.
  void Poll();
  // The job manager asks for a new read of the whole list.
  void StartFullRead() { client_.StartFullRead(loop_->Now()); }
  void SaveIfDue() { file_.SaveIfDue(loop_->Now(), *job_manager_); }
  void SaveIfChanged() { file_.SaveIfChanged(loop_->Now(), *job_manager_); }

  // Texts for the log on what cannot be read, since the last call.
  [[nodiscard]] std::vector<std::string> TakeWarnings();
  [[nodiscard]] Micros NextTimer() const { return client_.NextTimer(); }
  [[nodiscard]] const discovery::RegistryClient& client() const { return client_; }

 private:
  void OnConnectionClosed();

  event_loop::EventLoop* loop_;
  job_manager::JobManager* job_manager_;
  const bool list_on_request_;  // the job manager awaits an answer to each read
  discovery::RegistryClient client_;
  RegistryConnection connection_;
  NodeListFile file_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_NODE_LIST_SOURCE_HPP_
