#include "tools/registry_standin/catalog.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mountflow::discovery {
namespace {

using nlohmann::json;

bool After(const std::string& path, const std::string& prefix, std::string* rest) {
  if (path.compare(0, prefix.size(), prefix) != 0) return false;
  *rest = path.substr(prefix.size());
  return true;
}

// Member names in lower case, at all depths but below Meta, whose names are the user's.
json Lower(const json& j) {
  if (!j.is_object()) return j;
  json lower = json::object();
  for (const auto& [key, value] : j.items()) {
    std::string name = key;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c); });
    lower[name] = name == "meta" ? value : Lower(value);
  }
  return lower;
}

}  // namespace

void Catalog::Reply(Store::Reader reader, int status, const std::string& body, bool keep_alive) {
  ready_.push_back({reader, http::WriteReply(status, {}, body, keep_alive), keep_alive});
}

void Catalog::Changed(Service* service) {
  service->modify = ++index_;
  if (service->create == 0) service->create = index_;
  index_of_[service->name] = index_;
}

void Catalog::SetStatus(Micros now, Service* s, const std::string& status) {
  s->ends = s->ttl != 0 && status != "critical" ? now + s->ttl : ~Micros{0};
  if (s->status == status) return;
  s->status = status;
  s->goes = status == "critical" && s->keeps_critical != 0 ? now + s->keeps_critical : ~Micros{0};
  Changed(s);
}

void Catalog::Register(Micros now, Store::Reader reader, const http::Message& request) {
  const json body = Lower(json::parse(request.body, nullptr, false));
  const std::string name = body.is_object() ? TextOf(body, "name") : "";
  if (name.empty()) return Reply(reader, 400, "Missing service name", request.keep_alive);
  const std::string id = TextOf(body, "id").empty() ? name : TextOf(body, "id");
  Service& s = services_[id];
  s.name = name;
  s.address = TextOf(body, "address");
  s.port = body.value("port", 0);
  s.meta = body.value("meta", json::object());
  s.tags = body.value("tags", json::array());
  const json check = body.value("check", json::object());
  s.ttl = Duration(TextOf(check, "ttl"));
  s.keeps_critical = Duration(TextOf(check, "deregistercriticalserviceafter"));
  Changed(&s);
  SetStatus(now, &s,
            s.ttl == 0                        ? "passing"
            : TextOf(check, "status").empty() ? "critical"
                                              : TextOf(check, "status"));
  Reply(reader, 200, "", request.keep_alive);
}

bool Catalog::Handle(Micros now, Store::Reader reader, const http::Message& r) {
  Tick(now);
  std::string rest;
  if (r.path == "/v1/agent/service/register") {
    Register(now, reader, r);
  } else if (After(r.path, "/v1/agent/service/deregister/", &rest)) {
    const auto it = services_.find(rest);
    if (it == services_.end()) {
      Reply(reader, 404, "Unknown service ID", r.keep_alive);
    } else {
      Changed(&it->second);
      services_.erase(it);
      Reply(reader, 200, "", r.keep_alive);
    }
  } else if (After(r.path, "/v1/agent/service/maintenance/", &rest)) {
    const auto it = services_.find(rest);
    if (it == services_.end()) {
      Reply(reader, 404, "Unknown service ID", r.keep_alive);
    } else {
      it->second.maintenance = r.Query("enable") == "true";
      Changed(&it->second);
      Reply(reader, 200, "", r.keep_alive);
    }
  } else if (After(r.path, "/v1/agent/check/", &rest)) {  // GET too: servers before 1.0 took it
    const std::size_t slash = rest.find('/');
    const std::string verb = rest.substr(0, slash), prefix = "service:";
    const std::string check = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const auto it = check.compare(0, prefix.size(), prefix) == 0 ? services_.find(check.substr(prefix.size()))
                                                                 : services_.end();
    if (it == services_.end() || it->second.ttl == 0) {
      Reply(reader, 404, "Unknown check ID \"" + check + "\"", r.keep_alive);
    } else {
      SetStatus(now, &it->second, verb == "pass" ? "passing" : verb == "warn" ? "warning" : "critical");
      Reply(reader, 200, "", r.keep_alive);
    }
  } else if (After(r.path, "/v1/health/service/", &rest) || After(r.path, "/v1/catalog/service/", &rest)) {
    Blocked b;
    b.reader = reader;
    b.name = rest;
    b.health = r.path[4] == 'h';
    b.passing = r.query.count("passing") > 0;
    b.keep_alive = r.keep_alive;
    b.after = std::strtoull(r.Query("index", "0").c_str(), nullptr, 10);
    const Micros wait = r.query.count("wait") > 0 ? Duration(r.Query("wait")) : 300'000'000;
    b.until = now + std::min<Micros>(wait, 600'000'000);
    if (b.after == 0 || IndexOf(b.name) > b.after) {
      Answer(b);
    } else {
      blocked_.push_back(std::move(b));
    }
  } else {
    return false;
  }
  Tick(now);
  return true;
}

