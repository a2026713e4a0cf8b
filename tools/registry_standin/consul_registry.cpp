#include "tools/registry_standin/consul_registry.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "discovery/entry.hpp"

namespace mountflow::registry_standin {
namespace {

constexpr char kDefaultSessionTtl[] = "10s";
constexpr char kNoLeader[] = "No cluster leader";

ConsulResult Succeed() { return "true"; }

ConsulResult Fail(int status, std::string text) {
  return tl::unexpected(ConsulError{status, std::move(text)});
}

ConsulResult SucceedWithSession(const std::string& id) {
  return nlohmann::json::array({{{"ID", id}}}).dump();
}

}  // namespace

const ConsulRegistry::Route ConsulRegistry::kRoutes[] = {
    {"PUT", "/v1/delay", true, &ConsulRegistry::SetDelayByRequest},
    {"PUT", "/v1/session/create", true, &ConsulRegistry::CreateSession},
    {"PUT", "/v1/session/renew/", false, &ConsulRegistry::RenewSession},
    {"PUT", "/v1/session/", false, &ConsulRegistry::DestroySession},
    {"PUT", "/v1/kv/", false, &ConsulRegistry::PutKey},
    {"DELETE", "/v1/kv/", false, &ConsulRegistry::DeleteKey},
    {"GET", "/v1/kv/", false, &ConsulRegistry::ReadKeys},
    {"", "/v1/kv/", false, &ConsulRegistry::RejectMethod},
};

void ConsulRegistry::Handle(Micros now, ConnectionId connection, const http::Message& request) {
  Tick(now);
  const ConsulResult result = Dispatch({now, connection, request, ""});
  if (!result) {
    const ConsulError& error = result.error();
    replies_.push_back(WriteConsulReply(connection, request.keep_alive, error.status, error.text));
  } else if (result->has_value()) {
    replies_.push_back(WriteConsulReply(connection, request.keep_alive, 200, **result));
  }
}

ConsulResult ConsulRegistry::Dispatch(Request request) {
  const http::Message& message = request.message;
  const Route* found = nullptr;
  for (const Route& route : kRoutes) {
    if (!route.method.empty() && route.method != message.method) continue;
    if (route.is_whole_path ? message.path != route.prefix : !message.path.starts_with(route.prefix))
      continue;
    found = &route;
    break;
  }
  // The delay is an extension of this program and needs no leader.
  const bool is_write = message.method != "GET";
  const bool needs_cluster = found == nullptr || found->handler != &ConsulRegistry::SetDelayByRequest;
  if (!has_leader_ && is_write && needs_cluster) return Fail(500, kNoLeader);
  if (found == nullptr) return Fail(404, "no such path");
  request.rest = message.path.substr(found->prefix.size());
  return (this->*found->handler)(request);
}

// ---- Requests ----

ConsulResult ConsulRegistry::SetDelayByRequest(const Request& request) {
  delay_ = ParseDuration(request.message.Query("ms") + "ms");
  return Succeed();
}

ConsulResult ConsulRegistry::CreateSession(const Request& request) {
  const auto body = nlohmann::json::parse(request.message.body, nullptr, false);
  const std::string ttl = body.is_object() ? body.value("TTL", kDefaultSessionTtl) : kDefaultSessionTtl;
  const std::string id = "session-" + std::to_string(++last_session_number_);
  sessions_.Grant(request.now, id, ParseDuration(ttl));
  return nlohmann::json{{"ID", id}}.dump();
}

ConsulResult ConsulRegistry::RenewSession(const Request& request) {
  if (sessions_.Find(request.rest) == nullptr) return Fail(404, "unknown session");
  sessions_.Renew(request.now, request.rest);
  return SucceedWithSession(request.rest);
}

// Handles /v1/session/destroy/ID. Any verb other than create and renew is also treated as destroy.
ConsulResult ConsulRegistry::DestroySession(const Request& request) {
  const std::size_t slash = request.rest.find('/');
  const std::string id = slash == std::string::npos ? "" : request.rest.substr(slash + 1);
  if (sessions_.Find(id) == nullptr) return Fail(404, "unknown session");
  sessions_.Revoke(request.now, id);
  Tick(request.now);
  return SucceedWithSession(id);
}

ConsulResult ConsulRegistry::PutKey(const Request& request) {
  const std::string& key = request.rest;
  const std::string session = request.message.Query("acquire");
  if (!session.empty()) {
    if (sessions_.Find(session) == nullptr) return Fail(500, "invalid session");
    const auto [lock, is_new] = session_of_key_.emplace(key, session);
    if (!is_new && lock->second != session) return "false";
    sessions_.Attach(session, key);
  }
  Put(request.now, key, request.message.body);
  return Succeed();
}

ConsulResult ConsulRegistry::DeleteKey(const Request& request) {
  if (request.message.query.contains("recurse")) {
    DeletePrefix(request.now, request.rest);
  } else {
    Delete(request.now, request.rest);
  }
  return Succeed();
}

ConsulResult ConsulRegistry::ReadKeys(const Request& request) {
  KeyQuery query;
  query.blocking = ParseBlockingQuery(request.now, request.connection, request.message);
  query.key = request.rest;
  query.recurse = request.message.query.contains("recurse");
  query.stale = request.message.query.contains("stale");
  const ConsulIndex known_index = query.blocking.known_index;
  if (known_index == 0 || IndexOf(query) > known_index || !has_leader_) {
    Answer(query);
  } else {
    waiting_.push_back(std::move(query));
  }
  return std::nullopt;
}

ConsulResult ConsulRegistry::RejectMethod(const Request& /*request*/) { return Fail(405, ""); }

// ---- Changes ----

void ConsulRegistry::AddPending(Micros now, KeyValueStore::Change change) {
  pending_.push_back({now + delay_, ++last_index_, std::move(change)});
}

void ConsulRegistry::Put(Micros now, const std::string& key, const std::string& value) {
  AddPending(now, KeyValueStore::Change::Write(key, value));
  Tick(now);
}

void ConsulRegistry::Delete(Micros now, const std::string& key) {
  AddPending(now, KeyValueStore::Change::Removal(key));
  Tick(now);
}

void ConsulRegistry::DeletePrefix(Micros now, const std::string& prefix) {
  for (const std::string& key : store_.KeysWithPrefix(prefix)) Delete(now, key);
}

// Renumbers the pending changes. If a pending change still had its index from the lost history, it would
// raise the index above the one that readers have seen, and they could not detect that the index moved back.
void ConsulRegistry::RestoreIndex(ConsulIndex index) {
  last_index_ = index;
  for (PendingChange& change : pending_) change.index = ++last_index_;
  store_.RewindTo(index);
  for (KeyQuery& query : waiting_) query.blocking.expires_at = 0;
}

void ConsulRegistry::SetLeader(Micros now, bool known) {
  has_leader_ = known;
  if (known) {
    sessions_.RenewAll(now);
  } else {
    for (KeyQuery& query : waiting_) query.blocking.expires_at = 0;
  }
  Tick(now);
}

// ---- Time ----

void ConsulRegistry::Tick(Micros now) {
  if (has_leader_) ExpireSessions(now);
  const bool changed = ApplyDueChanges(now);
  AnswerDueQueries(now, changed);
}

void ConsulRegistry::ExpireSessions(Micros now) {
  for (const std::string& key : sessions_.TakeExpiredKeys(now)) {
    session_of_key_.erase(key);
    AddPending(now, KeyValueStore::Change::Removal(key));
  }
}

bool ConsulRegistry::ApplyDueChanges(Micros now) {
  bool changed = false;
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    PendingChange& due = pending_.front();
    store_.Commit(due.index, {std::move(due.change)});
    pending_.pop_front();
    changed = true;
  }
  return changed;
}

