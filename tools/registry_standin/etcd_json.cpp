#include "tools/registry_standin/etcd_json.hpp"

#include <array>
#include <charconv>

#include "discovery/entry.hpp"

namespace mountflow::registry_standin {

using nlohmann::json;

json EtcdCluster::Header() const {
  return {{"cluster_id", NumberText(cluster_id)},
          {"member_id", "1"},
          {"revision", NumberText(store.revision())},
          {"raft_term", "2"}};
}

std::string NumberText(std::uint64_t number) { return std::to_string(number); }

std::uint64_t NumberOf(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return 0;
  if (it->is_number()) return it->get<std::uint64_t>();
  std::uint64_t value = 0;
  if (it->is_string()) {
    const auto& text = it->get_ref<const std::string&>();
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

std::string BytesOf(const json& object, const char* name) {
  std::string bytes;
  const auto it = object.find(name);
  if (it != object.end() && it->is_string()) {
    discovery::FromBase64(it->get_ref<const std::string&>(), &bytes);
  }
  return bytes;
}

KeyRange RangeOf(const json& object) { return {BytesOf(object, "key"), BytesOf(object, "range_end")}; }

std::string WriteStreamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string WriteStreamMessage(const json& result) {
  const std::string line = json{{"result", result}}.dump() + "\n";
  std::array<char, 16> hex;  // a 64-bit size has at most 16 hex digits
  const auto written = std::to_chars(hex.data(), hex.data() + hex.size(), line.size(), 16);
  return std::string(hex.data(), written.ptr) + "\r\n" + line + "\r\n";
}

}  // namespace mountflow::registry_standin
