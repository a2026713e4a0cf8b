// Files in memory that can fail or crash at the n-th call, and that lose what was not synced.
#ifndef MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "storage/files.hpp"

namespace mountflow::testing {

class FaultyFiles : public storage::Files {
 public:
  struct Crash {};
  enum class Fault { kNone, kFail, kCrash };
  // What is on disk after a crash beyond what was synced: nothing; all; half of each file's rest, and all
  // names.
  enum class Left { kNothing, kAll, kHalf };

  Fault fault = Fault::kNone;
  std::size_t at_call = 0;  // counted from 1
  bool lasting = false;     // kFail: all calls from there on
  std::size_t calls = 0;

  void AfterCrash(Left left) {
    if (left == Left::kNothing) names_ = durable_;
    for (auto& [name, file] : names_) {
      const std::size_t rest = file->data.size() - file->synced;
      const std::size_t kept = left == Left::kAll ? rest : left == Left::kHalf ? rest / 2 : 0;
      file->data.resize(file->synced + kept);
      file->synced = file->data.size();
    }
    durable_ = names_;
    fault = Fault::kNone;
  }
  FaultyFiles Clone() const {
    FaultyFiles copy = *this;
    std::map<const File*, std::shared_ptr<File>> of;
    for (auto* names : {&copy.names_, &copy.durable_}) {
      for (auto& [name, file] : *names) {
        auto& one = of[file.get()];
        if (!one) one = std::make_shared<File>(*file);
        file = one;
      }
    }
    return copy;
  }
  std::string& Data(const std::string& name) { return names_.at(name)->data; }
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, file] : names_) names.push_back(name);
    return names;
  }

  bool List(std::vector<std::string>* names, std::string*) override {
    *names = Names();
    return true;
  }
  bool Read(const std::string& name, std::string* bytes, std::string* error) override {
    if (names_.count(name) == 0) return Say(error, "no such file");
    *bytes = names_[name]->data;
    return true;
  }
  bool Create(const std::string& name, std::string* error) override {
    if (!Turn(error)) return false;
    if (names_.count(name) > 0) return Say(error, "it is there");
    names_[name] = std::make_shared<File>();
    return true;
  }
  bool Append(const std::string& name, std::string_view bytes, std::string* error) override {
    std::string& data = names_.at(name)->data;
    const std::size_t before = data.size();
    data += bytes.substr(0, bytes.size() / 2);  // a fault leaves a part
    if (!Turn(error)) return false;
    data.resize(before);
    data += bytes;
    return true;
  }
  bool Sync(const std::string& name, std::string* error) override {
    if (!Turn(error)) return false;
    names_.at(name)->synced = names_[name]->data.size();
    return true;
  }
  bool SyncFolder(std::string* error) override {
    if (!Turn(error)) return false;
    durable_ = names_;
    return true;
  }
  bool Rename(const std::string& from, const std::string& to, std::string* error) override {
    if (!Turn(error)) return false;
    names_[to] = names_.at(from);
    names_.erase(from);
    return true;
  }
  bool Truncate(const std::string& name, std::size_t size, std::string* error) override {
    if (!Turn(error)) return false;
    File& file = *names_.at(name);
    file.data.resize(size);
    file.synced = std::min(file.synced, size);
    return true;
  }
  bool Remove(const std::string& name, std::string* error) override {
    if (!Turn(error)) return false;
    return names_.erase(name) > 0 || Say(error, "no such file");
  }

 private:
  struct File {
    std::string data;
    std::size_t synced = 0;
  };
  static bool Say(std::string* error, const char* what) {
    *error = what;
    return false;
  }
  bool Turn(std::string* error) {
    const bool here = ++calls == at_call || (lasting && at_call != 0 && calls > at_call);
    if (!here || fault == Fault::kNone) return true;
    if (fault == Fault::kCrash) throw Crash();
    return Say(error, "Input/output error");
  }
  std::map<std::string, std::shared_ptr<File>> names_, durable_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_FAULTY_FILES_HPP_
