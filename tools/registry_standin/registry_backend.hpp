// The interface between the server and a registry, independent of the protocol: requests, replies, and the
// changes and faults that tests inject.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REGISTRY_BACKEND_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REGISTRY_BACKEND_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/consul_catalog.hpp"
#include "tools/registry_standin/consul_registry.hpp"
#include "tools/registry_standin/etcd_registry.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

// A registry with one protocol. The functions behave as those of ConsulRegistry and EtcdRegistry.
class RegistryBackend {
 public:
  virtual ~RegistryBackend() = default;

  virtual void Handle(Micros now, ConnectionId connection, const http::Message& request) = 0;
  virtual void Forget(ConnectionId connection) = 0;
  virtual void Tick(Micros now) = 0;
  [[nodiscard]] virtual Micros NextTimer() const = 0;
  [[nodiscard]] virtual std::vector<Reply> Take() = 0;

  virtual void Put(Micros now, const std::string& key, const std::string& value) = 0;
  virtual void Delete(Micros now, const std::string& key) = 0;
  virtual void DeletePrefix(Micros now, const std::string& prefix) = 0;
  virtual void SetLeader(Micros now, bool known) = 0;
  // Restores a backup that is this many revisions old, or the first revision if there are fewer.
  virtual void RestoreBackup(std::uint64_t revisions) = 0;
  virtual void Compact() = 0;
};

// Consul's key-value store and catalog. The catalog handles the paths that belong to it.
class ConsulBackend : public RegistryBackend {
 public:
  // `delay` is the time in microseconds until a change becomes visible to readers.
  explicit ConsulBackend(Micros delay) { registry_.SetDelay(delay); }

  void Handle(Micros now, ConnectionId connection, const http::Message& request) override;
  void Forget(ConnectionId connection) override;
  void Tick(Micros now) override;
  [[nodiscard]] Micros NextTimer() const override;
  // The replies leave the connections open, even if the client requested `Connection: close`, because the
  // client closes them itself.
  [[nodiscard]] std::vector<Reply> Take() override;

  void Put(Micros now, const std::string& key, const std::string& value) override;
  void Delete(Micros now, const std::string& key) override;
  void DeletePrefix(Micros now, const std::string& prefix) override;
  void SetLeader(Micros now, bool known) override;
  void RestoreBackup(std::uint64_t revisions) override;
  void Compact() override {}  // Consul has no compaction

 private:
  ConsulRegistry registry_;
  ConsulCatalog catalog_;
};

// An etcd registry.
class EtcdBackend : public RegistryBackend {
 public:
  void Handle(Micros now, ConnectionId connection, const http::Message& request) override;
  void Forget(ConnectionId connection) override;
  void Tick(Micros now) override;
  [[nodiscard]] Micros NextTimer() const override;
  [[nodiscard]] std::vector<Reply> Take() override;

  void Put(Micros now, const std::string& key, const std::string& value) override;
  void Delete(Micros now, const std::string& key) override;
  void DeletePrefix(Micros now, const std::string& prefix) override;
  void SetLeader(Micros now, bool known) override;
  void RestoreBackup(std::uint64_t revisions) override;
  void Compact() override;

 private:
  EtcdRegistry registry_;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_REGISTRY_BACKEND_HPP_
