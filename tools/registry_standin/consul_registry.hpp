// A fake of Consul's key-value store and its sessions, written from the published HTTP interface: /v1/kv and
// /v1/session, with blocking queries. Changes become visible to readers after a configurable delay. The
// registry does no I/O.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_REGISTRY_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_REGISTRY_HPP_

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/consul_blocking_query.hpp"
#include "tools/registry_standin/key_value_store.hpp"
#include "tools/registry_standin/lease_table.hpp"
#include "tools/registry_standin/reply.hpp"

namespace mountflow::registry_standin {

// Holds the keys, the sessions and the waiting queries. Not thread-safe. Times must not decrease from call to
// call.
class ConsulRegistry {
 public:
  // Handles one request. In addition to Consul's own paths, PUT /v1/delay?ms=N sets the time in milliseconds
  // until a change becomes visible.
  void Handle(Micros now, ConnectionId connection, const http::Message& request);
  // Drops the waiting queries of a closed connection.
  void Forget(ConnectionId connection);
  // Expires sessions, makes due changes visible and answers due queries, in this order. Without a delay, the
  // keys of an expired session are therefore deleted in the same call, which also answers the queries on
  // them.
  void Tick(Micros now);
  // Returns the time of the next required Tick(); kNoTimer if none is needed before the next request.
  [[nodiscard]] Micros NextTimer() const;
  // Returns and clears the replies written since the last call.
  std::vector<Reply> Take();

  // Returns the newest index that is visible to readers.
  [[nodiscard]] ConsulIndex index() const { return store_.revision(); }

  // ---- Changes made on behalf of other clients ----
  void Put(Micros now, const std::string& key, const std::string& value);
  void Delete(Micros now, const std::string& key);
  void DeletePrefix(Micros now, const std::string& prefix);

  // ---- Fault injection ----
  void SetDelay(Micros delay) { delay_ = delay; }
  // Moves the index back, as after a restore from a backup. The keys stay, and pending changes get the
  // indices that follow `index`.
  void RestoreIndex(ConsulIndex index);
  // Sets whether the cluster has a leader. Without one, writes and reads that do not accept stale data get
  // status 500. A new leader renews all sessions.
  void SetLeader(Micros now, bool known);

 private:
  struct Request {
    Micros now;
    ConnectionId connection;
    const http::Message& message;
    std::string rest;  // the part of the path after the route's prefix
  };
  struct Route {
    std::string_view method;  // empty: any
    std::string_view prefix;
    bool is_whole_path;
    ConsulResult (ConsulRegistry::*handler)(const Request&);
  };
  struct KeyQuery {
    BlockingQuery blocking;
    std::string key;
    bool recurse = false;  // `key` is a prefix
    bool stale = false;    // also answered without a leader
  };
  struct PendingChange {
    Micros visible_at = 0;
    ConsulIndex index = 0;
    KeyValueStore::Change change;
  };

  // The first matching route handles a request. A path without a route gets status 404.
  static const Route kRoutes[];

  [[nodiscard]] ConsulResult Dispatch(Request request);
  ConsulResult SetDelayByRequest(const Request& request);
  ConsulResult CreateSession(const Request& request);
  ConsulResult RenewSession(const Request& request);
  ConsulResult DestroySession(const Request& request);
  ConsulResult PutKey(const Request& request);
  ConsulResult DeleteKey(const Request& request);
  ConsulResult ReadKeys(const Request& request);
  ConsulResult RejectMethod(const Request& request);

  void AddPending(Micros now, KeyValueStore::Change change);
  void ExpireSessions(Micros now);
  // Returns whether any change became visible.
  bool ApplyDueChanges(Micros now);
  void AnswerDueQueries(Micros now, bool changed);
  void Answer(const KeyQuery& query);
  // Returns the newest index of the query's keys, including removals.
  [[nodiscard]] ConsulIndex IndexOf(const KeyQuery& query) const;

  KeyValueStore store_;  // visible to readers
  std::deque<PendingChange> pending_;
  ConsulIndex last_index_ = 1;  // of all changes, including pending ones
  Micros delay_ = 0;
  LeaseTable<std::string> sessions_;
  std::map<std::string, std::string> session_of_key_;  // the key's lock; survives deletion of the key
  std::uint64_t last_session_number_ = 0;
  bool has_leader_ = true;
  std::vector<KeyQuery> waiting_;
  std::vector<Reply> replies_;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_REGISTRY_HPP_
