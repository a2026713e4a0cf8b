// Turns changes of registry keys into node list events and coalesces frequent changes. An event holds the
// latest state of each changed key, and ordinary changes are published at most once per `min_interval`. A
// node that starts to drain or is removed is published immediately.
#ifndef MOUNTFLOW_DISCOVERY_NODE_LIST_COALESCER_HPP_
#define MOUNTFLOW_DISCOVERY_NODE_LIST_COALESCER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/registry_warning.hpp"
#include "discovery/state.hpp"
#include "job_manager/messages.hpp"

namespace mountflow::discovery {

// Collects changes of keys until the next event is due. Not thread-safe.
class NodeListCoalescer {
 public:
  explicit NodeListCoalescer(Micros min_interval) : min_interval_(min_interval) {}

  // Merges changes into the next event. Returns a warning for each value that is not a valid entry, but only
  // one for each revision of it; the previous state of that node is retained.
  [[nodiscard]] std::vector<RegistryWarning> Merge(const std::vector<KeyChange>& changes);
  // Records that a full read is complete. If no event was published yet, the next one is a snapshot, which
  // may be empty.
  void OnFullRead() { snapshot_due_ |= !has_published_; }

  // Returns the event that is due now, if any.
  [[nodiscard]] std::optional<job_manager::NodeListEvent> TakeEvent(Micros now);
  // Returns when the next event is due, or nothing if none is pending.
  [[nodiscard]] std::optional<Micros> NextTimer() const;

  [[nodiscard]] bool has_published() const { return has_published_; }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }

 private:
  [[nodiscard]] bool HasPending() const { return !pending_.empty() || snapshot_due_; }
  void RemoveNode(const std::string& key);
  void UpdateNode(const std::string& key, job_manager::ListedNode node);

  const Micros min_interval_;
  std::map<std::string, job_manager::ListedNode> nodes_;    // by key; includes unpublished changes
  std::map<std::string, job_manager::ListedNode> pending_;  // by key; changes not published yet
  std::map<std::string, std::uint64_t> warned_revisions_;   // by key; last revision warned about
  bool is_urgent_ = false;
  bool snapshot_due_ = false;
  bool has_published_ = false;
  Micros published_at_ = 0;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_NODE_LIST_COALESCER_HPP_
