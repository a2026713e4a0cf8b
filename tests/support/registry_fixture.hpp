// Connects a registry client to in-memory registries, with a simulated clock and injected faults.
#ifndef MOUNTFLOW_TESTS_SUPPORT_REGISTRY_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_REGISTRY_FIXTURE_HPP_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "discovery/client.hpp"
#include "tools/registry_standin/consul_registry.hpp"
#include "tools/registry_standin/etcd_registry.hpp"

namespace mountflow::testing {

// Returns the entry of a node.
inline std::string NodeValue(const std::string& name, double free_cores = 1.0,
                             NodeState state = NodeState::kReady) {
  job_manager::ListedNode n;
  n.name = name, n.address = "127.0.0.1:1", n.rack = "r", n.room = "x", n.kind = "k";
  n.free_cores = free_cores, n.state = state;
  return discovery::EncodeNodeEntry(n);
}

// A registry client and the registries behind its endpoints, named "e0", "e1" and so on. Each endpoint has an
// etcd and a Consul registry, of which the client uses one kind.
class RegistryFixture {
 public:
  RegistryFixture(discovery::RegistryKind kind, std::size_t endpoints = 1, unsigned page = 3) {
    discovery::ClientOptions o;
    o.kind = kind;
    o.page = page;
    o.endpoints.clear();
    for (std::size_t i = 0; i < endpoints; ++i) {
      o.endpoints.push_back("e" + std::to_string(i));
      etcd.push_back(std::make_unique<registry_standin::EtcdRegistry>());
      consul.push_back(std::make_unique<registry_standin::ConsulRegistry>());
      up.push_back(true);
    }
    options = o;
    client = std::make_unique<discovery::RegistryClient>(o, 5);
  }
  discovery::ClientOptions options;
  std::vector<std::unique_ptr<registry_standin::EtcdRegistry>> etcd;
  std::vector<std::unique_ptr<registry_standin::ConsulRegistry>> consul;
  std::vector<bool> up;
  std::unique_ptr<discovery::RegistryClient> client;
  Micros now = 1'000'000'000;
  // Bytes of replies that are still delivered. After that many the connection is closed.
  std::size_t bytes_until_close = ~std::size_t{0};
  bool drops_replies = false;  // all replies are lost, but the connection stays open
  std::map<std::string, job_manager::ListedNode> nodes;  // the node list, merged from all events
  std::size_t events = 0, snapshots = 0;                 // number of events and of snapshots among them
  // Time and node name of each published state other than ready.
  std::vector<std::pair<Micros, std::string>> drains;
  std::vector<std::string> warnings;

