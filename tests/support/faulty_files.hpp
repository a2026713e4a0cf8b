// Files in memory that can fail or crash at the n-th call, and that lose what was not synced.
#ifndef MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "storage/files.hpp"

namespace mountflow::testing {

class FaultyFiles : public storage::Files {
 public:
  // Thrown by the call at which the process crashes.
  struct Crash {};
  enum class Fault { kNone, kFail, kCrash };
  // What a crash leaves of data and names that were not synced: nothing; everything; half of each file's
  // data, and all names.
  enum class Unsynced { kLost, kKept, kHalfKept };

  Fault fault = Fault::kNone;
  std::size_t fault_at_call = 0;  // counted from 1; 0: never
  bool lasting = false;           // kFail: all calls from there on
  std::size_t calls = 0;          // that change something

  // The files as they are found after a crash. Ends the fault.
  void RecoverFromCrash(Unsynced unsynced) {
    if (unsynced == Unsynced::kLost) files_ = durable_files_;
    for (auto& [name, file] : files_) {
      file->data.resize(file->synced_size + KeptBytes(file->data.size() - file->synced_size, unsynced));
      file->synced_size = file->data.size();
    }
    durable_files_ = files_;
    fault = Fault::kNone;
  }

  FaultyFiles Clone() const {
    FaultyFiles clone = *this;
    std::map<const File*, std::shared_ptr<File>> copies;  // a file may have a name in both maps
    for (auto* files : {&clone.files_, &clone.durable_files_}) {
      for (auto& [name, file] : *files) {
        auto& copy = copies[file.get()];
        if (!copy) copy = std::make_shared<File>(*file);
        file = copy;
      }
    }
    return clone;
  }

  std::string& Data(const std::string& name) { return files_.at(name)->data; }
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, file] : files_) names.push_back(name);
    return names;
  }

  storage::StorageResult<std::vector<std::string>> List() override { return Names(); }
  storage::StorageResult<std::string> Read(const std::string& name) override {
    if (files_.count(name) == 0) return Error(std::errc::no_such_file_or_directory);
    return files_[name]->data;
  }
  storage::StorageStatus Create(const std::string& name) override {
    return CountCall().and_then([&]() -> storage::StorageStatus {
      if (files_.count(name) > 0) return Error(std::errc::file_exists);
      files_[name] = std::make_shared<File>();
      return {};
    });
  }
  storage::StorageStatus Append(const std::string& name, std::string_view bytes) override {
    std::string& data = files_.at(name)->data;
    const std::size_t size_before = data.size();
    data += bytes.substr(0, bytes.size() / 2);  // a fault leaves a part
    return CountCall().map([&] {
      data.resize(size_before);
      data += bytes;
    });
  }
  storage::StorageStatus Sync(const std::string& name) override {
    return CountCall().map([&] { files_.at(name)->synced_size = files_[name]->data.size(); });
  }
  storage::StorageStatus SyncDirectory() override {
    return CountCall().map([&] { durable_files_ = files_; });
  }
  storage::StorageStatus Rename(const std::string& from, const std::string& to) override {
    return CountCall().map([&] {
      files_[to] = files_.at(from);
      files_.erase(from);
    });
  }
  storage::StorageStatus Truncate(const std::string& name, std::size_t size) override {
    return CountCall().map([&] {
      File& file = *files_.at(name);
      file.data.resize(size);
      file.synced_size = std::min(file.synced_size, size);
    });
  }
  storage::StorageStatus Remove(const std::string& name) override {
    return CountCall().and_then([&]() -> storage::StorageStatus {
      if (files_.erase(name) == 0) return Error(std::errc::no_such_file_or_directory);
      return {};
    });
  }

 private:
  struct File {
    std::string data;
    std::size_t synced_size = 0;
  };

  static std::size_t KeptBytes(std::size_t unsynced_bytes, Unsynced unsynced) {
    if (unsynced == Unsynced::kKept) return unsynced_bytes;
    return unsynced == Unsynced::kHalfKept ? unsynced_bytes / 2 : 0;
  }
  static tl::unexpected<storage::StorageError> Error(std::errc code) {
    storage::StorageError error;
    error.system = std::make_error_code(code);
    return tl::unexpected(std::move(error));
  }
  storage::StorageStatus CountCall() {
    ++calls;
    const bool reached = calls == fault_at_call || (lasting && fault_at_call != 0 && calls > fault_at_call);
    if (!reached || fault == Fault::kNone) return {};
    if (fault == Fault::kCrash) throw Crash();
    return Error(std::errc::io_error);
  }

  std::map<std::string, std::shared_ptr<File>> files_;
  std::map<std::string, std::shared_ptr<File>> durable_files_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_
