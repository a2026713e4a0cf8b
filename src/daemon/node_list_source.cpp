#include "daemon/node_list_source.hpp"

#include <optional>

namespace mountflow::daemon {

NodeListSource::NodeListSource(const config::DaemonConfig& config, std::uint64_t seed,
                               event_loop::EventLoop* loop, job_manager::JobManager* job_manager,
                               tls::Keys* keys, EventLog* log)
    : loop_(loop),
      job_manager_(job_manager),
      list_on_request_(config.job_manager.settings.list_on_request),
      client_(config.node_list, seed),
      connection_(loop, &client_, keys, [this] { OnConnectionClosed(); }),
      file_(config.node_list_snapshot_file, log) {}

void NodeListSource::LoadSavedList() {
  const std::optional<job_manager::NodeListEvent> saved = file_.Load(loop_->Now());
  if (saved) job_manager_->HandleNodeList(loop_->Now(), *saved);
}

void NodeListSource::Poll() {
  connection_.Poll();
  for (const job_manager::NodeListEvent& view : client_.TakeEvents()) {
    job_manager_->HandleNodeList(loop_->Now(), view);
    file_.MarkChanged();
  }
}

std::vector<std::string> NodeListSource::TakeWarnings() {
  std::vector<std::string> texts;
  for (const discovery::RegistryWarning& warning : client_.TakeWarnings()) texts.push_back(Describe(warning));
  return texts;
}

void NodeListSource::OnConnectionClosed() {
  if (!list_on_request_) return;
  job_manager::NodeListEvent unavailable;
  unavailable.kind = NodeListKind::kUnavailable;
  job_manager_->HandleNodeList(loop_->Now(), unavailable);
}

}  // namespace mountflow::daemon
