// The file operations that durable state needs. They form an interface, so that a test can make each of them
// fail or crash. All file names are relative to one directory.
#ifndef MOUNTFLOW_STORAGE_FILES_HPP_
#define MOUNTFLOW_STORAGE_FILES_HPP_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/storage_error.hpp"

namespace mountflow::storage {

// Files is a directory of files. Not thread-safe: calls on different threads must not overlap. Every method
// returns kSystem when a system call fails.
class Files {
 public:
  virtual ~Files() = default;

  // Returns the names of all files, sorted.
  [[nodiscard]] virtual StorageResult<std::vector<std::string>> List() = 0;
  // Returns the whole content of a file.
  [[nodiscard]] virtual StorageResult<std::string> Read(const std::string& name) = 0;
  // Creates an empty file. Fails if `name` exists.
  [[nodiscard]] virtual StorageStatus Create(const std::string& name) = 0;
  // Appends to an existing file. After an error, part of `bytes` may have been written.
  [[nodiscard]] virtual StorageStatus Append(const std::string& name, std::string_view bytes) = 0;
  // Makes the data and the size of a file durable.
  [[nodiscard]] virtual StorageStatus Sync(const std::string& name) = 0;
  // Makes durable which names exist, that is, all earlier calls of Create, Rename and Remove.
  [[nodiscard]] virtual StorageStatus SyncDirectory() = 0;
  // Renames a file. Replaces `to` if it exists.
  [[nodiscard]] virtual StorageStatus Rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual StorageStatus Truncate(const std::string& name, std::size_t size) = 0;
  [[nodiscard]] virtual StorageStatus Remove(const std::string& name) = 0;
};

// PosixFiles is a directory in the file system. It is locked for this process during the object's lifetime.
class PosixFiles : public Files {
 public:
  // Opens and locks a directory. Creates it if it does not exist; its parent must exist. Returns kLocked when
  // another process has locked it.
  [[nodiscard]] static StorageResult<std::unique_ptr<PosixFiles>> Open(const std::string& directory);
  ~PosixFiles() override;
  PosixFiles(const PosixFiles&) = delete;
  PosixFiles& operator=(const PosixFiles&) = delete;

  [[nodiscard]] StorageResult<std::vector<std::string>> List() override;
  [[nodiscard]] StorageResult<std::string> Read(const std::string& name) override;
  [[nodiscard]] StorageStatus Create(const std::string& name) override;
  [[nodiscard]] StorageStatus Append(const std::string& name, std::string_view bytes) override;
  [[nodiscard]] StorageStatus Sync(const std::string& name) override;
  [[nodiscard]] StorageStatus SyncDirectory() override;
  [[nodiscard]] StorageStatus Rename(const std::string& from, const std::string& to) override;
  [[nodiscard]] StorageStatus Truncate(const std::string& name, std::size_t size) override;
  [[nodiscard]] StorageStatus Remove(const std::string& name) override;

 private:
  PosixFiles(std::string directory, int directory_fd, int lock_fd)
      : directory_(std::move(directory)), directory_fd_(directory_fd), lock_fd_(lock_fd) {}
  // Returns the error of the system call that just failed, from errno.
  [[nodiscard]] tl::unexpected<StorageError> LastError(const std::string& name, const char* operation) const;
  // Returns the descriptor for appending to this file and opens it on first use. Returns a negative number
  // and sets errno when that fails.
  int AppendDescriptor(const std::string& name);
  void CloseAppendDescriptor(const std::string& name);

  const std::string directory_;
  const int directory_fd_;
  const int lock_fd_;
  std::map<std::string, int> append_fds_;  // by file name
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_FILES_HPP_