void ConsulRegistry::AnswerDueQueries(Micros now, bool changed) {
  std::erase_if(waiting_, [&](const KeyQuery& query) {
    const bool has_news = changed && IndexOf(query) > query.blocking.known_index;
    if (query.blocking.expires_at > now && !has_news) return false;
    Answer(query);
    return true;
  });
}

Micros ConsulRegistry::NextTimer() const {
  Micros next = pending_.empty() ? kNoTimer : pending_.front().visible_at;
  for (const KeyQuery& query : waiting_) next = std::min(next, query.blocking.expires_at);
  return has_leader_ ? std::min(next, sessions_.NextExpiry()) : next;
}

void ConsulRegistry::Forget(ConnectionId connection) {
  std::erase_if(waiting_,
                [connection](const KeyQuery& query) { return query.blocking.connection == connection; });
}

std::vector<Reply> ConsulRegistry::Take() { return std::exchange(replies_, {}); }

// ---- Answers ----

ConsulIndex ConsulRegistry::IndexOf(const KeyQuery& query) const {
  // A removed key has no entry that stores the index of the removal, so a removal counts for every prefix.
  ConsulIndex index = std::max<ConsulIndex>(1, store_.last_removal());
  const KeyValueStore::Entries& entries = store_.entries();
  for (auto it = entries.lower_bound(query.key); it != entries.end(); ++it) {
    if (!it->first.starts_with(query.key)) break;
    index = std::max(index, it->second.modify_revision);
  }
  return index;
}

void ConsulRegistry::Answer(const KeyQuery& query) {
  const BlockingQuery& blocking = query.blocking;
  if (!has_leader_ && !query.stale) {
    replies_.push_back(WriteConsulReply(blocking.connection, blocking.keep_alive, 500, kNoLeader));
    return;
  }
  std::vector<discovery::KeyValue> pairs;
  const KeyValueStore::Entries& entries = store_.entries();
  for (auto it = entries.lower_bound(query.key); it != entries.end(); ++it) {
    const auto& [key, entry] = *it;
    if (query.recurse ? !key.starts_with(query.key) : key != query.key) break;
    pairs.push_back({key, entry.value, entry.create_revision, entry.modify_revision});
    const auto lock = session_of_key_.find(key);
    if (lock != session_of_key_.end()) pairs.back().session = lock->second;
  }
  const std::string body = pairs.empty() ? "" : discovery::EncodeKeyValues(pairs);
  replies_.push_back(WriteQueryReply(blocking, pairs.empty() ? 404 : 200, IndexOf(query), has_leader_, body));
}

}  // namespace mountflow::registry_standin
