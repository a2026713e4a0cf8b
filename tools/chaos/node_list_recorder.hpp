// Decodes the node lists in the traffic between a daemon and the registry (Consul or etcd), and logs each
// list as the daemon received it.
#ifndef MOUNTFLOW_TOOLS_CHAOS_NODE_LIST_RECORDER_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_NODE_LIST_RECORDER_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/etcd.hpp"
#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "tools/chaos/message_log.hpp"

namespace mountflow::chaos {

inline constexpr char kNodeListPrefix[] = "mountflow/nodes/";

// The node list that one daemon has received over all its connections to the registry.
class NodeListRecorder {
 public:
  NodeListRecorder(event_loop::EventLoop* loop, MessageLogWriter* log, std::string daemon)
      : loop_(loop), log_(log), daemon_(std::move(daemon)) {}

  // Called for each list that passes, with its number of nodes.
  std::function<void(std::size_t)> on_node_list;

  // Replaces the whole list.
  void Replace(const std::vector<discovery::KeyValue>& entries);
  // Applies changes to single keys.
  void Apply(const std::vector<discovery::KeyChange>& changes);
  // Logs the list if it differs from the last logged one. Most changes in the registry do not
  // affect the logged fields.
  void Log();
  // Makes the next Log() write the list even if it is unchanged, because a new connection may read another
  // list.
  void ForgetLogged() { last_logged_ = nullptr; }

 private:
  struct ListedNode {
    std::string name;
    bool ready = false;
    Micros started = 0;
  };
  void Put(const std::string& key, const std::string& value);

  event_loop::EventLoop* loop_;
  MessageLogWriter* log_;
  std::string daemon_;
  std::map<std::string, ListedNode> nodes_;  // by key
  json last_logged_;
};

// Decodes the HTTP messages of one connection to the registry.
class NodeListConnection {
 public:
  explicit NodeListConnection(NodeListRecorder* recorder);

  void OnRequestBytes(std::string_view bytes);
  // Must be called when the bytes are forwarded to the daemon, not when the proxy receives them.
  void OnReplyBytes(std::string_view bytes);

 private:
  void OnRequest(const http::Message& request);
  void OnReply(const http::Message& reply);
  void ReadWatchMessages();

  NodeListRecorder* recorder_;
  http::Reader requests_;
  http::Reader replies_;
  std::deque<bool> reads_node_list_;             // one element for each request without a reply yet
  std::vector<discovery::KeyValue> read_pages_;  // etcd: entries so far of a read in several pages
  std::string watch_bytes_;                      // etcd: bytes of an incomplete watch message
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_NODE_LIST_RECORDER_HPP_
