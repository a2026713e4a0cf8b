#include "tools/registry_standin/registry_backend.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::registry_standin {
namespace {

// Returns the revision that is `revisions` before `newest`, but at least 1, which is the first revision.
Revision RevisionBefore(Revision newest, std::uint64_t revisions) {
  return newest - std::min(newest - 1, revisions);
}

}  // namespace

// ---- Consul ----

void ConsulBackend::Handle(Micros now, ConnectionId connection, const http::Message& request) {
  if (!catalog_.Handle(now, connection, request)) registry_.Handle(now, connection, request);
}

void ConsulBackend::Forget(ConnectionId connection) {
  registry_.Forget(connection);
  catalog_.Forget(connection);
}

void ConsulBackend::Tick(Micros now) {
  registry_.Tick(now);
  catalog_.Tick(now);
}

Micros ConsulBackend::NextTimer() const { return std::min(registry_.NextTimer(), catalog_.NextTimer()); }

std::vector<Reply> ConsulBackend::Take() {
  std::vector<Reply> replies = registry_.Take();
  for (Reply& reply : catalog_.Take()) replies.push_back(std::move(reply));
  for (Reply& reply : replies) reply.close_after = false;
  return replies;
}

void ConsulBackend::Put(Micros now, const std::string& key, const std::string& value) {
  registry_.Put(now, key, value);
}

void ConsulBackend::Delete(Micros now, const std::string& key) { registry_.Delete(now, key); }

void ConsulBackend::DeletePrefix(Micros now, const std::string& prefix) {
  registry_.DeletePrefix(now, prefix);
}

void ConsulBackend::SetLeader(Micros now, bool known) { registry_.SetLeader(now, known); }

void ConsulBackend::RestoreBackup(std::uint64_t revisions) {
  registry_.RestoreIndex(RevisionBefore(registry_.index(), revisions));
}

// ---- etcd ----

void EtcdBackend::Handle(Micros now, ConnectionId connection, const http::Message& request) {
  registry_.Handle(now, connection, request);
}

void EtcdBackend::Forget(ConnectionId connection) { registry_.Forget(connection); }

void EtcdBackend::Tick(Micros now) { registry_.Tick(now); }

Micros EtcdBackend::NextTimer() const { return registry_.NextTimer(); }

std::vector<Reply> EtcdBackend::Take() { return registry_.Take(); }

void EtcdBackend::Put(Micros now, const std::string& key, const std::string& value) {
  registry_.Put(now, key, value);
}

void EtcdBackend::Delete(Micros now, const std::string& key) { registry_.Delete(now, key); }

void EtcdBackend::DeletePrefix(Micros now, const std::string& prefix) { registry_.DeletePrefix(now, prefix); }

void EtcdBackend::SetLeader(Micros now, bool known) { registry_.SetLeader(now, known); }

void EtcdBackend::RestoreBackup(std::uint64_t revisions) {
  registry_.Restore(RevisionBefore(registry_.revision(), revisions));
}

void EtcdBackend::Compact() { registry_.Compact(registry_.revision()); }

}  // namespace mountflow::registry_standin
