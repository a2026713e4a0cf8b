// A stand-in for a Consul agent's services and their health, sans-I/O: register
// with a TTL check, pass, maintenance, blocking reads of /v1/health/service and
// /v1/catalog/service. Names in bodies are taken in any case, as Consul does.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CATALOG_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CATALOG_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "tools/registry_standin/store.hpp"

namespace mountflow::discovery {

class Catalog {
 public:
  // True when the path is one of its own; the reply comes by Take().
  bool Handle(Micros now, Store::Reader reader, const http::Message& request);
  void Forget(Store::Reader reader);
  void Tick(Micros now);
  Micros NextTimer() const;
  std::vector<Store::Ready> Take();

 private:
  struct Service {
    std::string name, address, status = "critical";
    int port = 0;
    nlohmann::json meta = nlohmann::json::object(), tags = nlohmann::json::array();
    Micros ttl = 0, ends = ~Micros{0};             // of the check; 0: none
    Micros keeps_critical = 0, goes = ~Micros{0};  // 0: stays
    bool maintenance = false;
    std::uint64_t create = 0, modify = 0;
  };
  struct Blocked {
    Store::Reader reader = 0;
    std::string name;
    bool health = false, passing = false, keep_alive = true;
    std::uint64_t after = 0;
    Micros until = 0;
  };
  void Reply(Store::Reader reader, int status, const std::string& body, bool keep_alive);
  void Register(Micros now, Store::Reader reader, const http::Message& request);
  void Changed(Service* service);
  void SetStatus(Micros now, Service* service, const std::string& status);
  std::uint64_t IndexOf(const std::string& name) const;
  void Answer(const Blocked& blocked);

  std::map<std::string, Service> services_;  // by ID
  std::map<std::string, std::uint64_t> index_of_;
  std::uint64_t index_ = 1;
  std::vector<Blocked> blocked_;
  std::vector<Store::Ready> ready_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CATALOG_HPP_
