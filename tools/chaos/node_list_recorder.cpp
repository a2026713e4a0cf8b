#include "tools/chaos/node_list_recorder.hpp"

#include <utility>

#include "discovery/entry.hpp"

namespace mountflow::chaos {
namespace {

constexpr std::size_t kMaxReplyBytes = 64 << 20;
constexpr std::size_t kMaxRequestBytes = 1 << 20;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;  // Consul's status when no key has the prefix
constexpr std::string_view kConsulKeys = "/v1/kv/";
constexpr std::string_view kEtcdRange = "/v3/kv/range";
constexpr std::string_view kEtcdWatch = "/v3/watch";

// Returns the key that a request to etcd reads or watches, or an empty string for other requests.
std::string EtcdKeyOf(const http::Message& request) {
  std::string key;
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return key;
  if (request.path == kEtcdRange) {
    discovery::FromBase64(body.value("key", ""), &key);
  } else if (request.path == kEtcdWatch && body.contains("create_request")) {
    discovery::FromBase64(body["create_request"].value("key", ""), &key);
  }
  return key;
}

}  // namespace

void NodeListRecorder::Replace(const std::vector<discovery::KeyValue>& entries) {
  nodes_.clear();
  for (const discovery::KeyValue& entry : entries) Put(entry.key, entry.value);
  Log();
}

void NodeListRecorder::Apply(const std::vector<discovery::KeyChange>& changes) {
  for (const discovery::KeyChange& change : changes) {
    if (change.removed) {
      nodes_.erase(change.key);
    } else {
      Put(change.key, change.value);
    }
  }
}

// Stores the decoded entry. An entry that cannot be decoded leaves the stored one unchanged, as in the
// daemon.
void NodeListRecorder::Put(const std::string& key, const std::string& value) {
  const auto node = discovery::DecodeNodeEntry(value);
  if (!node) return;
  nodes_[key] = {node->name, node->state == NodeState::kReady, node->started};
}

void NodeListRecorder::Log() {
  json nodes = json::object();
  for (const auto& [key, node] : nodes_) {
    nodes[node.name] = {node.ready ? "ready" : "draining", node.started};
  }
  const std::size_t count = nodes.size();
  if (nodes != last_logged_) {
    last_logged_ = nodes;
    log_->Write(loop_->Now(), "list", {{"who", daemon_}, {"nodes", std::move(nodes)}});
  }
  if (on_node_list) on_node_list(count);
}

NodeListConnection::NodeListConnection(NodeListRecorder* recorder)
    : recorder_(recorder),
      requests_(http::Reader::Side::kRequests, kMaxRequestBytes),
      replies_(http::Reader::Side::kReplies, kMaxReplyBytes) {}

void NodeListConnection::OnRequestBytes(std::string_view bytes) {
  if (!requests_.Feed(bytes)) return;
  for (; !requests_.messages().empty(); requests_.messages().pop_front()) {
    OnRequest(requests_.messages().front());
  }
}

void NodeListConnection::OnRequest(const http::Message& request) {
  if (request.method == "GET") {
    reads_node_list_.push_back(request.path == std::string(kConsulKeys) + kNodeListPrefix);
    return;
  }
  const bool of_node_list = EtcdKeyOf(request).starts_with(kNodeListPrefix);
  reads_node_list_.push_back(of_node_list);
  if (request.path != kEtcdWatch) return;
  // While the watch is open, the connection carries only its messages.
  replies_.Stream(kHttpOk, [this, of_node_list](std::string_view part) {
    if (of_node_list) watch_bytes_.append(part);
  });
}

void NodeListConnection::OnReplyBytes(std::string_view bytes) {
  if (!replies_.Feed(bytes)) return;
  if (!watch_bytes_.empty()) ReadWatchMessages();
  while (!replies_.messages().empty()) {
    const http::Message reply = std::move(replies_.messages().front());
    replies_.messages().pop_front();
    if (reads_node_list_.empty()) continue;
    const bool of_node_list = reads_node_list_.front();
    reads_node_list_.pop_front();
    if (of_node_list) OnReply(reply);
  }
}

void NodeListConnection::OnReply(const http::Message& reply) {
  if (reply.status != kHttpOk && reply.status != kHttpNotFound) return;
  if (auto range = discovery::DecodeRange(reply.body)) {
    for (discovery::KeyValue& entry : range->pairs) read_pages_.push_back(std::move(entry));
    if (!range->more) recorder_->Replace(std::exchange(read_pages_, {}));
    return;
  }
  if (reply.status == kHttpNotFound) return recorder_->Replace({});
  if (const auto entries = discovery::DecodeKeyValues(reply.body)) recorder_->Replace(*entries);
}

// Decodes the complete watch messages in `watch_bytes_`, one per line, and logs the resulting list.
void NodeListConnection::ReadWatchMessages() {
  std::size_t from = 0;
  for (std::size_t end = 0; (end = watch_bytes_.find('\n', from)) != std::string::npos; from = end + 1) {
    const auto watch = discovery::DecodeWatch(watch_bytes_.substr(from, end - from));
    if (watch) recorder_->Apply(watch->events);
  }
  watch_bytes_.erase(0, from);
  recorder_->Log();
}

}  // namespace mountflow::chaos