std::uint64_t Catalog::IndexOf(const std::string& name) const {
  const auto it = index_of_.find(name);
  return it == index_of_.end() ? 1 : it->second;
}

void Catalog::Answer(const Blocked& b) {
  json all = json::array();
  for (const auto& [id, s] : services_) {
    if (s.name != b.name || (b.passing && (s.status != "passing" || s.maintenance))) continue;
    if (!b.health) {
      all.push_back({{"Node", "agent"},
                     {"Address", "127.0.0.1"},
                     {"ServiceID", id},
                     {"ServiceName", s.name},
                     {"ServiceAddress", s.address},
                     {"ServicePort", s.port},
                     {"ServiceMeta", s.meta},
                     {"ServiceTags", s.tags},
                     {"CreateIndex", s.create},
                     {"ModifyIndex", s.modify}});
      continue;
    }
    const auto check = [&, &id = id, &s = s](const std::string& check_id, const std::string& status) {
      return json{{"Node", "agent"},  {"CheckID", check_id}, {"Name", "check of " + id},
                  {"Status", status}, {"ServiceID", id},     {"ServiceName", s.name}};
    };
    json checks = {check("serfHealth", "passing")};
    if (s.ttl != 0) checks.push_back(check("service:" + id, s.status));
    if (s.maintenance) checks.push_back(check("_service_maintenance:" + id, "critical"));
    all.push_back({{"Node", {{"Node", "agent"}, {"Address", "127.0.0.1"}, {"Datacenter", "dc1"}}},
                   {"Service",
                    {{"ID", id},
                     {"Service", s.name},
                     {"Address", s.address},
                     {"Port", s.port},
                     {"Meta", s.meta},
                     {"Tags", s.tags},
                     {"CreateIndex", s.create},
                     {"ModifyIndex", s.modify}}},
                   {"Checks", checks}});
  }
  ready_.push_back({b.reader,
                    http::WriteReply(200,
                                     {{"Content-Type", "application/json"},
                                      {"X-Consul-Index", std::to_string(IndexOf(b.name))},
                                      {"X-Consul-Knownleader", "true"},
                                      {"X-Consul-Lastcontact", "0"}},
                                     all.dump(), b.keep_alive),
                    b.keep_alive});
}

void Catalog::Forget(Store::Reader reader) {
  std::erase_if(blocked_, [reader](const Blocked& b) { return b.reader == reader; });
}

void Catalog::Tick(Micros now) {
  for (auto it = services_.begin(); it != services_.end();) {
    Service& s = it->second;
    if (s.ends <= now) SetStatus(now, &s, "critical");
    if (s.goes > now) {
      ++it;
      continue;
    }
    Changed(&s);
    it = services_.erase(it);
  }
  for (std::size_t i = 0; i < blocked_.size();) {
    if (blocked_[i].until > now && IndexOf(blocked_[i].name) <= blocked_[i].after) {
      ++i;
      continue;
    }
    const Blocked b = std::move(blocked_[i]);
    blocked_.erase(blocked_.begin() + static_cast<std::ptrdiff_t>(i));
    Answer(b);
  }
}

Micros Catalog::NextTimer() const {
  Micros next = ~Micros{0};
  for (const auto& [id, s] : services_) next = std::min({next, s.ends, s.goes});
  for (const Blocked& b : blocked_) next = std::min(next, b.until);
  return next;
}

std::vector<Store::Ready> Catalog::Take() { return std::exchange(ready_, {}); }

}  // namespace mountflow::discovery