  bool IsEtcd() const { return options.kind == discovery::RegistryKind::kEtcd; }
  registry_standin::EtcdRegistry& Etcd() { return *etcd[0]; }
  // Writes the entry of a node to the registries of all endpoints.
  void Put(const std::string& name, double free_cores, NodeState state = NodeState::kReady) {
    const std::string key = options.prefix + name, value = NodeValue(name, free_cores, state);
    if (IsEtcd()) {
      for (auto& e : etcd) e->Put(now, key, value);
    } else {
      http::Message put;
      put.method = "PUT", put.path = "/v1/kv/" + key, put.body = value;
      for (auto& c : consul) c->Handle(now, 0, put);
    }
  }
  // Removes the entry of a node from the registries of all endpoints.
  void Delete(const std::string& name) {
    const std::string key = options.prefix + name;
    if (IsEtcd()) {
      for (auto& e : etcd) e->Delete(now, key);
    } else {
      http::Message request;
      request.method = "DELETE", request.path = "/v1/kv/" + key;
      for (auto& c : consul) c->Handle(now, 0, request);
    }
  }
  // Closes the connection from the side of the registry.
  void CloseConnection() {
    if (!conn_) return;
    ForgetConnection();
    client->Closed(now, "cut");
  }
  // Stops dropping replies. The connection is closed, because a stream cannot continue after lost bytes.
  void StopDroppingReplies() {
    drops_replies = false;
    CloseConnection();
  }
  // Carries out the client's actions and delivers replies until there is nothing left to do.
  void RunUntilIdle() {
    for (int i = 0; i < 10'000; ++i) {
      bool quiet = true;
      client->Tick(now);
      for (auto& a : std::exchange(client->actions(), {})) {
        quiet = false;
        if (const auto* open = std::get_if<discovery::OpenConnection>(&a)) {
          ForgetConnection();
          endpoint_ = static_cast<std::size_t>(std::stoul(open->address.substr(1)));
          if (!up[endpoint_]) {
            client->Closed(now, "refused");
            continue;
          }
          conn_ = ++next_conn_;
          reader_ = std::make_unique<http::Reader>(http::Reader::Side::kRequests, 1 << 20);
          client->Connected(now);
        } else if (const auto* send = std::get_if<discovery::SendBytes>(&a)) {
          if (!conn_) continue;
          reader_->Feed(send->bytes);
          while (!reader_->messages().empty()) {
            const http::Message m = reader_->messages().front();
            reader_->messages().pop_front();
            IsEtcd() ? etcd[endpoint_]->Handle(now, conn_, m) : consul[endpoint_]->Handle(now, conn_, m);
          }
        } else {
          ForgetConnection();
        }
      }
      for (auto& e : etcd) e->Tick(now);
      for (auto& c : consul) c->Tick(now);
      for (std::size_t e = 0; e < etcd.size(); ++e) {
        for (const auto& sent : etcd[e]->Take())
          quiet &= !Deliver(e, sent.connection, sent.bytes, sent.close_after);
        for (const auto& sent : consul[e]->Take()) quiet &= !Deliver(e, sent.connection, sent.bytes, false);
      }
      for (auto& v : client->TakeEvents()) {
        quiet = false;
        Apply(v);
      }
      for (const auto& warning : client->TakeWarnings()) warnings.push_back(Describe(warning));
      if (quiet) return;
    }
    ADD_FAILURE() << "the client did not become idle";
  }
  // Advances the clock by `length` in steps.
  void Run(Micros length, Micros step = 20'000) {
    const Micros to = now + length;
    while (now < to) {
      now = std::min(to, now + step);
      RunUntilIdle();
    }
  }
  // Returns the entries that the registry of the first endpoint holds, by key.
  std::map<std::string, std::string> StoredEntries() {
    if (IsEtcd()) return etcd[0]->Now();
    std::map<std::string, std::string> truth;
    consul[0]->Handle(now, 9999, Get(options.prefix));
    for (const auto& sent : consul[0]->Take()) {
      http::Reader reader(http::Reader::Side::kReplies, 1 << 24);
      reader.Feed(sent.bytes);
      if (reader.messages().front().status != 200) continue;
      const auto pairs = discovery::DecodeKeyValues(reader.messages().front().body);
      for (const auto& kv : pairs.value()) truth[kv.key] = kv.value;
    }
    return truth;
  }
  // Returns the entries of the published node list, by key.
  std::map<std::string, std::string> PublishedEntries() const {
    std::map<std::string, std::string> seen;
    for (const auto& [name, node] : nodes) seen[options.prefix + name] = discovery::EncodeNodeEntry(node);
    return seen;
  }

 private:
  static http::Message Get(const std::string& prefix) {
    http::Message m;
    m.method = "GET", m.path = "/v1/kv/" + prefix, m.query = {{"recurse", ""}};
    return m;
  }
  void ForgetConnection() {
    if (conn_ == 0) return;
    for (auto& e : etcd) e->Forget(conn_);
    for (auto& c : consul) c->Forget(conn_);
    conn_ = 0;
  }
  // Delivers bytes to the client. Returns false if they belong to a closed connection or are dropped.
  bool Deliver(std::size_t from, std::uint64_t conn, const std::string& bytes, bool close) {
    if (conn != conn_ || from != endpoint_ || conn == 0) return false;
    if (drops_replies) return false;
    const std::size_t part = std::min(bytes_until_close, bytes.size());
    if (bytes_until_close != ~std::size_t{0}) bytes_until_close -= part;
    if (part > 0) client->Received(now, std::string_view(bytes).substr(0, part));
    if (part < bytes.size() || close) {
      bytes_until_close = ~std::size_t{0};
      CloseConnection();
    }
    return true;
  }
  void Apply(const job_manager::NodeListEvent& v) {
    ++events;
    if (v.kind == NodeListKind::kSnapshot) ++snapshots, nodes.clear();
    for (const auto& n : v.nodes) {
      if (n.state != NodeState::kReady) drains.emplace_back(now, n.name);
      if (n.state == NodeState::kGone) {
        nodes.erase(n.name);
      } else {
        nodes[n.name] = n;
      }
    }
  }
  std::size_t endpoint_ = 0;
  std::uint64_t conn_ = 0, next_conn_ = 0;
  std::unique_ptr<http::Reader> reader_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_REGISTRY_FIXTURE_HPP_
