#include "tools/registry_standin/fault_control.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "discovery/entry.hpp"

namespace mountflow::registry_standin {
namespace {

constexpr std::uint64_t kFloodKeys = 50;
constexpr std::uint64_t kMaxFlood = 100'000;  // changes in one request, which blocks all other requests

std::uint64_t NumberIn(const http::Message& request, const char* name) {
  return std::strtoull(request.Query(name, "0").c_str(), nullptr, 10);
}

std::string FloodNodeName(std::uint64_t number) { return "flood-" + std::to_string(number % kFloodKeys); }

// Writes `changes` node entries. The nodes are draining, so no scheduler uses them.
void Flood(Micros now, std::uint64_t changes, const std::string& prefix, RegistryBackend* backend) {
  job_manager::ListedNode node;
  node.address = "127.0.0.1:9";
  node.rack = "rack-0";
  node.room = "room-a";
  node.kind = "small";
  node.state = NodeState::kDraining;
  for (std::uint64_t i = 0; i < changes; ++i) {
    node.name = FloodNodeName(i);
    node.free_cores = static_cast<double>(i);
    backend->Put(now, prefix + node.name, discovery::EncodeNodeEntry(node));
  }
}

}  // namespace

bool IsFaultRequest(const http::Message& request) { return request.path == "/v1/break"; }

void InjectFaults(Micros now, const http::Message& request, RegistryBackend* backend) {
  const std::string leader = request.Query("leader");
  if (!leader.empty()) backend->SetLeader(now, leader == "true");
  const std::uint64_t revisions = NumberIn(request, "restore");
  if (revisions != 0) backend->RestoreBackup(revisions);
  if (request.Query("compact") == "true") backend->Compact();
  const std::string emptied_prefix = request.Query("empty");
  if (!emptied_prefix.empty()) backend->DeletePrefix(now, emptied_prefix);
  const std::uint64_t changes = std::min(NumberIn(request, "flood"), kMaxFlood);
  if (changes == 0) return;
  const std::string prefix = request.Query("prefix");
  Flood(now, changes, prefix, backend);
  if (request.Query("leave") == "true") return;
  for (std::uint64_t i = 0; i < kFloodKeys; ++i) backend->Delete(now, prefix + FloodNodeName(i));
}

}  // namespace mountflow::registry_standin
