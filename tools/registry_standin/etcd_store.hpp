// A stand-in for etcd, sans-I/O, by the public proto through the JSON gateway:
// range, put, deleterange, watch, lease grant and keep-alive, compaction,
// authentication. It keeps its whole history, so that a test can compare a
// client's view with the state at any revision. Scripted breaks: see Break.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_STORE_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_STORE_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery/state.hpp"
#include "http/message.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

class EtcdStore {
 public:
  using Conn = std::uint64_t;
  struct Sent {
    Conn conn = 0;
    std::string bytes;
    bool close = false;
  };

  void Handle(Micros now, Conn conn, const http::Message& request);
  void Forget(Conn conn);
  void Tick(Micros now);  // leases that end, progress notices
  Micros NextTimer() const;
  std::vector<Sent> Take();

  // Directly, as another client would. Each is one revision; a transaction of many keys is one, too.
  std::uint64_t Put(Micros now, const std::string& key, const std::string& value, std::uint64_t lease = 0);
  std::uint64_t Delete(Micros now, const std::string& key);
  // All keys of a range, as one revision; the number of them.
  std::size_t DeleteRange(Micros now, const std::string& from, const std::string& to);
  std::uint64_t PutAll(Micros now, const std::vector<std::pair<std::string, std::string>>& pairs);
  void Compact(std::uint64_t revision) { compacted_ = std::max(compacted_, std::min(revision, revision_)); }

  std::uint64_t revision() const { return revision_; }
  // Keys and values as of a revision, from the history.
  std::map<std::string, std::string> At(std::uint64_t revision) const;
  std::map<std::string, std::string> Now() const { return At(revision_); }
  std::size_t watchers() const { return watches_.size(); }

  // ---- Scripted breaks ----
  struct Break {
    std::size_t most_events = 0;  // in one message; 0: any. More are sent as fragments, where asked for
    bool double_frames = false;   // every message of a watch comes twice
    bool reorder = false;         // events of one message in reverse
    Micros progress_every = 1'000'000;
    std::string user, password;  // required when set
    std::uint64_t compact_at_page =
        0;  // when the second page of a range is asked for: compact up to here first
  };
  Break breaks;
  // Without a leader nothing is answered but 503, nothing is written and watches are silent; with a new one
  // leases begin anew.
  void SetLeader(Micros now, bool known);
  void Remove(Micros now, const std::string& prefix);  // all keys under it
  void RevokeTokens() { tokens_.clear(); }
  // Restored from a backup: the state of a revision, the counter back there, and, as etcd's own tool does it,
  // a new cluster id.
  void Restore(std::uint64_t revision);

 private:
  struct Event {
    std::uint64_t revision = 0;
    std::string key, value;
    bool removed = false;
  };
  struct Watch {
    Conn conn = 0;
    std::string from, to;
    std::uint64_t next = 0;  // first revision not sent
    bool progress = false, fragment = false;
    Micros told_at = 0;
  };
  void Reply(Conn conn, int status, const std::string& body, bool keep_alive);
  void Fail(Conn conn, int status, int code, const std::string& text, bool keep_alive);
  void Stream(Conn conn, const std::string& message);
  void Range(Conn conn, const http::Message& request);
  void StartWatch(Micros now, Conn conn, const http::Message& request);
  void Serve(Micros now, Watch& watch);
  void ServeAll(Micros now);
  std::uint64_t Commit(Micros now, std::vector<Event> events);

  std::uint64_t revision_ = 1, compacted_ = 0, cluster_ = 1;
  nlohmann::json Header() const;
  bool leader_ = true;
  std::vector<Event> history_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> created_;  // key -> create, lease
  std::vector<Watch> watches_;
  struct Lease {
    std::uint64_t ttl_s = 0;
    Micros ends = 0;
    std::set<std::string> keys;
  };
  std::map<std::uint64_t, Lease> leases_;
  std::set<std::string> tokens_;
  std::uint64_t next_id_ = 1000;
  std::vector<Sent> sent_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_STORE_HPP_
