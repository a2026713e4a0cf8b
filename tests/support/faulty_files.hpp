// Fault injection for storage::Files: files in memory that fail or crash at a chosen call, and that may lose
// the data and names that were not synced.
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

// FaultyFiles counts all calls except List and Read. Only counted calls can have the fault. Not thread-safe.
class FaultyFiles : public storage::Files {
 public:
  // Thrown by the call at which the process crashes.
  struct Crash {};
  // Effect of the fault: none, an I/O error, or a crash of the process.
  enum class Fault { kNone, kFail, kCrash };
  // Effect of a crash on unsynced data and names:
  //   - kLost: all unsynced data and names are lost.
  //   - kRetained: nothing is lost.
  //   - kHalfRetained: all names remain, but only the first half of the unsynced data of each file.
  enum class Unsynced { kLost, kRetained, kHalfRetained };

  Fault fault = Fault::kNone;
  std::size_t fault_at_call = 0;  // the call that has the fault, counted from 1; 0: no call
  bool persistent = false;        // kFail: all calls after `fault_at_call` fail too
  std::size_t calls = 0;          // number of counted calls so far

  // Changes the files to the state in which they are found after a crash, and ends the fault.
  void RecoverFromCrash(Unsynced unsynced) {
    if (unsynced == Unsynced::kLost) files_ = durable_files_;
    for (auto& [name, file] : files_) {
      file->data.resize(file->synced_size + RetainedBytes(file->data.size() - file->synced_size, unsynced));
      file->synced_size = file->data.size();
    }
    durable_files_ = files_;
    fault = Fault::kNone;
  }

  // Returns a deep copy, which shares no file with this object.
  FaultyFiles Clone() const {
    FaultyFiles clone = *this;
    std::map<const File*, std::shared_ptr<File>> copies;  // by original, because both maps may share a file
    for (auto* files : {&clone.files_, &clone.durable_files_}) {
      for (auto& [name, file] : *files) {
        auto& copy = copies[file.get()];
        if (!copy) copy = std::make_shared<File>(*file);
        file = copy;
      }
    }
    return clone;
  }

  // Returns the data of an existing file, which the caller may change.
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
    data += bytes.substr(0, bytes.size() / 2);  // remains if this call has the fault
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
    std::size_t synced_size = 0;  // size of the prefix of `data` that is durable
  };

  // Returns how many of the unsynced bytes of a file remain after a crash.
  static std::size_t RetainedBytes(std::size_t unsynced_bytes, Unsynced unsynced) {
    if (unsynced == Unsynced::kRetained) return unsynced_bytes;
    return unsynced == Unsynced::kHalfRetained ? unsynced_bytes / 2 : 0;
  }
  static tl::unexpected<storage::StorageError> Error(std::errc code) {
    storage::StorageError error;
    error.system = std::make_error_code(code);
    return tl::unexpected(std::move(error));
  }
  // Counts a call. Fails or throws Crash if the call has the fault.
  storage::StorageStatus CountCall() {
    ++calls;
    const bool reached =
        calls == fault_at_call || (persistent && fault_at_call != 0 && calls > fault_at_call);
    if (!reached || fault == Fault::kNone) return {};
    if (fault == Fault::kCrash) throw Crash();
    return Error(std::errc::io_error);
  }

  std::map<std::string, std::shared_ptr<File>> files_;          // by current name
  std::map<std::string, std::shared_ptr<File>> durable_files_;  // by name at the last SyncDirectory
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_
