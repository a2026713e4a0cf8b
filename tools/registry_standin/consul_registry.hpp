// A stand-in for Consul's key-value store and its sessions, written from the published HTTP interface: /v1/kv
// and /v1/session, with blocking queries. Changes become visible to readers after a configurable delay. No
// I/O.
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

// Not thread-safe. Times never decrease from call to call.
class ConsulRegistry {
 public:
  // Besides Consul's own paths, PUT /v1/delay?ms=N sets the delay of visibility.
  void Handle(Micros now, ConnectionId connection, const http::Message& request);
  // The connection is gone: its queries are not answered any more.
  void Forget(ConnectionId connection);
  // Expires sessions, makes changes visible and answers queries, in this order: the keys of a session that
  // expires go in the same call where there is no delay, and wake the queries.
  void Tick(Micros now);
  // When Tick() must be called; kNoTimer: not before the next request.
  [[nodiscard]] Micros NextTimer() const;
  // The replies written since the last call.
  std::vector<Reply> Take();

  // The newest index that readers see.
  [[nodiscard]] ConsulIndex index() const { return store_.revision(); }

  // ---- As other clients would do it ----
  void Put(Micros now, const std::string& key, const std::string& value);
  void Delete(Micros now, const std::string& key);
  void DeletePrefix(Micros now, const std::string& prefix);

  // ---- Fault injection ----
  void SetDelay(Micros delay) { delay_ = delay; }
  // The index goes back, as after a restore from a backup; the keys stay, and pending changes count up from
  // it.
  void RestoreIndex(ConsulIndex index);
  // Without a leader, writes and reads that do not accept stale data get status 500. A new leader renews all
  // sessions.
  void SetLeader(Micros now, bool known);

 private:
  struct Request {
    Micros now;
    ConnectionId connection;
    const http::Message& message;
    std::string rest;  // of the path, after the route's prefix
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
    bool stale = false;    // an answer without a leader will do
  };
  struct PendingChange {
    Micros visible_at = 0;
    ConsulIndex index = 0;
    KeyValueStore::Change change;
  };

  // The first that matches; a path of no route is not found.
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
  // Returns whether a change became visible.
  bool ApplyDueChanges(Micros now);
  void AnswerDueQueries(Micros now, bool changed);
  void Answer(const KeyQuery& query);
  // The newest index of the query's keys, removals included.
  [[nodiscard]] ConsulIndex IndexOf(const KeyQuery& query) const;

  KeyValueStore store_;  // what readers see
  std::deque<PendingChange> pending_;
  ConsulIndex last_index_ = 1;  // of all changes, pending ones included
  Micros delay_ = 0;
  LeaseTable<std::string> sessions_;
  std::map<std::string, std::string> session_of_key_;  // a key's lock, kept when the key is deleted
  std::uint64_t last_session_number_ = 0;
  bool has_leader_ = true;
  std::vector<KeyQuery> waiting_;
  std::vector<Reply> replies_;
};

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_CONSUL_REGISTRY_HPP_
