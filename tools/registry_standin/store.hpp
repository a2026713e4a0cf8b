// A stand-in for Consul's key-value store, sans-I/O: keys with indices, blocking
// reads, and a stated delay with which readers see changes.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_STORE_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_STORE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "discovery/entry.hpp"
#include "http/message.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

// Consul's durations: 10s, 500ms, 5m. 0 for what is none.
Micros Duration(const std::string& text);

class Store {
 public:
  using Reader = std::uint64_t;
  struct Ready {
    Reader reader = 0;
    std::string reply;  // whole HTTP reply
    bool keep_alive = true;
  };

  // Handles a request of /v1/kv/..., /v1/session/create|renew|destroy or /v1/delay?ms=N; the reply comes at
  // once or later by Take().
  void Handle(Micros now, Reader reader, const http::Message& request);
  void Remove(Micros now, const std::string& prefix);  // all keys under it
  void Forget(Reader reader);                          // its connection is gone
  void Tick(Micros now);
  Micros NextTimer() const;
  std::vector<Ready> Take();

  void RestoreIndex(std::uint64_t index);  // the history is put back: the index goes backwards
  // Without a leader reads that do not ask for stale data, and writes, get 500; sessions begin anew with a
  // leader.
  void SetLeader(Micros now, bool known);
  void Put(Micros now, const std::string& key, const std::string& value, bool removed);
  void SetDelay(Micros delay) { delay_ = delay; }
  std::uint64_t index() const { return visible_index_; }

 private:
  struct Change {
    Micros at = 0;
    std::uint64_t index = 0;
    std::string key, value;
    bool removed = false;
  };
  struct Blocked {
    Reader reader = 0;
    std::string prefix;
    bool recurse = false;
    bool keep_alive = true, stale = false;
    std::uint64_t after = 0;
    Micros until = 0;
  };
  void Apply(const Change& change);
  void Answer(const Blocked& blocked);
  std::uint64_t IndexOf(const Blocked& blocked) const;

  Micros delay_ = 0;
  std::uint64_t index_ = 1, visible_index_ = 1;
  std::deque<Change> coming_;
  std::map<std::string, KeyValue> visible_;
  std::uint64_t removed_index_ = 0;  // newest removal: readers of any prefix must wake for it
  std::vector<Blocked> blocked_;
  struct Session {
    Micros ttl = 0, ends = 0;
    std::set<std::string> keys;
  };
  std::map<std::string, Session> sessions_;
  std::map<std::string, std::string> locks_;  // key -> session
  std::uint64_t next_session_ = 0;
  bool leader_ = true;
  std::vector<Ready> ready_;
};

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_STORE_HPP_
