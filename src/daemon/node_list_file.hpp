// The file that stores the last node list. The daemon loads it at startup because the registry may be
// unreachable then (see discovery/snapshot.hpp).
#ifndef MOUNTFLOW_DAEMON_NODE_LIST_FILE_HPP_
#define MOUNTFLOW_DAEMON_NODE_LIST_FILE_HPP_

#include <optional>
#include <string>
#include <utility>

#include "daemon/event_log.hpp"
#include "job_manager/job_manager.hpp"
#include "job_manager/messages.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::daemon {

// Loads and saves the node list. Failures are only logged, because the daemon can run without the file. Not
// thread-safe: may be used by the event loop's thread only.
class NodeListFile {
 public:
  // With an empty file name nothing is loaded or saved.
  NodeListFile(std::string file, EventLog* log) : file_(std::move(file)), log_(log) {}

  // Returns the stored node list, marked as cached; nullopt if there is none or it cannot be read.
  [[nodiscard]] std::optional<job_manager::NodeListEvent> Load(Micros now) const;

  // Records that the job manager has a new node list.
  void MarkChanged() { changed_ = true; }
  // Saves the job manager's node list if it has changed, at most once every kMinSaveInterval, because the
  // event loop is blocked while the file is written.
  void SaveIfDue(Micros now, const job_manager::JobManager& job_manager);
  // Saves the job manager's node list if it has changed, without regard to kMinSaveInterval.
  void SaveIfChanged(Micros now, const job_manager::JobManager& job_manager);

 private:
  static constexpr Micros kMinSaveInterval = 10'000'000;  // microseconds

  const std::string file_;
  EventLog* log_;
  bool changed_ = false;  // since the last save
  Micros saved_at_ = 0;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_NODE_LIST_FILE_HPP_
