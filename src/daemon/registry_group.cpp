#include "daemon/registry_group.hpp"

#include <algorithm>
#include <utility>

#include "discovery/entry.hpp"
#include "job_manager/messages.hpp"

namespace mountflow::daemon {
namespace {

discovery::ClientOptions MembersOptions(const config::DaemonConfig& config) {
  discovery::ClientOptions options = config.node_list;
  options.prefix = config.group.prefix;
  options.service.clear();  // daemons are keys even where nodes are instances of a service
  // Each completed read confirms the view, so reads must complete at least this often.
  options.wait = std::min(options.wait, membership::ConfirmationInterval(config.group.max_view_age));
  return options;
}

discovery::RegistrarOptions OwnEntryOptions(const config::DaemonConfig& config) {
  discovery::RegistrarOptions options;
  options.kind = config.node_list.kind;
  options.endpoints = config.node_list.endpoints;
  options.key = config.group.prefix + config.job_manager.server;
  options.token = config.node_list.token;
  options.user = config.node_list.user;
  options.password = config.node_list.password;
  options.time_to_live = config.group.entry_time_to_live;
  return options;
}

}  // namespace

RegistryGroup::RegistryGroup(const config::DaemonConfig& config, Seeds seeds, event_loop::EventLoop* loop,
                             tls::Keys* keys)
    : loop_(loop),
      own_name_(config.job_manager.server),
      prefix_(config.group.prefix),
      members_(MembersOptions(config), seeds.members),
      members_connection_(loop, &members_, keys, {}),
      own_entry_(OwnEntryOptions(config), seeds.own_entry),
      own_entry_connection_(loop, &own_entry_, keys),
      group_({config.job_manager.server, config.group.max_view_age}) {}

void RegistryGroup::Join(const std::string& address) {
  job_manager::ListedNode self;  // a daemon's entry has the same format as a node's
  self.name = own_name_;
  self.address = address;
  self.started = loop_->Now();
  own_entry_.SetEntry(loop_->Now(), discovery::EncodeNodeEntry(self), true);
}

void RegistryGroup::Leave() { own_entry_.SetEntry(loop_->Now(), "", true); }

std::optional<MembershipChange> RegistryGroup::Poll() {
  own_entry_connection_.Poll();
  members_connection_.Poll();
  members_.TakeEvents();  // discarded: the entries are read from the client's state
  return group_.Update(CurrentView(loop_->Now()));
}

membership::GroupView RegistryGroup::CurrentView(Micros now) {
  const discovery::NodeListStatus status = members_.Status(now);
  const auto& entries = members_.state().entries();
  const bool has_own_entry = entries.count(prefix_ + own_name_) > 0;
  if (status.known && !has_own_entry) own_entry_.OnEntryMissing(now - status.age);

  membership::GroupView view;
  for (const auto& [key, entry] : entries) view.names.push_back(key.substr(prefix_.size()));
  view.known = status.known;
  view.view_age = status.age;
  view.lease_expires_at = own_entry_.HeldUntil();
  view.history = members_.state().incarnations() + own_entry_.incarnations();  // neither value ever decreases
  view.now = now;
  return view;
}

std::vector<std::string> RegistryGroup::TakeWarnings() {
  std::vector<std::string> warnings;
  for (const discovery::RegistryWarning& warning : own_entry_.TakeWarnings()) {
    warnings.push_back(Describe(warning));
  }
  for (const discovery::RegistryWarning& warning : members_.TakeWarnings()) {
    warnings.push_back("daemons: " + Describe(warning));
  }
  return warnings;
}

Micros RegistryGroup::NextTimer() const {
  return std::min({own_entry_.NextTimer(), members_.NextTimer(), group_.NextTimer()});
}

}  // namespace mountflow::daemon
