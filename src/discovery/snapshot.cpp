#include "discovery/snapshot.hpp"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "discovery/entry.hpp"

namespace mountflow::discovery {
namespace {

using nlohmann::json;
const std::string kHead = "mountflow-view 1 ";

std::string Hex(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

std::string WriteSnapshot(const Snapshot& s) {
  json nodes = json::array();
  for (const job_manager::ListedNode& n : s.nodes) nodes.push_back(WriteEntry(n));
  const std::string body = json{{"taken_at", s.taken_at}, {"nodes", std::move(nodes)}}.dump();
  return kHead + Hex(XXH3_64bits(body.data(), body.size())) + " " + std::to_string(body.size()) + "\n" + body;
}

bool ReadSnapshot(std::string_view bytes, Snapshot* snapshot, std::string* expected) {
  const std::size_t end = bytes.find('\n');
  if (bytes.substr(0, kHead.size()) != kHead || end == std::string_view::npos || end < kHead.size() + 18 ||
      bytes[kHead.size() + 16] != ' ') {
    *expected = "a view of version 1";
    return false;
  }
  const std::string_view sum = bytes.substr(kHead.size(), 16);
  const std::string_view length = bytes.substr(kHead.size() + 17, end - kHead.size() - 17);
  std::size_t size = 0;
  const auto read = std::from_chars(length.data(), length.data() + length.size(), size);
  const std::string_view body = bytes.substr(end + 1);
  if (read.ec != std::errc() || read.ptr != length.data() + length.size() || body.size() != size) {
    *expected = "a whole view of its stated length";
    return false;
  }
  if (Hex(XXH3_64bits(body.data(), body.size())) != sum) {
    *expected = "a view of its stated checksum";
    return false;
  }
  const json j = json::parse(body, nullptr, false);
  if (!j.is_object() || !j.contains("nodes") || !j["nodes"].is_array()) {
    *expected = "a list of nodes";
    return false;
  }
  Snapshot s;
  s.taken_at = j.value("taken_at", Micros{0});
  for (const json& one : j["nodes"]) {
    job_manager::ListedNode node;
    if (!one.is_string() || !ReadEntry(one.get_ref<const std::string&>(), &node, expected)) return false;
    s.nodes.push_back(std::move(node));
  }
  *snapshot = std::move(s);
  return true;
}

bool SaveSnapshot(const std::string& file, const Snapshot& snapshot, std::string* error) {
  const std::string bytes = WriteSnapshot(snapshot), aside = file + ".new";
  const int fd = open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  const auto fail = [&](const char* what) {
    *error = aside + ": " + what + ": " + strerror(errno);
    if (fd >= 0) close(fd);
    unlink(aside.c_str());
    return false;
  };
  if (fd < 0) return fail("open");
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t n = write(fd, bytes.data() + written, bytes.size() - written);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return fail("write");
    written += static_cast<std::size_t>(n);
  }
  if (fsync(fd) != 0) return fail("sync");
  close(fd);
  if (rename(aside.c_str(), file.c_str()) != 0) {
    *error = file + ": rename: " + strerror(errno);
    return false;
  }
  const std::size_t slash = file.rfind('/');
  const int folder =
      open(slash == std::string::npos ? "." : file.substr(0, slash + 1).c_str(), O_RDONLY | O_CLOEXEC);
  if (folder >= 0) {
    fsync(folder);
    close(folder);
  }
  return true;
}

bool LoadSnapshot(const std::string& file, Snapshot* snapshot, std::string* error) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    *error = file + ": cannot be read";
    return false;
  }
  std::ostringstream all;
  all << in.rdbuf();
  std::string expected;
  if (ReadSnapshot(all.str(), snapshot, &expected)) return true;
  *error = file + ": expected " + expected;
  return false;
}

}  // namespace mountflow::discovery
