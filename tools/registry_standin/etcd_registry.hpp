// A stand-in for etcd, written from the public protocol definition and driven through its JSON gateway:
// range, put, deleterange, watch, leases, compaction and authentication. No I/O.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_REGISTRY_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_REGISTRY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "http/message.hpp"
#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/etcd_json.hpp"
#include "tools/registry_standin/etcd_watches.hpp"
#include "tools/registry_standin/key_value_store.hpp"
#include "tools/registry_standin/lease_table.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

// The codes of gRPC that the gateway puts in the bodies of its errors.
enum class GrpcCode {
  kInvalidArgument = 3,
  kNotFound = 5,
  kOutOfRange = 11,
  kUnavailable = 14,
  kUnauthenticated = 16,
};

struct EtcdError {
  GrpcCode code = GrpcCode::kInvalidArgument;
  std::string message;

  // The status with which the gateway answers.
  [[nodiscard]] int HttpStatus() const;
};

// Faults that tests and the chaos kit inject.
struct EtcdFaults {
  std::string user;  // where set, a token is required, which this user gets with this password
  std::string password;
  // Compacts up to here when a range is read at a given revision, which is how a client reads its second
  // page. Happens once; 0: never.
  Revision compact_at_page = 0;
};

// Not thread-safe. Times never decrease from call to call.
class EtcdRegistry {
 public:
  EtcdRegistry() : watches_(&cluster_, &replies_) {}
  EtcdRegistry(const EtcdRegistry&) = delete;  // watches_ points into this object
  EtcdRegistry& operator=(const EtcdRegistry&) = delete;

  void Handle(Micros now, ConnectionId connection, const http::Message& request);
  // The connection is gone, and with it its watch.
  void Forget(ConnectionId connection);
  // Expires leases and then sends progress notifications, which thus name the revision after the expiry.
  void Tick(Micros now);
  // When Tick() must be called; kNoTimer: not before the next request.
  [[nodiscard]] Micros NextTimer() const;
  // The replies written since the last call.
  std::vector<Reply> Take();

  // ---- As other clients would do it; each is one revision, which is returned ----
  Revision Put(Micros now, const std::string& key, const std::string& value, std::uint64_t lease = 0);
  Revision PutAll(Micros now, const std::vector<std::pair<std::string, std::string>>& pairs);
  // Without such a key the revision stays.
  Revision Delete(Micros now, const std::string& key);
  // Returns how many keys it deleted.
  std::size_t DeleteRange(Micros now, const KeyRange& range);
  // Each key as a revision of its own.
  void DeletePrefix(Micros now, const std::string& prefix);
  void Compact(Revision revision) { cluster_.store.Compact(revision); }

  [[nodiscard]] Revision revision() const { return cluster_.store.revision(); }
  // Keys and values as of a revision.
  [[nodiscard]] std::map<std::string, std::string> At(Revision revision) const;
  [[nodiscard]] std::map<std::string, std::string> Now() const { return At(revision()); }

  // ---- Fault injection ----
  EtcdFaults faults;
  [[nodiscard]] WatchFaults& watch_faults() { return watches_.faults; }
  // Without a leader all requests get status 503, leases do not expire and watches are silent; a new leader
  // renews all leases.
  void SetLeader(Micros now, bool known);
  void RevokeTokens() { tokens_.clear(); }
  // Restores a backup of this revision: the counter goes back, the cluster id is another (as etcd's own tool
  // does it), and watches are closed. Leases stay, and hold those of their keys that are in the backup.
  void Restore(Revision revision);

 private:
  using Json = nlohmann::json;
  struct Request {
    Micros now;
    ConnectionId connection;
    const http::Message& message;
    const Json& body;  // an object
  };
  // The body of the reply; without one a stream was begun.
  using Result = tl::expected<std::optional<Json>, EtcdError>;
  struct Route {
    std::string_view path;
    bool needs_token;
    Result (EtcdRegistry::*handler)(const Request&);
  };

  static const Route kRoutes[];

  [[nodiscard]] Result Dispatch(Micros now, ConnectionId connection, const http::Message& message);
  Result Authenticate(const Request& request);
  Result ReadRange(const Request& request);
  Result PutByRequest(const Request& request);
  Result DeleteByRequest(const Request& request);
  Result CompactByRequest(const Request& request);
  Result StartWatch(const Request& request);
  Result GrantLease(const Request& request);
  Result KeepLeaseAlive(const Request& request);
  Result RevokeLease(const Request& request);
  Result ShowLease(const Request& request);

  [[nodiscard]] Json NewReply() const { return {{"header", cluster_.Header()}}; }
  void WriteReply(ConnectionId connection, bool keep_alive, int status, const Json& body);
  // Commits the changes as the next revision and sends them to the watches.
  Revision Commit(Micros now, std::vector<KeyValueStore::Change> changes);
  // Does nothing for a key without a lease.
  void DetachFromLease(const std::string& key);

  EtcdCluster cluster_;
  std::vector<Reply> replies_;
  EtcdWatches watches_;  // after the two that it points to
  LeaseTable<std::uint64_t> leases_;
  std::map<std::string, std::uint64_t> lease_of_key_;
  std::set<std::string> tokens_;
  std::uint64_t last_id_ = 1000;  // of leases and tokens
  bool has_leader_ = true;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_REGISTRY_HPP_
