// A fake of etcd, written from the public protocol definition and accessed through its JSON gateway: range,
// put, deleterange, watch, leases, compaction and authentication. The registry does no I/O.
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

// The gRPC status codes that the gateway puts in the bodies of its error replies.
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

  // Returns the HTTP status that the gateway uses for this error.
  [[nodiscard]] int HttpStatus() const;
};

// Faults that tests inject.
struct EtcdFaults {
  std::string user;  // if set, requests need a token, issued for this user and password
  std::string password;
  // Compacts the revisions before this one when a client reads a range at a given revision, as it does for
  // the second page of a list. Happens once; 0: never.
  Revision compact_at_page = 0;
};

// Holds the keys, leases, tokens and watches. Not thread-safe. Times must not decrease from call to call.
class EtcdRegistry {
 public:
  EtcdRegistry() : watches_(&cluster_, &replies_) {}
  EtcdRegistry(const EtcdRegistry&) = delete;  // watches_ points into this object
  EtcdRegistry& operator=(const EtcdRegistry&) = delete;

  void Handle(Micros now, ConnectionId connection, const http::Message& request);
  // Ends the watch of a closed connection.
  void Forget(ConnectionId connection);
  // Expires leases and then sends progress notifications, which therefore carry the revision after the
  // expiry.
  void Tick(Micros now);
  // Returns the time of the next required Tick(); kNoTimer if none is needed before the next request.
  [[nodiscard]] Micros NextTimer() const;
  // Returns and clears the replies written since the last call.
  std::vector<Reply> Take();

  // ---- Changes made on behalf of other clients ----
  // Put(), PutAll() and Delete() each commit one revision and return it.
  Revision Put(Micros now, const std::string& key, const std::string& value, std::uint64_t lease = 0);
  Revision PutAll(Micros now, const std::vector<std::pair<std::string, std::string>>& pairs);
  // Returns the current revision, unchanged, if the key does not exist.
  Revision Delete(Micros now, const std::string& key);
  // Deletes the keys of a range in one revision. Returns the number of deleted keys.
  std::size_t DeleteRange(Micros now, const KeyRange& range);
  // Deletes each key in a separate revision.
  void DeletePrefix(Micros now, const std::string& prefix);
  void Compact(Revision revision) { cluster_.store.Compact(revision); }

  [[nodiscard]] Revision revision() const { return cluster_.store.revision(); }
  // Returns the keys and values as of a revision.
  [[nodiscard]] std::map<std::string, std::string> At(Revision revision) const;
  [[nodiscard]] std::map<std::string, std::string> Now() const { return At(revision()); }

  // ---- Fault injection ----
  EtcdFaults faults;
  [[nodiscard]] WatchFaults& watch_faults() { return watches_.faults; }
  // Sets whether the cluster has a leader. Without one, all requests get status 503, leases do not expire and
  // watches send no progress notifications. A new leader renews all leases.
  void SetLeader(Micros now, bool known);
  void RevokeTokens() { tokens_.clear(); }
  // Restores a backup taken at this revision: the revision counter moves back, the cluster id changes (as
  // with etcd's own restore tool), and all watches are closed. Leases stay, with those of their keys that
  // exist in the backup.
  void Restore(Revision revision);

 private:
  using Json = nlohmann::json;
  struct Request {
    Micros now;
    ConnectionId connection;
    const http::Message& message;
    const Json& body;  // a JSON object
  };
  // The body of the reply. Empty if a stream was started instead.
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
  // Detaches a key from its lease. Does nothing for a key without a lease.
  void DetachFromLease(const std::string& key);

  EtcdCluster cluster_;
  std::vector<Reply> replies_;
  EtcdWatches watches_;  // declared after the two members that it points to
  LeaseTable<std::uint64_t> leases_;
  std::map<std::string, std::uint64_t> lease_of_key_;
  std::set<std::string> tokens_;
  std::uint64_t last_id_ = 1000;  // of leases and tokens
  bool has_leader_ = true;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_REGISTRY_HPP_
