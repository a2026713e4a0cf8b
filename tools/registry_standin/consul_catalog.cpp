#include "tools/registry_standin/consul_catalog.hpp"

#include <algorithm>
#include <utility>

#include "discovery/entry.hpp"

namespace mountflow::registry_standin {
namespace {

using discovery::TextOf;
using nlohmann::json;

constexpr char kPassing[] = "passing";
constexpr char kWarning[] = "warning";
constexpr char kCritical[] = "critical";

ConsulResult Fail(int status, std::string text) {
  return tl::unexpected(ConsulError{status, std::move(text)});
}

ConsulResult Succeed() { return ""; }

std::string ToLowerCase(std::string text) {
  for (char& letter : text) {
    if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
  }
  return text;
}

// Returns `value` with member names in lower case at all depths, except below Meta, whose names belong to the
// user.
json WithLowerCaseNames(const json& value) {
  if (!value.is_object()) return value;
  json lower = json::object();
  for (const auto& [key, member] : value.items()) {
    const std::string name = ToLowerCase(key);
    lower[name] = name == "meta" ? member : WithLowerCaseNames(member);
  }
  return lower;
}

json CheckToJson(const std::string& check_id, const std::string& status, const std::string& service_id,
                 const std::string& service_name) {
  return {{"Node", "agent"},  {"CheckID", check_id},     {"Name", "check of " + service_id},
          {"Status", status}, {"ServiceID", service_id}, {"ServiceName", service_name}};
}

}  // namespace

const ConsulCatalog::Route ConsulCatalog::kRoutes[] = {
    {"/v1/agent/service/register", true, &ConsulCatalog::Register},
    {"/v1/agent/service/deregister/", false, &ConsulCatalog::Deregister},
    {"/v1/agent/service/maintenance/", false, &ConsulCatalog::SetMaintenance},
    {"/v1/agent/check/", false, &ConsulCatalog::UpdateCheck},
    {"/v1/health/service/", false, &ConsulCatalog::QueryHealth},
    {"/v1/catalog/service/", false, &ConsulCatalog::QueryServices},
};

bool ConsulCatalog::Handle(Micros now, ConnectionId connection, const http::Message& request) {
  Tick(now);
  for (const Route& route : kRoutes) {
    if (route.is_whole_path ? request.path != route.prefix : !request.path.starts_with(route.prefix))
      continue;
    const ConsulResult result =
        (this->*route.handler)({now, connection, request, request.path.substr(route.prefix.size())});
    if (!result) {
      const ConsulError& error = result.error();
      replies_.push_back(WriteConsulReply(connection, request.keep_alive, error.status, error.text));
    } else if (result->has_value()) {
      replies_.push_back(WriteConsulReply(connection, request.keep_alive, 200, **result));
    }
    Tick(now);
    return true;
  }
  return false;
}

// ---- Requests ----

ConsulResult ConsulCatalog::Register(const Request& request) {
  const json body = WithLowerCaseNames(json::parse(request.message.body, nullptr, false));
  const std::string name = body.is_object() ? TextOf(body, "name") : "";
  if (name.empty()) return Fail(400, "Missing service name");
  const std::string id = TextOf(body, "id").empty() ? name : TextOf(body, "id");
  Service& service = services_[id];
  service.name = name;
  service.address = TextOf(body, "address");
  service.port = body.value("port", 0);
  service.meta = body.value("meta", json::object());
  service.tags = body.value("tags", json::array());
  const json check = body.value("check", json::object());
  service.check_ttl = ParseDuration(TextOf(check, "ttl"));
  service.deregister_after = ParseDuration(TextOf(check, "deregistercriticalserviceafter"));
  RecordChange(&service);
  std::string status = TextOf(check, "status");
  if (status.empty()) status = kCritical;
  SetStatus(request.now, &service, service.check_ttl == 0 ? kPassing : status);
  return Succeed();
}

ConsulResult ConsulCatalog::Deregister(const Request& request) {
  const auto it = services_.find(request.rest);
  if (it == services_.end()) return Fail(404, "Unknown service ID");
  RecordChange(&it->second);
  services_.erase(it);
  return Succeed();
}

ConsulResult ConsulCatalog::SetMaintenance(const Request& request) {
  const auto it = services_.find(request.rest);
  if (it == services_.end()) return Fail(404, "Unknown service ID");
  it->second.in_maintenance = request.message.Query("enable") == "true";
  RecordChange(&it->second);
  return Succeed();
}

// Handles /v1/agent/check/VERB/service:ID.
ConsulResult ConsulCatalog::UpdateCheck(const Request& request) {
  constexpr std::string_view kServicePrefix = "service:";
  const std::size_t slash = request.rest.find('/');
  const std::string verb = request.rest.substr(0, slash);
  const std::string check_id = slash == std::string::npos ? "" : request.rest.substr(slash + 1);
  const auto it = check_id.starts_with(kServicePrefix)
                      ? services_.find(check_id.substr(kServicePrefix.size()))
                      : services_.end();
  if (it == services_.end() || it->second.check_ttl == 0) {
    return Fail(404, "Unknown check ID \"" + check_id + "\"");
  }
  const char* status = kCritical;
  if (verb == "pass") status = kPassing;
  if (verb == "warn") status = kWarning;
  SetStatus(request.now, &it->second, status);
  return Succeed();
}

ConsulResult ConsulCatalog::QueryHealth(const Request& request) { return StartQuery(request, true); }

ConsulResult ConsulCatalog::QueryServices(const Request& request) { return StartQuery(request, false); }

ConsulResult ConsulCatalog::StartQuery(const Request& request, bool with_health) {
  ServiceQuery query;
  query.blocking = ParseBlockingQuery(request.now, request.connection, request.message);
  query.service_name = request.rest;
  query.with_health = with_health;
  query.passing_only = request.message.query.contains("passing");
  if (query.blocking.known_index == 0 || IndexOf(query.service_name) > query.blocking.known_index) {
    Answer(query);
  } else {
    waiting_.push_back(std::move(query));
  }
  return std::nullopt;
}

// ---- State of services ----

void ConsulCatalog::RecordChange(Service* service) {
  service->modify_index = ++last_index_;
  if (service->create_index == 0) service->create_index = last_index_;
  index_of_service_[service->name] = last_index_;
}

void ConsulCatalog::SetStatus(Micros now, Service* service, const std::string& status) {
  const bool is_critical = status == kCritical;
  const bool can_expire = service->check_ttl != 0 && !is_critical;
  service->check_expires_at = can_expire ? now + service->check_ttl : kNoTimer;
  if (service->status == status) return;
  service->status = status;
  const bool deregisters = is_critical && service->deregister_after != 0;
  service->deregister_at = deregisters ? now + service->deregister_after : kNoTimer;
  RecordChange(service);
}

ConsulIndex ConsulCatalog::IndexOf(const std::string& service_name) const {
  const auto it = index_of_service_.find(service_name);
  return it == index_of_service_.end() ? 1 : it->second;
}

// ---- Time ----

void ConsulCatalog::Tick(Micros now) {
  for (auto it = services_.begin(); it != services_.end();) {
    Service& service = it->second;
    if (service.check_expires_at <= now) SetStatus(now, &service, kCritical);
    if (service.deregister_at > now) {
      ++it;
      continue;
    }
    RecordChange(&service);
    it = services_.erase(it);
  }
  std::erase_if(waiting_, [this, now](const ServiceQuery& query) {
    const BlockingQuery& blocking = query.blocking;
    if (blocking.expires_at > now && IndexOf(query.service_name) <= blocking.known_index) return false;
    Answer(query);
    return true;
  });
}

Micros ConsulCatalog::NextTimer() const {
  Micros next = kNoTimer;
  for (const auto& [id, service] : services_) {
    next = std::min({next, service.check_expires_at, service.deregister_at});
  }
  for (const ServiceQuery& query : waiting_) next = std::min(next, query.blocking.expires_at);
  return next;
}

void ConsulCatalog::Forget(ConnectionId connection) {
  std::erase_if(waiting_,
                [connection](const ServiceQuery& query) { return query.blocking.connection == connection; });
}

std::vector<Reply> ConsulCatalog::Take() { return std::exchange(replies_, {}); }

// ---- Answers ----

json ConsulCatalog::ServiceToJson(const std::string& id, const Service& service) {
  return {{"Node", "agent"},
          {"Address", "127.0.0.1"},
          {"ServiceID", id},
          {"ServiceName", service.name},
          {"ServiceAddress", service.address},
          {"ServicePort", service.port},
          {"ServiceMeta", service.meta},
          {"ServiceTags", service.tags},
          {"CreateIndex", service.create_index},
          {"ModifyIndex", service.modify_index}};
}

json ConsulCatalog::HealthToJson(const std::string& id, const Service& service) {
  json checks = {CheckToJson("serfHealth", kPassing, id, service.name)};
  if (service.check_ttl != 0)
    checks.push_back(CheckToJson("service:" + id, service.status, id, service.name));
  if (service.in_maintenance) {
    checks.push_back(CheckToJson("_service_maintenance:" + id, kCritical, id, service.name));
  }
  return {{"Node", {{"Node", "agent"}, {"Address", "127.0.0.1"}, {"Datacenter", "dc1"}}},
          {"Service",
           {{"ID", id},
            {"Service", service.name},
            {"Address", service.address},
            {"Port", service.port},
            {"Meta", service.meta},
            {"Tags", service.tags},
            {"CreateIndex", service.create_index},
            {"ModifyIndex", service.modify_index}}},
          {"Checks", checks}};
}

void ConsulCatalog::Answer(const ServiceQuery& query) {
  json services = json::array();
  for (const auto& [id, service] : services_) {
    if (service.name != query.service_name) continue;
    const bool is_passing = service.status == kPassing && !service.in_maintenance;
    if (query.passing_only && !is_passing) continue;
    services.push_back(query.with_health ? HealthToJson(id, service) : ServiceToJson(id, service));
  }
  replies_.push_back(
      WriteQueryReply(query.blocking, 200, IndexOf(query.service_name), true, services.dump()));
}

}  // namespace mountflow::registry_standin
