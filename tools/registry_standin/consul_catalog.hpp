// A fake of the services of a Consul agent and their health checks, written from the published HTTP
// interface: registration with a TTL check, check results, maintenance mode, and blocking queries of
// /v1/health/service and /v1/catalog/service. As in Consul, member names in request bodies are not
// case-sensitive. The catalog does no I/O.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_CATALOG_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_CATALOG_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "tools/registry_standin/consul_blocking_query.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

// Holds the registered services and the waiting queries. Not thread-safe. Times must not decrease from call
// to call.
class ConsulCatalog {
 public:
  // Returns false if the path does not belong to the catalog. Otherwise Take() returns the reply.
  bool Handle(Micros now, ConnectionId connection, const http::Message& request);
  // Drops the waiting queries of a closed connection.
  void Forget(ConnectionId connection);
  // Expires checks, removes services that have been critical for too long, and answers due queries.
  void Tick(Micros now);
  // Returns the time of the next required Tick(); kNoTimer if none is needed before the next request.
  [[nodiscard]] Micros NextTimer() const;
  // Returns and clears the replies written since the last call.
  std::vector<Reply> Take();

 private:
  struct Service {
    std::string name;
    std::string address;
    std::string status = "critical";  // status of its check
    int port = 0;
    nlohmann::json meta = nlohmann::json::object();
    nlohmann::json tags = nlohmann::json::array();
    Micros check_ttl = 0;  // 0: no check
    Micros check_expires_at = kNoTimer;
    Micros deregister_after = 0;  // after being critical for this time; 0: never
    Micros deregister_at = kNoTimer;
    bool in_maintenance = false;
    ConsulIndex create_index = 0;
    ConsulIndex modify_index = 0;
  };
  struct ServiceQuery {
    BlockingQuery blocking;
    std::string service_name;
    bool with_health = false;
    bool passing_only = false;
  };
  struct Request {
    Micros now;
    ConnectionId connection;
    const http::Message& message;
    std::string rest;  // the part of the path after the route's prefix
  };
  struct Route {
    std::string_view prefix;
    bool is_whole_path;
    ConsulResult (ConsulCatalog::*handler)(const Request&);
  };

  // Routes match any HTTP method, because Consul before version 1.0 accepted GET for check results.
  static const Route kRoutes[];

  ConsulResult Register(const Request& request);
  ConsulResult Deregister(const Request& request);
  ConsulResult SetMaintenance(const Request& request);
  ConsulResult UpdateCheck(const Request& request);
  ConsulResult QueryHealth(const Request& request);
  ConsulResult QueryServices(const Request& request);

  ConsulResult StartQuery(const Request& request, bool with_health);
  void RecordChange(Service* service);
  void SetStatus(Micros now, Service* service, const std::string& status);
  [[nodiscard]] ConsulIndex IndexOf(const std::string& service_name) const;
  [[nodiscard]] static nlohmann::json ServiceToJson(const std::string& id, const Service& service);
  [[nodiscard]] static nlohmann::json HealthToJson(const std::string& id, const Service& service);
  void Answer(const ServiceQuery& query);

  std::map<std::string, Service> services_;              // by service id
  std::map<std::string, ConsulIndex> index_of_service_;  // by name; outlives the last such service
  ConsulIndex last_index_ = 1;
  std::vector<ServiceQuery> waiting_;
  std::vector<Reply> replies_;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_CATALOG_HPP_
