#include "discovery/snapshot.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "discovery/entry.hpp"

namespace mountflow::discovery {
namespace {

using nlohmann::json;

constexpr std::string_view kHeader = "mountflow-view 1 ";
constexpr std::size_t kChecksumDigits = 16;
constexpr mode_t kFileMode = 0644;

std::string Hex(std::uint64_t value) {
  std::array<char, kChecksumDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

std::string Checksum(std::string_view body) { return Hex(XXH3_64bits(body.data(), body.size())); }

tl::unexpected<SnapshotError> SystemError(SnapshotError::Code code, const std::string& file) {
  return tl::unexpected(SnapshotError{code, file, {errno, std::system_category()}, {}});
}

// Returns the JSON after the header line if its length and checksum match.
tl::expected<std::string_view, DecodeError> VerifiedBody(std::string_view bytes) {
  using Code = DecodeError::Code;
  constexpr std::size_t kChecksumAt = kHeader.size();
  constexpr std::size_t kLengthAt = kChecksumAt + kChecksumDigits + 1;
  const std::size_t end = bytes.find('\n');
  const bool has_header = bytes.substr(0, kHeader.size()) == kHeader && end != std::string_view::npos &&
                          end > kLengthAt && bytes[kLengthAt - 1] == ' ';
  if (!has_header) return Expected(Code::kUnsupportedVersion);
  const std::string_view length = bytes.substr(kLengthAt, end - kLengthAt);
  const std::string_view body = bytes.substr(end + 1);
  std::size_t size = 0;
  const auto read = std::from_chars(length.data(), length.data() + length.size(), size);
  const bool is_number = read.ec == std::errc() && read.ptr == length.data() + length.size();
  if (!is_number || body.size() != size) return Expected(Code::kLengthMismatch);
  if (Checksum(body) != bytes.substr(kChecksumAt, kChecksumDigits)) return Expected(Code::kChecksumMismatch);
  return body;
}

bool WriteAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(file, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// Writes and syncs a new file. Removes it if that fails.
tl::expected<void, SnapshotError> WriteNewFile(const std::string& file, std::string_view bytes) {
  using Code = SnapshotError::Code;
  const int descriptor = open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  const auto fail = [&](Code code) {
    auto error = SystemError(code, file);  // before the calls below change errno
    if (descriptor >= 0) close(descriptor);
    unlink(file.c_str());
    return error;
  };
  if (descriptor < 0) return fail(Code::kOpen);
  if (!WriteAll(descriptor, bytes)) return fail(Code::kWrite);
  if (fsync(descriptor) != 0) return fail(Code::kSync);
  close(descriptor);
  return {};
}

// Syncs the directory of a file to make its rename durable. Errors are ignored: without the sync only a crash
// of the host can undo the rename.
void SyncDirectoryOf(const std::string& file) {
  const std::size_t slash = file.rfind('/');
  const std::string directory = slash == std::string::npos ? "." : file.substr(0, slash + 1);
  const int descriptor = open(directory.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return;
  fsync(descriptor);
  close(descriptor);
}

}  // namespace

std::string Describe(const SnapshotError& error) {
  using Code = SnapshotError::Code;
  switch (error.code) {
    case Code::kOpen:
      return error.file + ": open: " + error.system.message();
    case Code::kWrite:
      return error.file + ": write: " + error.system.message();
    case Code::kSync:
      return error.file + ": sync: " + error.system.message();
    case Code::kRename:
      return error.file + ": rename: " + error.system.message();
    case Code::kUnreadable:
      return error.file + ": cannot be read";
    case Code::kInvalid:
      return error.file + ": expected " + Describe(error.decoding);
  }
  return "";
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  json nodes = json::array();
  for (const job_manager::ListedNode& node : snapshot.nodes) nodes.push_back(EncodeNodeEntry(node));
  const std::string body = json{{"taken_at", snapshot.taken_at}, {"nodes", std::move(nodes)}}.dump();
  return std::string(kHeader) + Checksum(body) + " " + std::to_string(body.size()) + "\n" + body;
}

tl::expected<Snapshot, DecodeError> DecodeSnapshot(std::string_view bytes) {
  const auto body = VerifiedBody(bytes);
  if (!body) return tl::unexpected(body.error());
  const json object = json::parse(*body, nullptr, false);
  if (!object.is_object() || !object.contains("nodes") || !object["nodes"].is_array()) {
    return Expected(DecodeError::Code::kInvalidNodeList);
  }
  Snapshot snapshot;
  snapshot.taken_at = object.value("taken_at", Micros{0});
  for (const json& item : object["nodes"]) {
    if (!item.is_string()) return Expected(DecodeError::Code::kInvalidNodeList);
    auto node = DecodeNodeEntry(item.get_ref<const std::string&>());
    if (!node) return tl::unexpected(node.error());
    snapshot.nodes.push_back(std::move(*node));
  }
  return snapshot;
}

tl::expected<void, SnapshotError> SaveSnapshot(const std::string& file, const Snapshot& snapshot) {
  const std::string temporary_file = file + ".new";
  if (auto written = WriteNewFile(temporary_file, EncodeSnapshot(snapshot)); !written) return written;
  if (rename(temporary_file.c_str(), file.c_str()) != 0)
    return SystemError(SnapshotError::Code::kRename, file);
  SyncDirectoryOf(file);
  return {};
}

tl::expected<Snapshot, SnapshotError> LoadSnapshot(const std::string& file) {
  using Code = SnapshotError::Code;
  std::ifstream in(file, std::ios::binary);
  if (!in) return tl::unexpected(SnapshotError{Code::kUnreadable, file, {}, {}});
  std::ostringstream all;
  all << in.rdbuf();
  auto snapshot = DecodeSnapshot(all.str());
  if (!snapshot) return tl::unexpected(SnapshotError{Code::kInvalid, file, {}, snapshot.error()});
  return std::move(*snapshot);
}

}  // namespace mountflow::discovery
