#include "storage/files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace mountflow::storage {
namespace {

constexpr const char* kLockFile = "lock";
constexpr mode_t kDirectoryMode = 0700;
constexpr mode_t kFileMode = 0600;

tl::unexpected<StorageError> SystemError(const std::string& path, const char* operation, int error_number) {
  StorageError error;
  error.code = StorageErrorCode::kSystem;
  error.file = path;
  error.operation = operation;
  error.system = std::error_code(error_number, std::system_category());
  return tl::unexpected(std::move(error));
}

// Locks an open directory. Returns the descriptor that holds the lock.
StorageResult<int> LockDirectory(const std::string& directory, int directory_fd) {
  const int lock_fd = openat(directory_fd, kLockFile, O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd < 0) return SystemError(directory, "lock", errno);
  if (flock(lock_fd, LOCK_EX | LOCK_NB) == 0) return lock_fd;
  const int error_number = errno;
  close(lock_fd);
  if (error_number != EWOULDBLOCK) return SystemError(directory, "lock", error_number);
  StorageError error;
  error.code = StorageErrorCode::kLocked;
  error.file = directory;
  return tl::unexpected(std::move(error));
}

// Reads the whole file. If the file grows meanwhile, reads only as many bytes as it had at the start. Returns
// false and sets errno on failure.
bool ReadAll(int fd, std::string* bytes) {
  struct stat status {};
  if (fstat(fd, &status) != 0) return false;
  bytes->resize(static_cast<std::size_t>(status.st_size));
  std::size_t filled = 0;
  while (filled < bytes->size()) {
    const ssize_t count = read(fd, bytes->data() + filled, bytes->size() - filled);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    if (count == 0) break;
    filled += static_cast<std::size_t>(count);
  }
  bytes->resize(filled);
  return true;
}

}  // namespace

StorageResult<std::unique_ptr<PosixFiles>> PosixFiles::Open(const std::string& directory) {
  if (mkdir(directory.c_str(), kDirectoryMode) != 0 && errno != EEXIST)
    return SystemError(directory, "mkdir", errno);
  const int directory_fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directory_fd < 0) return SystemError(directory, "open", errno);
  const StorageResult<int> lock_fd = LockDirectory(directory, directory_fd);
  if (!lock_fd) {
    close(directory_fd);
    return tl::unexpected(lock_fd.error());
  }
  return std::unique_ptr<PosixFiles>(new PosixFiles(directory, directory_fd, *lock_fd));
}

PosixFiles::~PosixFiles() {
  for (const auto& [name, fd] : append_fds_) close(fd);
  close(lock_fd_);
  close(directory_fd_);
}

tl::unexpected<StorageError> PosixFiles::LastError(const std::string& name, const char* operation) const {
  return SystemError(directory_ + "/" + name, operation, errno);
}

int PosixFiles::AppendDescriptor(const std::string& name) {
  const auto it = append_fds_.find(name);
  if (it != append_fds_.end()) return it->second;
  const int fd = openat(directory_fd_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (fd >= 0) append_fds_[name] = fd;
  return fd;
}

void PosixFiles::CloseAppendDescriptor(const std::string& name) {
  const auto it = append_fds_.find(name);
  if (it == append_fds_.end()) return;
  close(it->second);
  append_fds_.erase(it);
}

StorageResult<std::vector<std::string>> PosixFiles::List() {
  DIR* directory = opendir(directory_.c_str());
  if (directory == nullptr) return LastError("", "list");
  std::vector<std::string> names;
  while (const dirent* entry = readdir(directory)) {
    const bool hidden = entry->d_name[0] == '.';
    if (!hidden && std::strcmp(entry->d_name, kLockFile) != 0) names.emplace_back(entry->d_name);
  }
  closedir(directory);
  std::sort(names.begin(), names.end());
  return names;
}

StorageResult<std::string> PosixFiles::Read(const std::string& name) {
  const int fd = openat(directory_fd_, name.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return LastError(name, "open");
  std::string bytes;
  const bool ok = ReadAll(fd, &bytes);
  const int error_number = errno;
  close(fd);
  if (!ok) return SystemError(directory_ + "/" + name, "read", error_number);
  return bytes;
}

StorageStatus PosixFiles::Create(const std::string& name) {
  const int fd =
      openat(directory_fd_, name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_EXCL | O_CLOEXEC, kFileMode);
  if (fd < 0) return LastError(name, "create");
  CloseAppendDescriptor(name);
  append_fds_[name] = fd;
  return {};
}

StorageStatus PosixFiles::Append(const std::string& name, std::string_view bytes) {
  const int fd = AppendDescriptor(name);
  if (fd < 0) return LastError(name, "open");
  while (!bytes.empty()) {
    const ssize_t count = write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return LastError(name, "write");
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return {};
}

StorageStatus PosixFiles::Sync(const std::string& name) {
  const int fd = AppendDescriptor(name);
  if (fd < 0 || fdatasync(fd) != 0) return LastError(name, "sync");
  return {};
}

StorageStatus PosixFiles::SyncDirectory() {
  if (fsync(directory_fd_) != 0) return LastError("", "sync");
  return {};
}

StorageStatus PosixFiles::Rename(const std::string& from, const std::string& to) {
  CloseAppendDescriptor(from);
  CloseAppendDescriptor(to);
  if (renameat(directory_fd_, from.c_str(), directory_fd_, to.c_str()) != 0) return LastError(from, "rename");
  return {};
}

StorageStatus PosixFiles::Truncate(const std::string& name, std::size_t size) {
  const int fd = AppendDescriptor(name);
  if (fd < 0 || ftruncate(fd, static_cast<off_t>(size)) != 0) return LastError(name, "truncate");
  return {};
}

StorageStatus PosixFiles::Remove(const std::string& name) {
  CloseAppendDescriptor(name);
  if (unlinkat(directory_fd_, name.c_str(), 0) != 0) return LastError(name, "remove");
  return {};
}

}  // namespace mountflow::storage
