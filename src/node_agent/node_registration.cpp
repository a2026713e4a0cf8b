#include "node_agent/node_registration.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "discovery/entry.hpp"

namespace mountflow::node_agent {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace

NodeRegistration::Lease::Lease(event_loop::EventLoop* loop, discovery::RegistrarOptions options,
                               std::uint64_t seed, tls::Keys* keys)
    : registrar(std::move(options), seed), connection(loop, &registrar, keys) {}

NodeRegistration::NodeRegistration(event_loop::EventLoop* loop, const NodeHostOptions& options,
                                   tls::Keys* keys)
    : loop_(loop), options_(options), keys_(keys) {
  if (!options_.node_list_address.empty() && options_.lease == 0) {
    publisher_ = std::make_unique<RegistryPublisher>(loop_, options_, keys_);
  }
}

Micros NodeRegistration::Update(const std::string& node, const std::optional<job_manager::ListedNode>& entry,
                                bool host_stops) {
  if (!publisher_ && options_.lease == 0) return kNever;
  State state = State::kDown;
  if (entry) state = entry->state == NodeState::kDraining ? State::kDraining : State::kReady;
  Published& published = published_[node];
  const Micros now = loop_->Now();
  const bool changed = state != published.state;
  if (changed || now >= published.next_update_at) {
    Publish(node, entry, changed, host_stops);
    published = {state, now + options_.publish_period};
  }
  Micros next = entry ? published.next_update_at : kNever;
  if (const auto lease = leases_.find(node); lease != leases_.end()) {
    lease->second->connection.Poll();
    next = std::min(next, lease->second->registrar.NextTimer());
  }
  return next;
}

void NodeRegistration::Publish(const std::string& node, const std::optional<job_manager::ListedNode>& entry,
                               bool immediately, bool host_stops) {
  const std::string value = entry ? discovery::EncodeNodeEntry(*entry) : "";
  if (publisher_) {
    publisher_->SetEntry(node, value, immediately);
  } else if (entry || host_stops) {
    LeaseOf(node).registrar.SetEntry(loop_->Now(), value, immediately);
  } else {
    leases_.erase(node);  // the node is down: the lease is not renewed, so the entry expires
  }
}

NodeRegistration::Lease& NodeRegistration::LeaseOf(const std::string& node) {
  auto& lease = leases_[node];
  if (!lease) {
    discovery::RegistrarOptions options;
    options.kind = options_.uses_etcd ? discovery::RegistryKind::kEtcd : discovery::RegistryKind::kConsul;
    options.endpoints = {options_.node_list_address};
    options.key = options_.entry_prefix + node;
    options.service = options_.consul_service;
    options.time_to_live = options_.lease;
    options.min_interval = options_.publish_period;
    lease = std::make_unique<Lease>(loop_, std::move(options), leases_.size(), keys_);
  }
  return *lease;
}

Micros NodeRegistration::Dispatch() {
  if (!publisher_) return kNever;
  publisher_->Dispatch();
  return publisher_->NextTimer();
}

bool NodeRegistration::AllWritten() const {
  const bool leases_written = std::all_of(
      leases_.begin(), leases_.end(), [](const auto& lease) { return lease.second->registrar.IsUpToDate(); });
  return leases_written && (!publisher_ || publisher_->AllWritten());
}

}  // namespace mountflow::node_agent
