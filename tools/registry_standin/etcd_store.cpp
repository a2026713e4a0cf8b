#include "tools/registry_standin/etcd_store.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "discovery/entry.hpp"
#include "discovery/etcd.hpp"

namespace mountflow::discovery {
namespace {

using nlohmann::json;

std::string Text(std::uint64_t number) { return std::to_string(number); }

std::uint64_t Number(const json& j, const char* name) {
  const auto it = j.find(name);
  if (it == j.end()) return 0;
  if (it->is_number()) return it->get<std::uint64_t>();
  std::uint64_t value = 0;
  if (it->is_string()) {
    const std::string& text = it->get_ref<const std::string&>();
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

std::string Bytes(const json& j, const char* name) {
  std::string bytes;
  const auto it = j.find(name);
  if (it != j.end() && it->is_string()) FromBase64(it->get_ref<const std::string&>(), &bytes);
  return bytes;
}

bool Within(const std::string& key, const std::string& from, const std::string& to) {
  if (to.empty()) return key == from;
  if (to == std::string(1, '\0')) return key >= from;
  return key >= from && key < to;
}

}  // namespace

json EtcdStore::Header() const {
  return {
      {"cluster_id", Text(cluster_)}, {"member_id", "1"}, {"revision", Text(revision_)}, {"raft_term", "2"}};
}

std::map<std::string, std::string> EtcdStore::At(std::uint64_t revision) const {
  std::map<std::string, std::string> state;
  for (const Event& e : history_) {
    if (e.revision > revision) break;
    if (e.removed) {
      state.erase(e.key);
    } else {
      state[e.key] = e.value;
    }
  }
  return state;
}

std::uint64_t EtcdStore::Commit(Micros now, std::vector<Event> events) {
  ++revision_;
  for (Event& e : events) {
    e.revision = revision_;
    history_.push_back(std::move(e));
  }
  ServeAll(now);
  return revision_;
}

std::uint64_t EtcdStore::Put(Micros now, const std::string& key, const std::string& value,
                             std::uint64_t lease) {
  auto& [create, had] = created_[key];
  if (had != 0 && had != lease && leases_.count(had) > 0) leases_[had].keys.erase(key);
  had = lease;
  if (lease != 0 && leases_.count(lease) > 0) leases_[lease].keys.insert(key);
  if (create == 0) create = revision_ + 1;
  return Commit(now, {{0, key, value, false}});
}

std::uint64_t EtcdStore::PutAll(Micros now, const std::vector<std::pair<std::string, std::string>>& pairs) {
  std::vector<Event> events;
  for (const auto& [key, value] : pairs) {
    auto& [create, lease] = created_[key];
    if (create == 0) create = revision_ + 1;
    events.push_back({0, key, value, false});
  }
  return Commit(now, std::move(events));
}

std::uint64_t EtcdStore::Delete(Micros now, const std::string& key) {
  if (created_.erase(key) == 0) return revision_;
  return Commit(now, {{0, key, "", true}});
}

void EtcdStore::SetLeader(Micros now, bool known) {
  leader_ = known;
  if (!known) return;
  for (auto& [id, lease] : leases_) lease.ends = now + lease.ttl_s * 1'000'000;
}

void EtcdStore::Remove(Micros now, const std::string& prefix) {
  for (const auto& [key, value] : Now()) {
    if (key.compare(0, prefix.size(), prefix) == 0) Delete(now, key);
  }
}

std::size_t EtcdStore::DeleteRange(Micros now, const std::string& from, const std::string& to) {
  std::vector<Event> events;
  for (const auto& [key, value] : Now()) {
    if (Within(key, from, to)) events.push_back({0, key, "", true});
  }
  const std::size_t count = events.size();
  for (const Event& e : events) created_.erase(e.key);
  if (count != 0) Commit(now, std::move(events));
  return count;
}

void EtcdStore::Restore(std::uint64_t revision) {
  const auto state = At(revision);
  std::erase_if(history_, [revision](const Event& e) { return e.revision > revision; });
  revision_ = revision;
  ++cluster_;
  compacted_ = std::min(compacted_, revision);
  created_.clear();
  for (const Event& e : history_) {
    if (e.removed) {
      created_.erase(e.key);
    } else if (created_[e.key].first == 0) {
      created_[e.key].first = e.revision;
    }
  }
  for (const Watch& w : watches_) sent_.push_back({w.conn, "", true});
  watches_.clear();
}

void EtcdStore::Reply(Conn conn, int status, const std::string& body, bool keep_alive) {
  sent_.push_back({conn, http::WriteReply(status, {{"Content-Type", "application/json"}}, body, keep_alive),
                   !keep_alive});
}

void EtcdStore::Fail(Conn conn, int status, int code, const std::string& text, bool keep_alive) {
  Reply(conn, status, json{{"error", text}, {"code", code}, {"message", text}}.dump(), keep_alive);
}

void EtcdStore::Stream(Conn conn, const std::string& message) {
  const std::string line = message + "\n";
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size());
  sent_.push_back({conn, size + line + "\r\n", false});
}

void EtcdStore::Handle(Micros now, Conn conn, const http::Message& r) {
  Tick(now);
  const json body = json::parse(r.body, nullptr, false);
  if (r.method != "POST" || !body.is_object())
    return Fail(conn, 400, 3, "expected POST of a JSON object", r.keep_alive);
  if (!leader_) return Fail(conn, 503, 14, "etcdserver: no leader", r.keep_alive);
  if (r.path == "/v3/auth/authenticate") {
    if (body.value("name", "") != breaks.user || body.value("password", "") != breaks.password) {
      return Fail(conn, 400, 3, "etcdserver: authentication failed, invalid user ID or password",
                  r.keep_alive);
    }
    const std::string token = "token-" + Text(++next_id_);
    tokens_.insert(token);
    return Reply(conn, 200, json{{"header", Header()}, {"token", token}}.dump(), r.keep_alive);
  }
  if (!breaks.user.empty() && tokens_.count(r.Header("authorization")) == 0) {
    return Fail(conn, 401, 16, "etcdserver: invalid auth token", r.keep_alive);
  }
  if (r.path == "/v3/kv/range") return Range(conn, r);
  if (r.path == "/v3/watch") return StartWatch(now, conn, r);
  if (r.path == "/v3/kv/put") {
    const std::uint64_t lease = Number(body, "lease");
    if (lease != 0 && leases_.count(lease) == 0) {
      return Fail(conn, 404, 5, "etcdserver: requested lease not found", r.keep_alive);
    }
    Put(now, Bytes(body, "key"), Bytes(body, "value"), lease);
    return Reply(conn, 200, json{{"header", Header()}}.dump(), r.keep_alive);
  }
  if (r.path == "/v3/kv/deleterange") {
    const std::size_t deleted = DeleteRange(now, Bytes(body, "key"), Bytes(body, "range_end"));
    json reply = {{"header", Header()}};
    if (deleted != 0) reply["deleted"] = Text(deleted);  // zeroes are left out by the gateway
    return Reply(conn, 200, reply.dump(), r.keep_alive);
  }
  if (r.path == "/v3/lease/grant") {
    std::uint64_t id = Number(body, "ID");
    if (id == 0) id = ++next_id_;
    Lease& lease = leases_[id];
    lease.ttl_s = std::max<std::uint64_t>(1, Number(body, "TTL"));
    lease.ends = now + lease.ttl_s * 1'000'000;
    return Reply(conn, 200, json{{"header", Header()}, {"ID", Text(id)}, {"TTL", Text(lease.ttl_s)}}.dump(),
                 r.keep_alive);
  }
  if (r.path == "/v3/lease/keepalive") {
    const std::uint64_t id = Number(body, "ID");
    const auto it = leases_.find(id);
    if (it != leases_.end()) it->second.ends = now + it->second.ttl_s * 1'000'000;
    json result = {{"header", Header()}, {"ID", Text(id)}};
    if (it != leases_.end()) result["TTL"] = Text(it->second.ttl_s);
    return Reply(conn, 200, json{{"result", result}}.dump(), r.keep_alive);
  }
  if (r.path == "/v3/lease/revoke" || r.path == "/v3/kv/lease/revoke") {
    const auto it = leases_.find(Number(body, "ID"));
    if (it == leases_.end()) return Fail(conn, 404, 5, "etcdserver: requested lease not found", r.keep_alive);
    it->second.ends = now;
    Tick(now);
    return Reply(conn, 200, json{{"header", Header()}}.dump(), r.keep_alive);
  }
  if (r.path == "/v3/lease/timetolive" || r.path == "/v3/kv/lease/timetolive") {
    const auto it = leases_.find(Number(body, "ID"));
    json reply = {{"header", Header()}, {"ID", Text(Number(body, "ID"))}, {"TTL", "-1"}};
    if (it != leases_.end()) {
      reply["TTL"] = Text((it->second.ends - now) / 1'000'000);
      reply["grantedTTL"] = Text(it->second.ttl_s);
      if (body.value("keys", false)) {
        for (const std::string& key : it->second.keys) reply["keys"].push_back(Base64(key));
      }
    }
    return Reply(conn, 200, reply.dump(), r.keep_alive);
  }
  if (r.path == "/v3/kv/compaction") {
    Compact(Number(body, "revision"));
    return Reply(conn, 200, json{{"header", Header()}}.dump(), r.keep_alive);
  }
  Fail(conn, 404, 5, "Not Found", r.keep_alive);
}

void EtcdStore::Range(Conn conn, const http::Message& r) {
  const json body = json::parse(r.body);
  const std::string from = Bytes(body, "key"), to = Bytes(body, "range_end");
  std::uint64_t at = Number(body, "revision");
  const std::uint64_t limit = Number(body, "limit");
  if (at != 0 && breaks.compact_at_page != 0) Compact(std::exchange(breaks.compact_at_page, 0));
  if (at == 0) at = revision_;
  if (at < compacted_) {
    return Fail(conn, 400, 11, "etcdserver: mvcc: required revision has been compacted", r.keep_alive);
  }
  if (at > revision_) {
    return Fail(conn, 400, 11, "etcdserver: mvcc: required revision is a future revision", r.keep_alive);
  }
  struct Live {
    const Event* event = nullptr;
    std::uint64_t create = 0, version = 0;
  };
  std::map<std::string, Live> live;
  for (const Event& e : history_) {
    if (e.revision > at) break;
    if (!Within(e.key, from, to)) continue;
    if (e.removed) {
      live.erase(e.key);
      continue;
    }
    Live& l = live[e.key];
    if (l.create == 0) l.create = e.revision;
    ++l.version;
    l.event = &e;
  }
  json kvs = json::array();
  for (const auto& [key, l] : live) {
    if (limit != 0 && kvs.size() == limit) break;
    kvs.push_back({{"key", Base64(key)},
                   {"create_revision", Text(l.create)},
                   {"mod_revision", Text(l.event->revision)},
                   {"version", Text(l.version)},
                   {"value", Base64(l.event->value)}});
  }
  json reply = {{"header", Header()}, {"count", Text(live.size())}};
  if (kvs.size() < live.size()) reply["more"] = true;
  if (!kvs.empty()) reply["kvs"] = std::move(kvs);
  Reply(conn, 200, reply.dump(), r.keep_alive);
}

void EtcdStore::StartWatch(Micros now, Conn conn, const http::Message& r) {
  const json body = json::parse(r.body);
  const auto it = body.find("create_request");
  if (it == body.end() || !it->is_object())
    return Fail(conn, 400, 3, "expected a create_request", r.keep_alive);
  Watch w;
  w.conn = conn;
  w.from = Bytes(*it, "key");
  w.to = Bytes(*it, "range_end");
  w.next = Number(*it, "start_revision");
  if (w.next == 0) w.next = revision_ + 1;
  w.progress = it->value("progress_notify", false);
  w.fragment = it->value("fragment", false);
  w.told_at = now;
  sent_.push_back({conn,
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
                   false});
  Stream(conn, json{{"result", {{"header", Header()}, {"watch_id", "0"}, {"created", true}}}}.dump());
  if (w.next <= compacted_) {
    Stream(conn, json{{"result",
                       {{"header", Header()},
                        {"watch_id", "0"},
                        {"canceled", true},
                        {"compact_revision", Text(compacted_)}}}}
                     .dump());
    return;
  }
  watches_.push_back(std::move(w));
  Serve(now, watches_.back());
}

void EtcdStore::Serve(Micros now, Watch& w) {
  if (w.next > revision_) return;
  std::vector<json> events;
  const auto first =
      std::lower_bound(history_.begin(), history_.end(), w.next,
                       [](const Event& e, std::uint64_t revision) { return e.revision < revision; });
  for (auto e = first; e != history_.end(); ++e) {
    if (!Within(e->key, w.from, w.to)) continue;
    json kv = {{"key", Base64(e->key)}, {"mod_revision", Text(e->revision)}};
    if (!e->removed) {
      const auto it = created_.find(e->key);
      kv["value"] = Base64(e->value);
      kv["create_revision"] = Text(it != created_.end() ? it->second.first : e->revision);
    }
    json event = {{"kv", std::move(kv)}};
    if (e->removed) event["type"] = "DELETE";
    events.push_back(std::move(event));
  }
  w.next = revision_ + 1;
  if (events.empty()) return;
  w.told_at = now;
  if (breaks.reorder) std::reverse(events.begin(), events.end());
  const std::size_t most = w.fragment && breaks.most_events != 0 ? breaks.most_events : events.size();
  for (std::size_t from = 0; from < events.size(); from += most) {
    const std::size_t to = std::min(events.size(), from + most);
    json result = {{"header", Header()}, {"watch_id", "0"}};
    result["events"] = std::vector<json>(events.begin() + static_cast<std::ptrdiff_t>(from),
                                         events.begin() + static_cast<std::ptrdiff_t>(to));
    if (to < events.size()) result["fragment"] = true;
    const std::string message = json{{"result", result}}.dump();
    Stream(w.conn, message);
    if (breaks.double_frames && to == events.size()) Stream(w.conn, message);
  }
}

void EtcdStore::ServeAll(Micros now) {
  for (Watch& w : watches_) Serve(now, w);
}

void EtcdStore::Forget(Conn conn) {
  std::erase_if(watches_, [conn](const Watch& w) { return w.conn == conn; });
}

void EtcdStore::Tick(Micros now) {
  if (!leader_) return;
  std::vector<std::string> ended;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > now) {
      ++it;
      continue;
    }
    ended.insert(ended.end(), it->second.keys.begin(), it->second.keys.end());
    it = leases_.erase(it);
  }
  for (const std::string& key : ended) Delete(now, key);
  for (Watch& w : watches_) {
    if (!w.progress || now < w.told_at + breaks.progress_every) continue;
    w.told_at = now;
    Stream(w.conn, json{{"result", {{"header", Header()}, {"watch_id", "0"}}}}.dump());
  }
}

Micros EtcdStore::NextTimer() const {
  Micros next = ~Micros{0};
  if (!leader_) return next;
  for (const auto& [id, lease] : leases_) next = std::min(next, lease.ends);
  for (const Watch& w : watches_) {
    if (w.progress) next = std::min(next, w.told_at + breaks.progress_every);
  }
  return next;
}

std::vector<EtcdStore::Sent> EtcdStore::Take() { return std::exchange(sent_, {}); }

}  // namespace mountflow::discovery
