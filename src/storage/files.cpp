#include "storage/files.hpp"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>

namespace mountflow::storage {

std::unique_ptr<PosixFiles> PosixFiles::Open(const std::string& folder, std::string* error) {
  const auto fail = [&](const char* what) {
    *error = folder + ": " + what + ": " + strerror(errno);
    return nullptr;
  };
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) return fail("mkdir");
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return fail("open");
  const int lock = openat(fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock < 0 || flock(lock, LOCK_EX | LOCK_NB) != 0) {
    fail("lock");
    if (errno == EWOULDBLOCK) *error = folder + ": another process holds it";
    if (lock >= 0) close(lock);
    close(fd);
    return nullptr;
  }
  return std::unique_ptr<PosixFiles>(new PosixFiles(folder, fd, lock));
}

PosixFiles::~PosixFiles() {
  for (const auto& [name, fd] : open_) close(fd);
  close(lock_);
  close(fd_);
}

bool PosixFiles::Fail(const std::string& name, const char* what, std::string* error) const {
  *error = folder_ + "/" + name + ": " + what + ": " + strerror(errno);
  return false;
}

int PosixFiles::Writing(const std::string& name) {
  const auto it = open_.find(name);
  if (it != open_.end()) return it->second;
  const int fd = openat(fd_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (fd >= 0) open_[name] = fd;
  return fd;
}

void PosixFiles::Forget(const std::string& name) {
  const auto it = open_.find(name);
  if (it == open_.end()) return;
  close(it->second);
  open_.erase(it);
}

bool PosixFiles::List(std::vector<std::string>* names, std::string* error) {
  names->clear();
  DIR* dir = opendir(folder_.c_str());
  if (dir == nullptr) return Fail("", "list", error);
  while (const dirent* entry = readdir(dir)) {
    if (entry->d_name[0] != '.' && strcmp(entry->d_name, "lock") != 0) names->push_back(entry->d_name);
  }
  closedir(dir);
  std::sort(names->begin(), names->end());
  return true;
}

bool PosixFiles::Read(const std::string& name, std::string* bytes, std::string* error) {
  const int fd = openat(fd_, name.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return Fail(name, "open", error);
  struct stat s {};
  bool good = fstat(fd, &s) == 0;
  bytes->resize(good ? static_cast<std::size_t>(s.st_size) : 0);
  std::size_t got = 0;
  while (good && got < bytes->size()) {
    const ssize_t n = read(fd, bytes->data() + got, bytes->size() - got);
    if (n < 0 && errno == EINTR) continue;
    good = n >= 0;
    if (n <= 0) break;
    got += static_cast<std::size_t>(n);
  }
  bytes->resize(got);
  if (!good) Fail(name, "read", error);
  close(fd);
  return good;
}

bool PosixFiles::Create(const std::string& name, std::string* error) {
  const int fd = openat(fd_, name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (fd < 0) return Fail(name, "create", error);
  Forget(name);
  open_[name] = fd;
  return true;
}

bool PosixFiles::Append(const std::string& name, std::string_view bytes, std::string* error) {
  const int fd = Writing(name);
  if (fd < 0) return Fail(name, "open", error);
  while (!bytes.empty()) {
    const ssize_t n = write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return Fail(name, "write", error);
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool PosixFiles::Sync(const std::string& name, std::string* error) {
  const int fd = Writing(name);
  if (fd < 0 || fdatasync(fd) != 0) return Fail(name, "sync", error);
  return true;
}

bool PosixFiles::SyncFolder(std::string* error) { return fsync(fd_) == 0 || Fail("", "sync", error); }

bool PosixFiles::Rename(const std::string& from, const std::string& to, std::string* error) {
  Forget(from);
  Forget(to);
  return renameat(fd_, from.c_str(), fd_, to.c_str()) == 0 || Fail(from, "rename", error);
}

bool PosixFiles::Truncate(const std::string& name, std::size_t size, std::string* error) {
  const int fd = Writing(name);
  if (fd < 0 || ftruncate(fd, static_cast<off_t>(size)) != 0) return Fail(name, "truncate", error);
  return true;
}

bool PosixFiles::Remove(const std::string& name, std::string* error) {
  Forget(name);
  return unlinkat(fd_, name.c_str(), 0) == 0 || Fail(name, "remove", error);
}

}  // namespace mountflow::storage
