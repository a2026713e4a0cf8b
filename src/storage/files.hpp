// The file operations that durable state needs, behind an interface, so that tests can make each of them fail
// or crash. All names are relative to one directory.
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

// A directory of files. Not synchronized: callers on several threads must not overlap. Every method reports a
// failed system call as kSystem.
class Files {
 public:
  virtual ~Files() = default;

  // Names of all files, sorted.
  [[nodiscard]] virtual StorageResult<std::vector<std::string>> List() = 0;
  [[nodiscard]] virtual StorageResult<std::string> Read(const std::string& name) = 0;
  // Creates an empty file; it is an error if `name` exists.
  [[nodiscard]] virtual StorageStatus Create(const std::string& name) = 0;
  // Appends to an existing file. After an error a part of `bytes` may have been written.
  [[nodiscard]] virtual StorageStatus Append(const std::string& name, std::string_view bytes) = 0;
  // Makes the data and the size of a file durable.
  [[nodiscard]] virtual StorageStatus Sync(const std::string& name) = 0;
  // Makes created, renamed and removed names durable.
  [[nodiscard]] virtual StorageStatus SyncDirectory() = 0;
  // Replaces `to` if it exists.
  [[nodiscard]] virtual StorageStatus Rename(const std::string& from, const std::string& to) = 0;
  [[nodiscard]] virtual StorageStatus Truncate(const std::string& name, std::size_t size) = 0;
  [[nodiscard]] virtual StorageStatus Remove(const std::string& name) = 0;
};

// A directory of the file system, locked for this process while the object lives.
class PosixFiles : public Files {
 public:
  // Creates the directory if it is missing; its parent must exist. kLocked when another process has it open.
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
  // The error of the system call that just failed (errno).
  [[nodiscard]] tl::unexpected<StorageError> LastError(const std::string& name, const char* operation) const;
  // The descriptor for appending to this file, opened on first use; negative with errno when that fails.
  int AppendDescriptor(const std::string& name);
  void CloseAppendDescriptor(const std::string& name);

  const std::string directory_;
  const int directory_fd_;
  const int lock_fd_;
  std::map<std::string, int> append_fds_;  // by file name
};

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_FILES_HPP_
