#include "tools/registry_standin/etcd_registry.hpp"

#include <algorithm>

#include "discovery/entry.hpp"

namespace mountflow::registry_standin {
namespace {

using nlohmann::json;

constexpr Micros kSecond = 1'000'000;
constexpr std::uint64_t kMinTtl = 1;  // seconds

tl::unexpected<EtcdError> Fail(GrpcCode code, std::string message) {
  return tl::unexpected(EtcdError{code, std::move(message)});
}

tl::unexpected<EtcdError> FailUnknownLease() {
  return Fail(GrpcCode::kNotFound, "etcdserver: requested lease not found");
}

std::string TtlText(Micros ttl) { return NumberText(ttl / kSecond); }

}  // namespace

int EtcdError::HttpStatus() const {
  switch (code) {
    case GrpcCode::kNotFound:
      return 404;
    case GrpcCode::kUnavailable:
      return 503;
    case GrpcCode::kUnauthenticated:
      return 401;
    case GrpcCode::kInvalidArgument:
    case GrpcCode::kOutOfRange:
      break;
  }
  return 400;
}

const EtcdRegistry::Route EtcdRegistry::kRoutes[] = {
    {"/v3/auth/authenticate", false, &EtcdRegistry::Authenticate},
    {"/v3/kv/range", true, &EtcdRegistry::ReadRange},
    {"/v3/watch", true, &EtcdRegistry::StartWatch},
    {"/v3/kv/put", true, &EtcdRegistry::PutByRequest},
    {"/v3/kv/deleterange", true, &EtcdRegistry::DeleteByRequest},
    {"/v3/lease/grant", true, &EtcdRegistry::GrantLease},
    {"/v3/lease/keepalive", true, &EtcdRegistry::KeepLeaseAlive},
    {"/v3/lease/revoke", true, &EtcdRegistry::RevokeLease},
    {"/v3/kv/lease/revoke", true, &EtcdRegistry::RevokeLease},
    {"/v3/lease/timetolive", true, &EtcdRegistry::ShowLease},
    {"/v3/kv/lease/timetolive", true, &EtcdRegistry::ShowLease},
    {"/v3/kv/compaction", true, &EtcdRegistry::CompactByRequest},
};

void EtcdRegistry::Handle(Micros now, ConnectionId connection, const http::Message& request) {
  Tick(now);
  const Result result = Dispatch(now, connection, request);
  if (!result) {
    const EtcdError& error = result.error();
    const json body = {
        {"error", error.message}, {"code", static_cast<int>(error.code)}, {"message", error.message}};
    WriteReply(connection, request.keep_alive, error.HttpStatus(), body);
  } else if (result->has_value()) {
    WriteReply(connection, request.keep_alive, 200, **result);
  }
}

EtcdRegistry::Result EtcdRegistry::Dispatch(Micros now, ConnectionId connection,
                                            const http::Message& message) {
  const json body = json::parse(message.body, nullptr, false);
  if (message.method != "POST" || !body.is_object()) {
    return Fail(GrpcCode::kInvalidArgument, "expected POST of a JSON object");
  }
  if (!has_leader_) return Fail(GrpcCode::kUnavailable, "etcdserver: no leader");
  const Route* const route =
      std::find_if(std::begin(kRoutes), std::end(kRoutes),
                   [&message](const Route& each) { return each.path == message.path; });
  const bool is_known = route != std::end(kRoutes);
  const bool needs_token = !faults.user.empty() && (!is_known || route->needs_token);
  if (needs_token && !tokens_.contains(message.Header("authorization"))) {
    return Fail(GrpcCode::kUnauthenticated, "etcdserver: invalid auth token");
  }
  if (!is_known) return Fail(GrpcCode::kNotFound, "Not Found");
  return (this->*route->handler)({now, connection, message, body});
}

void EtcdRegistry::WriteReply(ConnectionId connection, bool keep_alive, int status, const Json& body) {
  const http::HeaderFields headers = {{"Content-Type", "application/json"}};
  replies_.push_back({connection, http::WriteReply(status, headers, body.dump(), keep_alive), !keep_alive});
}

// ---- Requests ----

EtcdRegistry::Result EtcdRegistry::Authenticate(const Request& request) {
  const bool is_user = request.body.value("name", "") == faults.user;
  if (!is_user || request.body.value("password", "") != faults.password) {
    return Fail(GrpcCode::kInvalidArgument, "etcdserver: authentication failed, invalid user ID or password");
  }
  const std::string token = "token-" + NumberText(++last_id_);
  tokens_.insert(token);
  json reply = NewReply();
  reply["token"] = token;
  return reply;
}

EtcdRegistry::Result EtcdRegistry::ReadRange(const Request& request) {
  KeyValueStore& store = cluster_.store;
  Revision revision = NumberOf(request.body, "revision");
  const std::uint64_t limit = NumberOf(request.body, "limit");
  if (revision != 0 && faults.compact_at_page != 0) Compact(std::exchange(faults.compact_at_page, 0));
  if (revision == 0) revision = store.revision();
  if (revision < store.compacted()) {
    return Fail(GrpcCode::kOutOfRange, "etcdserver: mvcc: required revision has been compacted");
  }
  if (revision > store.revision()) {
    return Fail(GrpcCode::kOutOfRange, "etcdserver: mvcc: required revision is a future revision");
  }
  const KeyValueStore::Entries entries = store.EntriesAt(revision, RangeOf(request.body));
  json pairs = json::array();
  for (const auto& [key, entry] : entries) {
    if (limit != 0 && pairs.size() == limit) break;
    pairs.push_back({{"key", discovery::Base64(key)},
                     {"create_revision", NumberText(entry.create_revision)},
                     {"mod_revision", NumberText(entry.modify_revision)},
                     {"version", NumberText(entry.version)},
                     {"value", discovery::Base64(entry.value)}});
  }
  json reply = NewReply();
  reply["count"] = NumberText(entries.size());
  if (pairs.size() < entries.size()) reply["more"] = true;
  if (!pairs.empty()) reply["kvs"] = std::move(pairs);
  return reply;
}

EtcdRegistry::Result EtcdRegistry::PutByRequest(const Request& request) {
  const std::uint64_t lease = NumberOf(request.body, "lease");
  if (lease != 0 && leases_.Find(lease) == nullptr) return FailUnknownLease();
  Put(request.now, BytesOf(request.body, "key"), BytesOf(request.body, "value"), lease);
  return NewReply();
}

EtcdRegistry::Result EtcdRegistry::DeleteByRequest(const Request& request) {
  const std::size_t deleted = DeleteRange(request.now, RangeOf(request.body));
  json reply = NewReply();
  if (deleted != 0) reply["deleted"] = NumberText(deleted);  // the gateway omits zeroes
  return reply;
}

EtcdRegistry::Result EtcdRegistry::CompactByRequest(const Request& request) {
  Compact(NumberOf(request.body, "revision"));
  return NewReply();
}

EtcdRegistry::Result EtcdRegistry::StartWatch(const Request& request) {
  const auto create_request = request.body.find("create_request");
  if (create_request == request.body.end() || !create_request->is_object()) {
    return Fail(GrpcCode::kInvalidArgument, "expected a create_request");
  }
  watches_.Start(request.now, request.connection, *create_request);
  return std::nullopt;
}

EtcdRegistry::Result EtcdRegistry::GrantLease(const Request& request) {
  std::uint64_t id = NumberOf(request.body, "ID");
  if (id == 0) id = ++last_id_;
  const std::uint64_t ttl_seconds = std::max(kMinTtl, NumberOf(request.body, "TTL"));
  leases_.Grant(request.now, id, ttl_seconds * kSecond);
  json reply = NewReply();
  reply["ID"] = NumberText(id);
  reply["TTL"] = NumberText(ttl_seconds);
  return reply;
}

// Replies in the form of a stream with one message, as the gateway does. The message has no TTL if the lease
// is unknown.
EtcdRegistry::Result EtcdRegistry::KeepLeaseAlive(const Request& request) {
  const std::uint64_t id = NumberOf(request.body, "ID");
  leases_.Renew(request.now, id);
  json result = NewReply();
  result["ID"] = NumberText(id);
  const Lease* const lease = leases_.Find(id);
  if (lease != nullptr) result["TTL"] = TtlText(lease->ttl);
  return json{{"result", std::move(result)}};
}

EtcdRegistry::Result EtcdRegistry::RevokeLease(const Request& request) {
  const std::uint64_t id = NumberOf(request.body, "ID");
  if (leases_.Find(id) == nullptr) return FailUnknownLease();
  leases_.Revoke(request.now, id);
  Tick(request.now);
  return NewReply();
}

EtcdRegistry::Result EtcdRegistry::ShowLease(const Request& request) {
  const std::uint64_t id = NumberOf(request.body, "ID");
  json reply = NewReply();
  reply["ID"] = NumberText(id);
  const Lease* const lease = leases_.Find(id);
  if (lease == nullptr) {
    reply["TTL"] = "-1";
    return reply;
  }
  reply["TTL"] = TtlText(lease->expires_at - request.now);
  reply["grantedTTL"] = TtlText(lease->ttl);
  if (request.body.value("keys", false)) {
    for (const std::string& key : lease->keys) reply["keys"].push_back(discovery::Base64(key));
  }
  return reply;
}

// ---- Changes ----

Revision EtcdRegistry::Commit(Micros now, std::vector<KeyValueStore::Change> changes) {
  const Revision next = revision() + 1;
  cluster_.store.Commit(next, std::move(changes));
  watches_.SendChanges(now);
  return next;
}

Revision EtcdRegistry::Put(Micros now, const std::string& key, const std::string& value,
                           std::uint64_t lease) {
  std::uint64_t& attached_lease = lease_of_key_[key];
  if (attached_lease != lease) leases_.Detach(attached_lease, key);
  attached_lease = lease;
  leases_.Attach(lease, key);
  return Commit(now, {KeyValueStore::Change::Write(key, value)});
}

Revision EtcdRegistry::PutAll(Micros now, const std::vector<std::pair<std::string, std::string>>& pairs) {
  std::vector<KeyValueStore::Change> changes;
  changes.reserve(pairs.size());
  for (const auto& [key, value] : pairs) changes.push_back(KeyValueStore::Change::Write(key, value));
  return Commit(now, std::move(changes));
}

Revision EtcdRegistry::Delete(Micros now, const std::string& key) {
  if (!cluster_.store.entries().contains(key)) return revision();
  DetachFromLease(key);
  return Commit(now, {KeyValueStore::Change::Removal(key)});
}

std::size_t EtcdRegistry::DeleteRange(Micros now, const KeyRange& range) {
  std::vector<KeyValueStore::Change> changes;
  for (const auto& [key, entry] : cluster_.store.entries()) {
    if (!range.Contains(key)) continue;
    DetachFromLease(key);
    changes.push_back(KeyValueStore::Change::Removal(key));
  }
  const std::size_t deleted = changes.size();
  if (deleted != 0) Commit(now, std::move(changes));
  return deleted;
}

void EtcdRegistry::DeletePrefix(Micros now, const std::string& prefix) {
  for (const std::string& key : cluster_.store.KeysWithPrefix(prefix)) Delete(now, key);
}

std::map<std::string, std::string> EtcdRegistry::At(Revision revision) const {
  const KeyRange all_keys = {"", std::string(1, '\0')};
  std::map<std::string, std::string> values;
  for (const auto& [key, entry] : cluster_.store.EntriesAt(revision, all_keys)) values[key] = entry.value;
  return values;
}

// ---- Fault injection ----

void EtcdRegistry::SetLeader(Micros now, bool known) {
  has_leader_ = known;
  if (known) leases_.RenewAll(now);
}

void EtcdRegistry::Restore(Revision revision) {
  cluster_.store.RestoreTo(revision);
  ++cluster_.cluster_id;
  std::vector<std::string> missing_keys;
  for (const auto& [key, lease] : lease_of_key_) {
    if (!cluster_.store.entries().contains(key)) missing_keys.push_back(key);
  }
  for (const std::string& key : missing_keys) DetachFromLease(key);
  watches_.CloseAll();
}

void EtcdRegistry::DetachFromLease(const std::string& key) {
  const auto attached = lease_of_key_.find(key);
  if (attached == lease_of_key_.end()) return;
  leases_.Detach(attached->second, key);
  lease_of_key_.erase(attached);
}

// ---- Time ----

void EtcdRegistry::Tick(Micros now) {
  if (!has_leader_) return;
  for (const std::string& key : leases_.TakeExpiredKeys(now)) Delete(now, key);
  watches_.SendProgress(now);
}

Micros EtcdRegistry::NextTimer() const {
  return has_leader_ ? std::min(leases_.NextExpiry(), watches_.NextTimer()) : kNoTimer;
}

void EtcdRegistry::Forget(ConnectionId connection) { watches_.Forget(connection); }

std::vector<Reply> EtcdRegistry::Take() { return std::exchange(replies_, {}); }

}  // namespace mountflow::registry_standin
