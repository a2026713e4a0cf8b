#include "node_agent/control_api.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace mountflow::node_agent {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kInternalError = 500;
constexpr char kNodesPath[] = "/v1/nodes";
constexpr char kNodesPrefix[] = "/v1/nodes/";
constexpr double kMinSlowdown = 0.01;
constexpr std::size_t kMaxRequestBytes = 1 << 16;

json NodeToJson(const std::string& name, HostedNode& node) {
  json object = {
      {"name", name}, {"address", node.address()}, {"alive", node.IsAlive()}, {"hung", node.hangs()}};
  if (!node.last_failure().empty()) object["fell"] = node.last_failure();
  if (node.IsAlive()) {
    const NodeEmulator& emulator = node.server().node();
    object["tasks"] = emulator.CommittedAttempts().size();
    object["running"] = emulator.running_tasks();
    object["draining"] = emulator.draining();
    object["started_us"] = emulator.started();
  }
  return object;
}

}  // namespace

struct ControlApi::Response {
  int status = kOk;
  json body = "ok";
};

struct ControlApi::Route {
  std::string_view action;  // last component of the path
  bool needs_live_node;
  Response (ControlApi::*handler)(HostedNode* node, const http::Message& request) const;
};

const ControlApi::Route ControlApi::kRoutes[] = {
    {"kill", false, &ControlApi::Kill},  {"start", false, &ControlApi::Start},
    {"drain", true, &ControlApi::Drain}, {"undrain", true, &ControlApi::Undrain},
    {"hang", false, &ControlApi::Hang},  {"unhang", false, &ControlApi::Unhang},
    {"slow", true, &ControlApi::Slow},   {"fail", true, &ControlApi::Fail},
};

std::string ControlApi::Handle(const http::Message& request) const {
  const Response response = Answer(request);
  return http::WriteReply(response.status, {{"Content-Type", "application/json"}},
                          response.body.dump() + "\n", request.keep_alive);
}

ControlApi::Response ControlApi::Answer(const http::Message& request) const {
  if (request.method == "GET" && request.path == kNodesPath) return ListNodes();
  const std::string_view prefix = kNodesPrefix;
  if (request.method != "PUT" || request.path.compare(0, prefix.size(), prefix) != 0) {
    return {kNotFound, "no such path"};
  }
  const std::string rest = request.path.substr(prefix.size());
  const std::size_t slash = rest.find('/');
  const auto node = nodes_->find(rest.substr(0, slash));
  if (slash == std::string::npos || node == nodes_->end()) return {kNotFound, "no such node"};
  const std::string action = rest.substr(slash + 1);
  for (const Route& route : kRoutes) {
    if (route.action != action) continue;
    if (route.needs_live_node && !node->second->IsAlive()) return {kConflict, "the node is down"};
    return (this->*route.handler)(node->second.get(), request);
  }
  return {kNotFound, "expected kill, start, drain, undrain, hang, unhang, slow or fail"};
}

ControlApi::Response ControlApi::ListNodes() const {
  json list = json::array();
  for (const auto& [name, node] : *nodes_) list.push_back(NodeToJson(name, *node));
  return {kOk, std::move(list)};
}

ControlApi::Response ControlApi::Kill(HostedNode* node, const http::Message& /*request*/) const {
  node->Kill();
  return {};
}

ControlApi::Response ControlApi::Start(HostedNode* node, const http::Message& /*request*/) const {
  if (node->IsAlive()) return {};
  if (const auto started = node->Start(true); !started) {
    return {kInternalError, event_loop::Describe(started.error())};
  }
  return {};
}

ControlApi::Response ControlApi::Drain(HostedNode* node, const http::Message& /*request*/) const {
  node->server().node().SetDraining(loop_->Now(), true);
  return {};
}

ControlApi::Response ControlApi::Undrain(HostedNode* node, const http::Message& /*request*/) const {
  node->server().node().SetDraining(loop_->Now(), false);
  return {};
}

ControlApi::Response ControlApi::Slow(HostedNode* node, const http::Message& request) const {
  const double factor = std::strtod(request.Query("factor", "1").c_str(), nullptr);
  if (factor >= kMinSlowdown) node->server().node().SetSlowdown(factor);
  return {};
}

ControlApi::Response ControlApi::Fail(HostedNode* node, const http::Message& request) const {
  node->server().SetFailingQueue(request.Query("queue"));
  return {};
}

ControlApi::Response ControlApi::Hang(HostedNode* node, const http::Message& /*request*/) const {
  node->SetHanging(true);
  return {};
}

ControlApi::Response ControlApi::Unhang(HostedNode* node, const http::Message& /*request*/) const {
  node->SetHanging(false);
  return {};
}

void ControlServer::OnAccepted(event_loop::ListenerId /*listener*/, event_loop::ConnId connection,
                               const event_loop::PeerInfo& /*peer*/) {
  readers_.emplace(connection, http::Reader(http::Reader::Side::kRequests, kMaxRequestBytes));
}

void ControlServer::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  const auto found = readers_.find(connection);
  if (found == readers_.end()) return;
  http::Reader& reader = found->second;
  if (!reader.Feed(bytes)) return loop_->Close(connection);
  while (!reader.messages().empty()) {
    loop_->Send(connection, api_.Handle(reader.messages().front()));
    reader.messages().pop_front();
  }
}

void ControlServer::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  readers_.erase(connection);
}

}  // namespace mountflow::node_agent
